//! Every way the command line can fail, with its exit code.

use std::io;

use tinbay_core::ids::ModelRefError;
use tinbay_core::policy::PolicyError;
use tinbay_experiment::WorkloadError;
use tinbay_http::client::CallError;
use tinbay_node::error::NodeError;
use tinbay_wire::error_body::{ErrorCode, ErrorDetail};

/// A failure of the command line.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// An option has a value that is not allowed.
    #[error("--{option} is '{value}': {allowed}")]
    Option {
        /// The option.
        option: &'static str,
        /// What was given.
        value: String,
        /// What may be given.
        allowed: &'static str,
    },
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's words.
        source: io::Error,
    },
    /// A configuration file is malformed.
    #[error("{path}: {source}")]
    ConfigFile {
        /// The file.
        path: String,
        /// The parser's words.
        source: Box<toml::de::Error>,
    },
    /// A model is not written as it should be.
    #[error("{0}")]
    Model(#[from] ModelRefError),
    /// A policy does not compile.
    #[error("{path}: {source}")]
    Policy {
        /// The file.
        path: String,
        /// What is wrong.
        source: PolicyError,
    },
    /// A workload cannot be run.
    #[error("{path}: {source}")]
    Workload {
        /// The file.
        path: String,
        /// What is wrong.
        source: WorkloadError,
    },
    /// An experiment has nothing to play.
    #[error("nothing to play: {0}")]
    Demand(#[from] rand_distr::ZipfError),
    /// Logs can't be read, or not to their end.
    #[error("{}", join(.0))]
    UnreadLogs(Vec<CliError>),
    /// Logs hold no request.
    #[error("no request ends in {lines} line(s)")]
    NoRequests {
        /// Lines that were read.
        lines: u64,
    },
    /// Times can't be counted.
    #[error("times can't be counted: {0}")]
    Times(#[from] hdrhistogram::CreationError),
    /// A plot can't be drawn.
    #[error("{path}: the plot can't be drawn: {reason}")]
    Plot {
        /// The file.
        path: String,
        /// The library's words.
        reason: String,
    },
    /// No box could be asked.
    #[error("no box answered: {0}")]
    Unreachable(#[from] CallError),
    /// The box refused.
    #[error("{}: {}", code_name(.0.code), .0.message)]
    Refused(ErrorDetail),
    /// Not every box had a revision in force in time.
    #[error("revision {revision} is not in force on: {}", .lagging.join(", "))]
    NotInForce {
        /// The revision.
        revision: i64,
        /// Boxes that lag.
        lagging: Vec<String>,
    },
    /// A difference was found.
    #[error("{0} object(s) differ")]
    Differs(usize),
    /// A stand-in could not start.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// A box could not start.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// An answer was wrong or missing.
    #[error("{0} request(s) got a wrong answer or none")]
    WrongAnswers(usize),
    /// A scenario could not be run.
    #[error("{path}: {reason}")]
    Scenario {
        /// The scenario.
        path: String,
        /// What the interpreter says.
        reason: String,
    },
    /// A promise was broken.
    #[error("{0} scenario(s) broke a promise")]
    PromiseBroken(usize),
    /// Output cannot be written.
    #[error("cannot write output: {0}")]
    Output(#[from] serde_json::Error),
}

impl CliError {
    /// The exit code: 1 failure, 2 wrong use, 3 unreachable, 4 refused, 5 checks not met.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Option { .. }
            | CliError::File { .. }
            | CliError::ConfigFile { .. }
            | CliError::Model(_)
            | CliError::Policy { .. }
            | CliError::UnreadLogs(_)
            | CliError::Workload { .. } => 2,
            CliError::Unreachable(_) => 3,
            CliError::Refused(_) => 4,
            CliError::NotInForce { .. }
            | CliError::Differs(_)
            | CliError::WrongAnswers(_)
            | CliError::PromiseBroken(_) => 5,
            _ => 1,
        }
    }
}

fn join(errors: &[CliError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

fn code_name(code: ErrorCode) -> String {
    let name = serde_json::to_value(code).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}
