//! Errors that prevent a box from starting.

use std::io;
use std::net::SocketAddr;

use crate::port::dialect::DecodeError;

/// An error that prevents a box from starting.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The settings are not valid.
    #[error(transparent)]
    Settings(#[from] DecodeError),
    /// The settings file can't be read.
    #[error("settings file can't be read: {0}")]
    SettingsFile(io::Error),
    /// A listen address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The async runtime or a signal handler can't be set up.
    #[error("async runtime or signal handler can't be set up: {0}")]
    Start(io::Error),
    /// A logger is already installed.
    #[error("logging can't be set up: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// The metrics could not be registered.
    #[error("metrics can't be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}
