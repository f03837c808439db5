//! Identifiers of boxes, zones, engines, adapters and requests, as distinct types.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates the identifier, without validation.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// The id of a box, from its settings.
    BoxId
);
name_type!(
    /// An availability zone.
    ZoneId
);
name_type!(
    /// The name of a model engine in the operators' configuration.
    EngineId
);

/// Identifies one run of a process; it is higher after each restart.
pub type Incarnation = u64;

/// Identifies a request within one box; unique during the lifetime of its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// An adapter and one of its versions, written `adapter@version`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ModelRef {
    adapter: String,
    version: String,
}

/// The text is not a valid [`ModelRef`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ModelRefError {
    /// There is no `@`, or more than one.
    #[error("model must be written adapter@version")]
    Shape,
    /// The adapter or the version is empty.
    #[error("model has an empty adapter or version")]
    Empty,
}

impl ModelRef {
    /// Creates a reference from its parts, without validation.
    pub fn new(adapter: impl Into<String>, version: impl Into<String>) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Name of the adapter.
    pub fn adapter(&self) -> &str {
        &self.adapter
    }

    /// Name of the version within the adapter.
    pub fn version(&self) -> &str {
        &self.version
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

impl FromStr for ModelRef {
    type Err = ModelRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (adapter, version) = text.split_once('@').ok_or(ModelRefError::Shape)?;
        if version.contains('@') {
            return Err(ModelRefError::Shape);
        }
        if adapter.is_empty() || version.is_empty() {
            return Err(ModelRefError::Empty);
        }
        Ok(Self::new(adapter, version))
    }
}

impl TryFrom<String> for ModelRef {
    type Error = ModelRefError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ModelRef> for String {
    fn from(model: ModelRef) -> Self {
        model.to_string()
    }
}
