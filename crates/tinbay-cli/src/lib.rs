//! The operators' command line: configuration, status, load, demo, stand-ins, scenarios.

pub mod api;
pub mod caller;
pub mod cli;
pub mod commands;
pub mod config_file;
pub mod drive;
pub mod error;
pub mod options;
pub mod report;
pub mod request_report;
pub mod scenario;
pub mod util;
