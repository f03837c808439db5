//! Why a box cannot start.

use std::io;

use crate::options::SettingError;

/// Any failure of the program as a whole.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// Settings are wrong; every one of them is named.
    #[error("{} wrong setting(s):\n{}", .0.len(), list(.0))]
    Settings(Vec<SettingError>),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// The system's words.
        source: io::Error,
    },
    /// The HTTP server cannot start.
    #[error("cannot start the server: {0}")]
    Server(#[source] io::Error),
    /// The thread for control messages cannot start.
    #[error("cannot start the control thread: {0}")]
    Control(String),
    /// Logging was set up twice.
    #[error("cannot set up logging: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// The box cannot run on the platform.
    #[error(transparent)]
    Gateway(#[from] tinbay_gateway::error::GatewayError),
}

impl NodeError {
    /// The program's exit code.
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
