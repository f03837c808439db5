//! Log output: each line names the component that wrote it.

use std::fmt::Arguments;
use std::io;
use std::str::FromStr;
use std::time::SystemTime;

use log::{LevelFilter, Record};
use serde::Serialize;

/// Names of the components, used as log targets.
pub mod part {
    /// Start, stop and settings.
    pub const NODE: &str = "node";
    /// Requests from callers.
    pub const ENTRY: &str = "entry";
    /// Ownership of engines and orders to them.
    pub const OWNER: &str = "owner";
    /// Membership: which boxes exist and which of them are alive.
    pub const MEMBER: &str = "member";
    /// Distribution of the configuration.
    pub const CONFIG: &str = "config";
    /// The administration interface.
    pub const ADMIN: &str = "admin";
    /// Sharing of the weight store's load allowance among the boxes.
    pub const LOADS: &str = "loads";
}

/// Format of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// `time level [part] message`.
    Text,
    /// One JSON object per line.
    Json,
}

/// Error for a log format other than `text` or `json`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("neither text nor json")]
pub struct LogFormatError;

impl FromStr for LogFormat {
    type Err = LogFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(LogFormatError),
        }
    }
}

#[derive(Serialize)]
struct JsonLine<'a> {
    time: String,
    level: &'a str,
    part: &'a str,
    message: String,
}

/// Sets up logging to standard error.
///
/// # Errors
/// Returns an error if a logger has been set already.
pub fn set_up(level: LevelFilter, format: LogFormat) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for(part::NODE, level)
        .level_for(part::ENTRY, level)
        .level_for(part::OWNER, level)
        .level_for(part::MEMBER, level)
        .level_for(part::CONFIG, level)
        .level_for(part::ADMIN, level)
        .level_for(part::LOADS, level)
        .format(move |out, message, record| match format {
            LogFormat::Text => out.finish(format_args!(
                "{} {:5} [{}] {message}",
                timestamp(),
                record.level(),
                record.target(),
            )),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        })
        .chain(io::stderr())
        .apply()
}

fn json_line(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let line = JsonLine {
        time: timestamp(),
        level: record.level().as_str(),
        part: record.target(),
        message: message.to_string(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}

fn timestamp() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}
