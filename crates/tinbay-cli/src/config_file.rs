//! Configuration files: TOML with several objects.

use std::fs;

use serde::{Deserialize, Serialize};
use tinbay_core::config::{
    Adapter, Class, ConfigObject, EngineSpec, PolicySpec, ServiceSpec, Version, WeightStore,
};

use crate::error::CliError;

/// The tables of a configuration file, each kind as an array of tables.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ConfigFile {
    /// Policy programs.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub policy: Vec<PolicySpec>,
    /// Priority classes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub class: Vec<Class>,
    /// Weight stores.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub weight_store: Vec<WeightStore>,
    /// Model engines.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub engine: Vec<EngineSpec>,
    /// Plain services.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub service: Vec<ServiceSpec>,
    /// Adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub adapter: Vec<Adapter>,
    /// Versions of adapters.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub version: Vec<Version>,
}

impl ConfigFile {
    /// Reads a file.
    ///
    /// # Errors
    /// [`CliError::File`] or [`CliError::ConfigFile`].
    pub fn read(path: &str) -> Result<Self, CliError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Reads a text; `path` only names it in errors.
    ///
    /// # Errors
    /// [`CliError::ConfigFile`].
    pub fn parse(path: &str, text: &str) -> Result<Self, CliError> {
        toml::from_str(text).map_err(|source| CliError::ConfigFile {
            path: path.to_owned(),
            source: Box::new(source),
        })
    }

    /// The objects, in an order in which each comes after those it names.
    pub fn objects(self) -> Vec<ConfigObject> {
        let policies = self.policy.into_iter().map(ConfigObject::Policy);
        let classes = self.class.into_iter().map(ConfigObject::Class);
        let stores = self.weight_store.into_iter().map(ConfigObject::WeightStore);
        let engines = self.engine.into_iter().map(ConfigObject::Engine);
        let services = self.service.into_iter().map(ConfigObject::Service);
        let adapters = self.adapter.into_iter().map(ConfigObject::Adapter);
        let versions = self.version.into_iter().map(ConfigObject::Version);
        policies
            .chain(classes)
            .chain(stores)
            .chain(engines)
            .chain(services)
            .chain(adapters)
            .chain(versions)
            .collect()
    }
}

/// Reads a text file.
///
/// # Errors
/// [`CliError::File`].
pub fn read_text(path: &str) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}
