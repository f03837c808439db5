//! What can keep a box from starting.

use std::io;
use std::net::SocketAddr;

use crate::port::dialect::DecodeError;

/// What can keep a box from starting.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The settings are wrong.
    #[error(transparent)]
    Settings(#[from] DecodeError),
    /// The settings file can't be read.
    #[error("settings file can't be read: {0}")]
    SettingsFile(io::Error),
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The runtime can't start.
    #[error("can't start: {0}")]
    Start(io::Error),
    /// Logging was set up before.
    #[error("logging can't be set up: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// Measures could not be registered.
    #[error("measures can't be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}
