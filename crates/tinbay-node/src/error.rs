//! Errors that keep a box from starting.

use std::io;

use crate::options::SettingError;

/// A failure that ends the program.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Settings are missing or invalid; lists every one of them.
    #[error("{} wrong setting(s):\n{}", .0.len(), list(.0))]
    Settings(Vec<SettingError>),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address as configured.
        address: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The HTTP server or a thread cannot start.
    #[error("cannot start the server: {0}")]
    Server(#[source] io::Error),
    /// The control thread cannot bind its socket or set up the box.
    #[error("cannot start the control thread: {0}")]
    Control(String),
    /// Logging was set up twice.
    #[error("cannot set up logging: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// The gateway, which serves in place of a node on the platform, failed.
    #[error(transparent)]
    Gateway(#[from] tinbay_gateway::error::GatewayError),
}

impl NodeError {
    /// The program's exit code: 2 for wrong settings, 1 for any other failure.
    pub fn exit_code(&self) -> u8 {
        match self {
            NodeError::Settings(_) => 2,
            _ => 1,
        }
    }
}

fn list(errors: &[SettingError]) -> String {
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    lines.join("\n")
}
