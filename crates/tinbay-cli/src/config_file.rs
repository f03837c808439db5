//! Configuration files: TOML documents with several objects.

use std::fs;

use serde::{Deserialize, Serialize};
use tinbay_core::config::{
    Adapter, Class, ConfigObject, EngineSpec, PolicySpec, ServiceSpec, Version, WeightStore,
};

use crate::error::CliError;

/// A configuration file, with an array of tables for each kind of object.
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
    /// Reads and parses a file.
    ///
    /// # Errors
    /// Returns [`CliError::File`] if the file cannot be read and [`CliError::ConfigFile`] if it is
    /// malformed.
    pub fn read(path: &str) -> Result<Self, CliError> {
        Self::parse(path, &read_text(path)?)
    }

    /// Parses a text; `path` is used in error messages only.
    ///
    /// # Errors
    /// Returns [`CliError::ConfigFile`] if the text is malformed.
    pub fn parse(path: &str, text: &str) -> Result<Self, CliError> {
        toml::from_str(text).map_err(|source| CliError::ConfigFile {
            path: path.to_owned(),
            source: Box::new(source),
        })
    }

    /// Returns the objects, each after those that it refers to.
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
/// Returns [`CliError::File`] if the file cannot be read.
pub fn read_text(path: &str) -> Result<String, CliError> {
    fs::read_to_string(path).map_err(|source| CliError::File {
        path: path.to_owned(),
        source,
    })
}
