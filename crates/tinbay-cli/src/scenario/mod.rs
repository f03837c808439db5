//! Scripted scenarios: Rhai programs that start boxes and stand-ins as processes, send requests,
//! inject faults, and check the guarantees that callers rely on.

mod bindings;
mod config_text;
mod fleet;
mod params;
mod process;
mod summaries;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rhai::{Engine, EvalAltResult};
use serde::Serialize;

use crate::config_file::read_text;
use crate::error::CliError;
use fleet::Fleet;

/// Prefix of the script error of a failed check.
const BROKEN: &str = "promise broken: ";

/// Result of the checks of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Every check passed.
    Kept,
    /// A check failed.
    Broken {
        /// The message of the check.
        promise: String,
    },
}

impl Verdict {
    /// Returns whether every check passed.
    pub fn is_kept(&self) -> bool {
        *self == Verdict::Kept
    }
}

/// Result of a scenario run.
#[derive(Debug)]
pub struct ScenarioResult {
    /// Result of its checks.
    pub verdict: Verdict,
    /// Lines that the script noted, mostly measurements.
    pub notes: Vec<String>,
    /// Log of the actions, with the last log lines of each box at the end.
    pub trace: Vec<String>,
    /// Duration of the run.
    pub duration: Duration,
}

/// Runs one scenario file; with `log_dir`, the log of each process is also written to a file there.
///
/// # Errors
/// Returns [`CliError::File`] or [`CliError::Start`] if it cannot be started, and
/// [`CliError::Scenario`] if it fails for another reason than a check.
pub fn run_file(path: &str, seed: u64, log_dir: Option<&Path>) -> Result<ScenarioResult, CliError> {
    let started = Instant::now();
    let program = read_text(path)?;
    let fleet = Arc::new(Mutex::new(Fleet::new(seed, log_dir)?));
    let mut engine = Engine::new();
    bindings::register(&mut engine, &fleet);
    let outcome = engine.run(&program);
    drop(engine);
    let mut fleet = fleet
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    fleet.stop_all();
    let verdict = match outcome {
        Ok(()) => Verdict::Kept,
        Err(error) => failed_check(&error).ok_or_else(|| CliError::Scenario {
            path: path.to_owned(),
            reason: format!("{error}\n{}", fleet.trace().join("\n")),
        })?,
    };
    Ok(ScenarioResult {
        verdict,
        notes: fleet.notes().to_vec(),
        trace: fleet.trace().to_vec(),
        duration: started.elapsed(),
    })
}

/// Returns the verdict for a failed check, or `None` for any other script error.
fn failed_check(error: &EvalAltResult) -> Option<Verdict> {
    let text = error.to_string();
    let (_, promise) = text.split_once(BROKEN)?;
    Some(Verdict::Broken {
        promise: promise.to_owned(),
    })
}
