//! Compiled policies, with the last good one of each name.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tinbay_core::config::{Class, ConfigKey, ConfigObject, ConfigStore, Kind};
use tinbay_core::policy::{Policy, PolicyRequest, PolicySettings, Treatment};
use tinbay_core::units::Revision;

use crate::logging::part;
use crate::metrics::Metrics;
use crate::util::sync::lock;

/// The policy of classes that name none, where it exists.
const DEFAULT_POLICY: &str = "default";

struct Compiled {
    revision: Revision,
    policy: Option<Arc<Policy>>,
}

/// Policies by name, compiled when first used after a change.
#[derive(Default)]
pub struct PolicyCache {
    compiled: Mutex<HashMap<String, Compiled>>,
}

impl PolicyCache {
    /// How a request is to be treated. A program that fails leaves it to the class.
    pub fn treat(
        &self,
        config: &ConfigStore,
        metrics: &Metrics,
        class: &Class,
        request: &PolicyRequest<'_>,
    ) -> Treatment {
        let name = class.policy.as_deref().unwrap_or(DEFAULT_POLICY);
        let Some(policy) = self.get(config, name) else {
            return request.base;
        };
        policy.classify(request).unwrap_or_else(|error| {
            log::warn!(target: part::ENTRY, "policy {name} failed: {error}");
            metrics.policy_failures.with_label_values(&[name]).inc();
            request.base
        })
    }

    /// The scheduler settings of the default policy.
    pub fn settings(&self, config: &ConfigStore) -> PolicySettings {
        self.get(config, DEFAULT_POLICY)
            .map(|policy| policy.settings())
            .unwrap_or_default()
    }

    fn get(&self, config: &ConfigStore, name: &str) -> Option<Arc<Policy>> {
        let entry = config.get(&ConfigKey::new(Kind::Policy, name))?;
        let ConfigObject::Policy(spec) = entry.object else {
            return None;
        };
        let mut compiled = lock(&self.compiled);
        let held = compiled.entry(name.to_owned()).or_insert(Compiled {
            revision: 0,
            policy: None,
        });
        if held.revision != entry.revision {
            held.revision = entry.revision;
            match Policy::compile(&spec.program) {
                Ok(policy) => held.policy = Some(Arc::new(policy)),
                Err(error) => {
                    log::error!(target: part::CONFIG, "policy {name} does not compile, the last good one stays: {error}");
                }
            }
        }
        held.policy.clone()
    }
}
