//! The configuration objects that operators create.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, ModelRef, ZoneId};
use crate::units::Millis;

/// A fine-tuned variant of a base model, owned by one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Unique name; callers write `name@version`.
    pub name: String,
    /// Owner; queues are shared fairly between organisations.
    pub organisation: String,
    /// The base model that it was trained for.
    pub base_model: String,
}

/// One immutable version of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the adapter.
    pub adapter: String,
    /// Name of the version, unique within the adapter.
    pub name: String,
    /// Location in the weight store.
    pub weights: String,
}

/// A priority class of traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name; callers send it as `class`.
    pub name: String,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Whether a person waits for the answers, as opposed to batch work. An adapter that serves an
    /// urgent request is never unloaded.
    #[serde(default)]
    pub urgent: bool,
    /// Maximum wait before a request starts.
    pub max_wait_ms: Millis,
    /// Whether a request may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// The policy for requests of this class; absent for the policy `default`, if that exists.
    #[serde(default)]
    pub policy: Option<String>,
}

/// A policy program, see [`crate::policy`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Unique name, to which classes refer.
    pub name: String,
    /// Source code in Rhai.
    pub program: String,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Unique name.
    pub name: EngineId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Availability zone; boxes of the same zone are preferred as its owner.
    pub zone: ZoneId,
    /// Region; only boxes of the same region may own it.
    pub region: String,
    /// The base model that it runs.
    pub base_model: String,
    /// Adapters that it can hold at once.
    pub slots: u32,
    /// Requests that it runs in one batch.
    pub batch_limit: u32,
    /// Whether it refuses orders with a fence lower than one it has seen.
    pub checks_orders: bool,
}

/// A service without adapters, to which boxes forward calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name; callers use `/v1/services/NAME/...`.
    pub name: String,
    /// `ip:port` of each server.
    pub addresses: Vec<String>,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Maximum duration of a call.
    pub timeout_ms: Millis,
}

/// Load allowance of a region's weight store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// The region that the store serves.
    pub region: String,
    /// Loads that may start per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads at which each runs at full speed.
    pub at_once: u32,
}

/// A configuration object of any kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigObject {
    /// An [`Adapter`].
    Adapter(Adapter),
    /// A [`Version`].
    Version(Version),
    /// A [`Class`].
    Class(Class),
    /// A [`PolicySpec`].
    Policy(PolicySpec),
    /// An [`EngineSpec`].
    Engine(EngineSpec),
    /// A [`ServiceSpec`].
    Service(ServiceSpec),
    /// A [`WeightStore`].
    WeightStore(WeightStore),
}

/// The kind of an object, as written in keys and on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An [`Adapter`].
    Adapter,
    /// A [`Version`].
    Version,
    /// A [`Class`].
    Class,
    /// A [`PolicySpec`].
    Policy,
    /// An [`EngineSpec`].
    Engine,
    /// A [`ServiceSpec`].
    Service,
    /// A [`WeightStore`].
    WeightStore,
}

/// Identifies an object; its text form is `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ConfigKey {
    /// Kind of the object, the part before the slash.
    pub kind: Kind,
    /// Name of the object; `adapter@version` for a version.
    pub name: String,
}

/// The text is not a valid [`ConfigKey`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConfigKeyError {
    /// There is no `/`, or the name is empty.
    #[error("an object is written kind/name")]
    Shape,
    /// The kind is not known.
    #[error("unknown kind {0}")]
    UnknownKind(String),
}

impl Kind {
    /// All kinds, ordered so that each comes after those that it refers to.
    pub const ALL: [Kind; 7] = [
        Kind::Policy,
        Kind::Class,
        Kind::WeightStore,
        Kind::Engine,
        Kind::Service,
        Kind::Adapter,
        Kind::Version,
    ];

    /// The kind in its text form.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Adapter => "adapter",
            Kind::Version => "version",
            Kind::Class => "class",
            Kind::Policy => "policy",
            Kind::Engine => "engine",
            Kind::Service => "service",
            Kind::WeightStore => "weight_store",
        }
    }
}

impl FromStr for Kind {
    type Err = ConfigKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| ConfigKeyError::UnknownKind(text.to_owned()))
    }
}

impl ConfigKey {
    /// Creates a key from its parts.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }

    /// The key of a version.
    pub fn version(model: &ModelRef) -> Self {
        Self::new(Kind::Version, model.to_string())
    }
}

impl fmt::Display for ConfigKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for ConfigKey {
    type Err = ConfigKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text.split_once('/').ok_or(ConfigKeyError::Shape)?;
        if name.is_empty() {
            return Err(ConfigKeyError::Shape);
        }
        Ok(Self::new(kind.parse()?, name))
    }
}

impl TryFrom<String> for ConfigKey {
    type Error = ConfigKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ConfigKey> for String {
    fn from(key: ConfigKey) -> Self {
        key.to_string()
    }
}

impl ConfigObject {
    /// The key under which the object is stored.
    pub fn key(&self) -> ConfigKey {
        match self {
            ConfigObject::Adapter(a) => ConfigKey::new(Kind::Adapter, &a.name),
            ConfigObject::Version(v) => {
                ConfigKey::new(Kind::Version, format!("{}@{}", v.adapter, v.name))
            }
            ConfigObject::Class(c) => ConfigKey::new(Kind::Class, &c.name),
            ConfigObject::Policy(p) => ConfigKey::new(Kind::Policy, &p.name),
            ConfigObject::Engine(e) => ConfigKey::new(Kind::Engine, e.name.as_str()),
            ConfigObject::Service(s) => ConfigKey::new(Kind::Service, &s.name),
            ConfigObject::WeightStore(w) => ConfigKey::new(Kind::WeightStore, &w.region),
        }
    }
}

/// Default of [`Class::repeatable`].
fn yes() -> bool {
    true
}
