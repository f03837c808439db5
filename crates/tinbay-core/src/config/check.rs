//! Validation of configuration changes before they are written.

use std::net::SocketAddr;

use super::objects::{ConfigKey, ConfigObject, EngineSpec, Kind, Version};
use super::store::ConfigStore;
use crate::policy::{Policy, PolicyError};

/// A change is invalid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// A name is empty, too long, or has characters that are not allowed in keys and URLs.
    #[error("{0}: names use letters, digits, '.', '_' and '-', at most 128 of them")]
    Name(ConfigKey),
    /// The object refers to one that does not exist.
    #[error("{key} names {missing}, which does not exist")]
    Missing {
        /// The object to be written.
        key: ConfigKey,
        /// The object that it refers to.
        missing: ConfigKey,
    },
    /// Another object still refers to the one to be deleted.
    #[error("{key} is still named by {by}")]
    InUse {
        /// The object to be deleted.
        key: ConfigKey,
        /// An object that refers to it.
        by: ConfigKey,
    },
    /// A field is outside its range.
    #[error("{key}: {field} must be {allowed}")]
    Range {
        /// The object to be written.
        key: ConfigKey,
        /// Name of the invalid field.
        field: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The weights of an existing version can't change, as callers rely on a version being
    /// immutable.
    #[error("{0} exists with other weights; make a new version instead")]
    VersionChanged(ConfigKey),
    /// A policy program does not compile, or fails on the samples.
    #[error("{key}: {error}")]
    Policy {
        /// The policy to be written.
        key: ConfigKey,
        /// The failure, with its position in the program.
        error: PolicyError,
    },
}

/// Maximum length of an object's name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Validates an object and its references. References to `also`, the other objects of the same
/// change, are valid too.
///
/// # Errors
/// The first [`ConfigError`] found.
pub fn check_object(
    object: &ConfigObject,
    store: &ConfigStore,
    also: &[ConfigObject],
) -> Result<(), ConfigError> {
    let key = object.key();
    check_names(object, &key)?;
    let require = |kind: Kind, name: &str| {
        let missing = ConfigKey::new(kind, name);
        let found = store.contains(&missing) || also.iter().any(|o| o.key() == missing);
        if found {
            return Ok(());
        }
        Err(ConfigError::Missing {
            key: key.clone(),
            missing,
        })
    };
    match object {
        ConfigObject::Adapter(_) => Ok(()),
        ConfigObject::Version(version) => {
            require(Kind::Adapter, &version.adapter)?;
            check_unchanged(version, &key, store)
        }
        ConfigObject::Class(class) => {
            check_range(class.max_wait_ms > 0, &key, "max_wait_ms", "at least 1")?;
            match &class.policy {
                Some(policy) => require(Kind::Policy, policy),
                None => Ok(()),
            }
        }
        ConfigObject::Policy(policy) => Policy::compile(&policy.program)
            .map(|_| ())
            .map_err(|error| ConfigError::Policy { key, error }),
        ConfigObject::Engine(engine) => check_engine(engine, &key),
        ConfigObject::Service(service) => {
            check_range(
                !service.addresses.is_empty(),
                &key,
                "addresses",
                "not empty",
            )?;
            for address in &service.addresses {
                check_address(address, &key, "addresses")?;
            }
            check_range(service.timeout_ms > 0, &key, "timeout_ms", "at least 1")
        }
        ConfigObject::WeightStore(store) => {
            let rate_ok = store.loads_per_s.is_finite() && store.loads_per_s > 0.0;
            check_range(rate_ok, &key, "loads_per_s", "above 0")?;
            check_range(store.at_once > 0, &key, "at_once", "at least 1")
        }
    }
}

/// Checks that no object refers to the one to be deleted.
///
/// # Errors
/// [`ConfigError::InUse`] with one object that does.
pub fn check_delete(key: &ConfigKey, store: &ConfigStore) -> Result<(), ConfigError> {
    let used_by = match key.kind {
        Kind::Adapter => store.find(
            Kind::Version,
            |o| matches!(o, ConfigObject::Version(v) if v.adapter == key.name),
        ),
        Kind::Policy => store.find(
            Kind::Class,
            |o| matches!(o, ConfigObject::Class(c) if c.policy.as_deref() == Some(&key.name)),
        ),
        _ => None,
    };
    match used_by {
        Some(by) => Err(ConfigError::InUse {
            key: key.clone(),
            by,
        }),
        None => Ok(()),
    }
}

fn check_names(object: &ConfigObject, key: &ConfigKey) -> Result<(), ConfigError> {
    let names: Vec<&str> = match object {
        ConfigObject::Version(v) => vec![&v.adapter, &v.name],
        _ => vec![&key.name],
    };
    if names.into_iter().all(is_name) {
        return Ok(());
    }
    Err(ConfigError::Name(key.clone()))
}

fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(allowed)
}

fn check_unchanged(
    version: &Version,
    key: &ConfigKey,
    store: &ConfigStore,
) -> Result<(), ConfigError> {
    match store.get(key).map(|entry| entry.object) {
        Some(ConfigObject::Version(old)) if old.weights != version.weights => {
            Err(ConfigError::VersionChanged(key.clone()))
        }
        _ => Ok(()),
    }
}

fn check_engine(engine: &EngineSpec, key: &ConfigKey) -> Result<(), ConfigError> {
    check_address(&engine.address, key, "address")?;
    check_range(engine.slots > 0, key, "slots", "at least 1")?;
    check_range(engine.batch_limit > 0, key, "batch_limit", "at least 1")
}

fn check_address(address: &str, key: &ConfigKey, field: &'static str) -> Result<(), ConfigError> {
    let parsed = address.parse::<SocketAddr>().is_ok();
    check_range(parsed, key, field, "an ip:port")
}

fn check_range(
    holds: bool,
    key: &ConfigKey,
    field: &'static str,
    allowed: &'static str,
) -> Result<(), ConfigError> {
    if holds {
        return Ok(());
    }
    Err(ConfigError::Range {
        key: key.clone(),
        field,
        allowed,
    })
}
