//! The operators' command line of tinbay: configuration, status, log reports, load generation,
//! demo, stand-ins, experiments and scenarios.

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
