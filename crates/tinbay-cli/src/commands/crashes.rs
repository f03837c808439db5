//! `tinbay experiment crashes`.

use serde::Serialize;
use tinbay_experiment::crashes::{CrashCause, CrashMeasures, CrashParameters, simulate};

use crate::error::CliError;
use crate::options::CommonOptions;
use crate::report::{Table, print_json};

#[derive(Debug, Serialize)]
struct Run {
    cause: CrashCause,
    measures: CrashMeasures,
}

/// Simulates crashes of each cause.
///
/// # Errors
/// Returns [`CliError::Demand`] if the demand cannot be generated.
pub fn run(common: &CommonOptions, terms: &CrashParameters) -> Result<(), CliError> {
    let mut runs = Vec::new();
    for cause in CrashCause::ALL {
        let measures = simulate(terms, cause)?;
        runs.push(Run { cause, measures });
    }
    if common.json {
        print_json(&runs)?;
    } else {
        print_runs(&runs);
    }
    Ok(())
}

fn print_runs(runs: &[Run]) {
    let mut table = Table::new(&[
        "CAUSE",
        "CRASHES",
        "SENT",
        "ARRIVED",
        "ARRIVED_LATE",
        "HALF_KNOW_MS",
        "ALL_KNOW_MS",
        "SOUND",
        "SOUND_HELD",
        "SOUND_REFUSED",
        "SOUND_SETS",
        "KB/S/BOX",
        "KB/S_BUSIEST",
    ]);
    let time = |time_ms: Option<u64>| time_ms.map_or("-".to_string(), |ms| ms.to_string());
    for run in runs {
        let measures = &run.measures;
        table.add(vec![
            run.cause.as_str().to_owned(),
            measures.crashes.to_string(),
            measures.crashing.to_string(),
            measures.arrived.to_string(),
            measures.arrived_late.to_string(),
            time(measures.half_know_after_ms),
            time(measures.all_know_after_ms),
            measures.sound.to_string(),
            measures.sound_held.to_string(),
            measures.sound_refused.to_string(),
            measures.sound_sets_refused.to_string(),
            format!("{:.2}", measures.mean_bytes_per_s / 1_000.0),
            format!("{:.1}", measures.most_bytes_per_s as f64 / 1_000.0),
        ]);
    }
    print!("{table}");
}
