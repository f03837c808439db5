//! The operators' configuration: its objects, the in-memory store of a box, and the validation of
//! changes.

mod check;
mod objects;
mod store;

pub use check::{ConfigError, check_delete, check_object};
pub use objects::{
    Adapter, Class, ConfigKey, ConfigObject, EngineSpec, Kind, PolicySpec, ServiceSpec, Version,
    WeightStore,
};
pub use store::{ConfigChange, ConfigEntry, ConfigStore, ConfigUpdate};
