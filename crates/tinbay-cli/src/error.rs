//! Errors of the command line and their exit codes.

use std::io;

use tinbay_core::ids::ModelRefError;
use tinbay_core::policy::PolicyError;
use tinbay_experiment::WorkloadError;
use tinbay_http::client::CallError;
use tinbay_node::error::NodeError;
use tinbay_wire::error_body::{ErrorCode, ErrorDetail};

/// An error of the command line.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// An option has an invalid value.
    #[error("--{option} is '{value}': {allowed}")]
    Option {
        /// Name of the option.
        option: &'static str,
        /// The given value.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// A file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// A configuration file is malformed.
    #[error("{path}: {source}")]
    ConfigFile {
        /// The file.
        path: String,
        /// The parser's error.
        source: Box<toml::de::Error>,
    },
    /// A model reference is malformed.
    #[error("{0}")]
    Model(#[from] ModelRefError),
    /// A policy does not compile.
    #[error("{path}: {source}")]
    Policy {
        /// The file.
        path: String,
        /// The compiler's error.
        source: PolicyError,
    },
    /// A workload file is invalid.
    #[error("{path}: {source}")]
    Workload {
        /// The file.
        path: String,
        /// The error in the file.
        source: WorkloadError,
    },
    /// The demand of an experiment cannot be generated.
    #[error("cannot generate demand: {0}")]
    Demand(#[from] rand_distr::ZipfError),
    /// Logs cannot be read, or not to their end.
    #[error("{}", join_messages(.0))]
    UnreadableLogs(Vec<CliError>),
    /// Logs contain no finished request.
    #[error("no finished request in {lines} line(s)")]
    NoRequests {
        /// Number of lines read.
        lines: u64,
    },
    /// A histogram of times cannot be created.
    #[error("cannot create a histogram of times: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A plot cannot be drawn.
    #[error("{path}: cannot draw the plot: {reason}")]
    Plot {
        /// The file.
        path: String,
        /// The plotting library's message.
        reason: String,
    },
    /// No box answered, or its answer cannot be read.
    #[error("no box answered: {0}")]
    Unreachable(#[from] CallError),
    /// The box refused the request.
    #[error("{}: {}", code_name(.0.code), .0.message)]
    Refused(ErrorDetail),
    /// A revision was not in force on every box within the given time.
    #[error("revision {revision} is not in force on: {}", .lagging.join(", "))]
    NotInForce {
        /// The revision.
        revision: i64,
        /// Boxes where it is not in force.
        lagging: Vec<String>,
    },
    /// Objects differ between the file and the boxes.
    #[error("{0} object(s) differ")]
    Differs(usize),
    /// A stand-in, a process or the worker thread did not start, or a scenario's files or processes
    /// could not be used.
    #[error("cannot start: {0}")]
    Start(#[from] io::Error),
    /// A box failed to start.
    #[error("{0}")]
    Node(#[from] NodeError),
    /// Answers were wrong or missing.
    #[error("{0} request(s) got a wrong answer or none")]
    WrongAnswers(usize),
    /// A scenario could not be run.
    #[error("{path}: {reason}")]
    Scenario {
        /// The scenario file.
        path: String,
        /// The interpreter's message.
        reason: String,
    },
    /// Scenarios failed a check.
    #[error("{0} scenario(s) failed a check")]
    ScenariosFailed(usize),
    /// Output cannot be serialized or written.
    #[error("cannot write output: {0}")]
    Output(#[from] serde_json::Error),
}

impl CliError {
    /// Returns the exit code: 1 failure, 2 invalid use, 3 unreachable, 4 refused, 5 failed check.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Option { .. }
            | CliError::File { .. }
            | CliError::ConfigFile { .. }
            | CliError::Model(_)
            | CliError::Policy { .. }
            | CliError::UnreadableLogs(_)
            | CliError::Workload { .. } => 2,
            CliError::Unreachable(_) => 3,
            CliError::Refused(_) => 4,
            CliError::NotInForce { .. }
            | CliError::Differs(_)
            | CliError::WrongAnswers(_)
            | CliError::ScenariosFailed(_) => 5,
            _ => 1,
        }
    }
}

fn join_messages(errors: &[CliError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

fn code_name(code: ErrorCode) -> String {
    let name = serde_json::to_value(code).unwrap_or_default();
    name.as_str().unwrap_or_default().to_owned()
}
