//! Scripted scenarios: Rhai programs that start boxes and stand-ins as processes, send
//! requests, kill, freeze and cut, and check what was promised.
//!
//! The functions a scenario may call are listed in docs/scenarios.md.

mod bindings;
mod config_text;
mod fleet;
mod plans;
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

/// Text at the front of the error by which a scenario says that a promise is broken.
const BROKEN: &str = "promise broken: ";

/// Whether a scenario's promises were kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Every check held.
    Kept,
    /// A check did not hold.
    Broken {
        /// The words of the check.
        promise: String,
    },
}

impl Verdict {
    /// Whether every check held.
    pub fn is_kept(&self) -> bool {
        *self == Verdict::Kept
    }
}

/// A scenario that has ended.
#[derive(Debug)]
pub struct Ended {
    /// Whether its promises were kept.
    pub verdict: Verdict,
    /// What it noted, figures above all.
    pub notes: Vec<String>,
    /// What was done.
    pub trace: Vec<String>,
    /// How long it took.
    pub took: Duration,
}

/// Runs one scenario file; with `log_dir` the log of each process is written there.
///
/// # Errors
/// [`CliError::File`] or [`CliError::Scenario`] when it cannot be run to a verdict.
pub fn run_file(path: &str, seed: u64, log_dir: Option<&Path>) -> Result<Ended, CliError> {
    let began = Instant::now();
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
        Err(error) => broken_promise(&error).ok_or_else(|| CliError::Scenario {
            path: path.to_owned(),
            reason: format!("{error}\n{}", fleet.trace().join("\n")),
        })?,
    };
    Ok(Ended {
        verdict,
        notes: fleet.notes().to_vec(),
        trace: fleet.trace().to_vec(),
        took: began.elapsed(),
    })
}

/// The promise a check named, if the error comes from a check.
fn broken_promise(error: &EvalAltResult) -> Option<Verdict> {
    let text = error.to_string();
    let (_, promise) = text.split_once(BROKEN)?;
    Some(Verdict::Broken {
        promise: promise.to_owned(),
    })
}
