//! `tinbay scenario run`.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;

use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::print_json;
use crate::scenario::{ScenarioResult, Verdict, run_file};

/// Result of one scenario.
#[derive(Debug, Serialize)]
struct ScenarioReport {
    file: String,
    seed: u64,
    verdict: Verdict,
    notes: Vec<String>,
    seconds: f64,
    /// Actions before the failed check; empty if all checks passed.
    trace: Vec<String>,
}

/// Runs scenario files one after another.
///
/// # Errors
/// Returns [`CliError::ScenariosFailed`] if any scenario failed a check, and
/// [`CliError::Scenario`] if one cannot be run to its end.
pub fn run(
    common: &CommonOptions,
    files: &[String],
    seed: u64,
    log_dir: Option<&Path>,
) -> Result<(), CliError> {
    let mut reports = Vec::new();
    for file in files {
        let ended = run_file(file, seed, log_dir)?;
        let report = to_report(file, seed, ended);
        if !common.json {
            print_result(&report);
        }
        reports.push(report);
    }
    if common.json {
        print_json(&reports)?;
    }
    let failed = reports.iter().filter(|r| !r.verdict.is_kept()).count();
    match failed {
        0 => Ok(()),
        failed => Err(CliError::ScenariosFailed(failed)),
    }
}

fn to_report(file: &str, seed: u64, ended: ScenarioResult) -> ScenarioReport {
    let trace = match ended.verdict {
        Verdict::Kept => Vec::new(),
        Verdict::Broken { .. } => ended.trace,
    };
    ScenarioReport {
        file: file.to_owned(),
        seed,
        verdict: ended.verdict,
        notes: ended.notes,
        seconds: Duration::as_secs_f64(&ended.duration),
        trace,
    }
}

fn print_result(report: &ScenarioReport) {
    match &report.verdict {
        Verdict::Kept => println!("kept    {} ({:.1} s)", report.file, report.seconds),
        Verdict::Broken { promise } => {
            println!(
                "BROKEN  {} ({:.1} s): {promise}",
                report.file, report.seconds
            );
        }
    }
    for note in &report.notes {
        println!("        {note}");
    }
    if !report.trace.is_empty() {
        println!("        actions, with seed {}:", report.seed);
        for line in &report.trace {
            println!("          {line}");
        }
    }
}
