//! Cache of compiled policies. A policy that fails to compile leaves its last valid version in use.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tinbay_core::config::{Class, ConfigKey, ConfigObject, ConfigStore, Kind};
use tinbay_core::policy::{Policy, PolicyRequest, PolicySettings, Treatment};
use tinbay_core::units::Revision;

use crate::logging::part;
use crate::metrics::Metrics;
use crate::util::sync::lock;

/// Name of the policy that applies to classes without a policy of their own, if it is configured.
const DEFAULT_POLICY: &str = "default";

struct CachedPolicy {
    /// Configuration revision that was last compiled, whether or not that succeeded.
    revision: Revision,
    policy: Option<Arc<Policy>>,
}

/// Policies by name, compiled on first use after a change.
#[derive(Default)]
pub struct PolicyCache {
    compiled: Mutex<HashMap<String, CachedPolicy>>,
}

impl PolicyCache {
    /// Decides how a request is treated. If the policy's program fails, the class defaults in
    /// `request.base` apply.
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
            log::warn!(target: part::ENTRY, "policy {name} failed, using the class defaults: {error}");
            metrics.policy_failures.with_label_values(&[name]).inc();
            request.base
        })
    }

    /// The scheduler settings of the default policy, or the built-in ones if there is none.
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
        let cached = compiled.entry(name.to_owned()).or_insert(CachedPolicy {
            revision: 0,
            policy: None,
        });
        if cached.revision != entry.revision {
            cached.revision = entry.revision;
            match Policy::compile(&spec.program) {
                Ok(policy) => cached.policy = Some(Arc::new(policy)),
                Err(error) => {
                    log::error!(target: part::CONFIG, "policy {name} does not compile, keeping its last valid version: {error}");
                }
            }
        }
        cached.policy.clone()
    }
}
