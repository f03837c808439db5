//! The kinds of objects operators create.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, ModelRef, ZoneId};
use crate::units::Millis;

/// A fine-tuned variant of a base model, owned by one organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name; callers write `name@version`.
    pub name: String,
    /// Whose callers use it; queues are shared fairly between organisations.
    pub organisation: String,
    /// The base model it belongs to.
    pub base_model: String,
}

/// One immutable version of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The adapter it belongs to.
    pub adapter: String,
    /// Its name within the adapter.
    pub name: String,
    /// Where the weight store keeps it.
    pub weights: String,
}

/// A priority class of traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name; callers send it as `class`.
    pub name: String,
    /// 0 goes first.
    pub rank: u8,
    /// Counter and desk traffic: an adapter that serves it is never unloaded.
    #[serde(default)]
    pub urgent: bool,
    /// How long a request may wait before it starts.
    pub max_wait_ms: Millis,
    /// Whether a request may run more than once.
    #[serde(default = "yes")]
    pub repeatable: bool,
    /// The policy that classifies it; without one, `default` where it exists.
    #[serde(default)]
    pub policy: Option<String>,
}

/// A policy program, see [`crate::policy`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySpec {
    /// Its name.
    pub name: String,
    /// Rhai source.
    pub program: String,
}

/// A model engine the system may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Its name.
    pub name: EngineId,
    /// `ip:port` of its HTTP interface.
    pub address: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: String,
    /// The base model it runs.
    pub base_model: String,
    /// Adapters it can hold at once.
    pub slots: u32,
    /// Requests it batches at once.
    pub batch_limit: u32,
    /// Whether it refuses orders with a lower fence.
    pub checks_orders: bool,
}

/// A plain service the system routes to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Its name; callers use `/v1/services/NAME/...`.
    pub name: String,
    /// `ip:port` of each server.
    pub addresses: Vec<String>,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// How long a call may take.
    pub timeout_ms: Millis,
}

/// What the weight store of a region allows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightStore {
    /// The region it serves.
    pub region: String,
    /// Loads that may begin in a second.
    pub loads_per_s: f64,
    /// Loads at once at full speed.
    pub at_once: u32,
}

/// Any object of the configuration.
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

/// The kind of an object, as it stands in keys and on the command line.
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

/// Identifies an object; written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ConfigKey {
    /// The kind.
    pub kind: Kind,
    /// The name; a version's is `adapter@version`.
    pub name: String,
}

/// Why a text is not a [`ConfigKey`].
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
    /// Every kind, in the order in which objects depend on each other.
    pub const ALL: [Kind; 7] = [
        Kind::Policy,
        Kind::Class,
        Kind::WeightStore,
        Kind::Engine,
        Kind::Service,
        Kind::Adapter,
        Kind::Version,
    ];

    /// The kind as text.
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
    /// Joins a kind and a name.
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

/// Serde default: work may be repeated unless its class says otherwise.
fn yes() -> bool {
    true
}
