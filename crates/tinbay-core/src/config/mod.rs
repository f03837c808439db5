//! The operators' configuration: its objects, the store a box serves from, and the checks
//! a change must pass.

mod check;
mod objects;
mod store;

pub use check::{ConfigError, check_delete, check_object};
pub use objects::{
    Adapter, Class, ConfigKey, ConfigObject, EngineSpec, Kind, PolicySpec, ServiceSpec, Version,
    WeightStore,
};
pub use store::{ConfigChange, ConfigEntry, ConfigStore, ConfigUpdate};
