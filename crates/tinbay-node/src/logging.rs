//! Log lines: one short sentence behind the fixed prefix of its part.

use std::fmt::Arguments;
use std::io;
use std::str::FromStr;
use std::time::SystemTime;

use log::{LevelFilter, Record};
use serde::Serialize;

/// Prefixes of the parts; used as log targets.
pub mod part {
    /// Start, stop and settings.
    pub const NODE: &str = "node";
    /// Requests of callers.
    pub const ENTRY: &str = "entry";
    /// Owners of engines.
    pub const OWNER: &str = "owner";
    /// Boxes and their view of each other.
    pub const MEMBER: &str = "member";
    /// Configuration.
    pub const CONFIG: &str = "config";
    /// The administration interface.
    pub const ADMIN: &str = "admin";
    /// Sharing of the weight store's allowance.
    pub const LOADS: &str = "loads";
}

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// `time level [part] sentence`.
    Text,
    /// One JSON object a line.
    Json,
}

/// The text is neither `text` nor `json`.
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

/// Sends log lines to standard error.
///
/// # Errors
/// When logging was set up before.
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
