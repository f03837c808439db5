//! `tinbay experiment`.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;

use serde::Serialize;
use tinbay_experiment::{
    Bound, Measures, StrategyKind, Workload, compute_bound, mean_and_margin, run as run_strategy,
};

use crate::config_file::read_text;
use crate::error::CliError;
use crate::options::{CommonOptions, ExperimentOptions};
use crate::report::{Table, print_json};

/// Results of all runs of one workload.
#[derive(Debug, Serialize)]
struct ExperimentReport {
    workload: String,
    seeds: Vec<u64>,
    bounds: Vec<Bound>,
    runs: BTreeMap<&'static str, Vec<Measures>>,
}

/// Runs every strategy with every seed of the workload files and prints a comparison.
///
/// # Errors
/// Returns [`CliError::File`] if a file cannot be read and [`CliError::Workload`] if it is invalid.
pub fn run(common: &CommonOptions, options: &ExperimentOptions) -> Result<(), CliError> {
    for file in &options.files {
        let report = run_file(file, options)?;
        if common.json {
            print_json(&report)?;
        } else {
            print_report(&report);
        }
    }
    Ok(())
}

fn run_file(file: &str, options: &ExperimentOptions) -> Result<ExperimentReport, CliError> {
    let invalid = |source| CliError::Workload {
        path: file.to_owned(),
        source,
    };
    let mut workload = Workload::parse(&read_text(file)?).map_err(invalid)?;
    if let Some(skew) = options.skew {
        workload.adapters.skew = skew;
    }
    let policy_path = Path::new(file).with_extension("rhai");
    let policy_text = read_text(&policy_path.display().to_string())?;
    let policy = Workload::compile_policy(&policy_text).map_err(invalid)?;
    let seeds = if options.judge {
        &workload.judging_seeds
    } else {
        &workload.seeds
    };
    let mut runs = BTreeMap::new();
    thread::scope(|scope| {
        let handles: Vec<_> = StrategyKind::ALL
            .into_iter()
            .map(|kind| {
                let (workload, policy) = (&workload, &policy);
                let handle = scope.spawn(move || {
                    let measures = seeds
                        .iter()
                        .map(|seed| run_strategy(workload, policy, kind, *seed));
                    measures.collect::<Vec<Measures>>()
                });
                (kind, handle)
            })
            .collect();
        for (kind, handle) in handles {
            runs.insert(kind.as_str(), handle.join().unwrap_or_default());
        }
    });
    Ok(ExperimentReport {
        workload: workload.name.clone(),
        bounds: seeds
            .iter()
            .map(|seed| compute_bound(&workload, *seed))
            .collect(),
        seeds: seeds.clone(),
        runs,
    })
}

fn print_report(report: &ExperimentReport) {
    println!(
        "{} with seeds {:?}; mean ±95% confidence interval, times in ms",
        report.workload, report.seeds
    );
    let classes: Vec<String> = report
        .runs
        .values()
        .flatten()
        .next()
        .map(|first| first.classes.keys().cloned().collect())
        .unwrap_or_default();
    for class in &classes {
        print_class(report, class);
    }
    let mut table = Table::new(&[
        "STRATEGY",
        "BATCH_EFFICIENCY",
        "LOADS",
        "LEAST_ORG_IN_TIME",
        "UNLOADS_SERVING",
    ]);
    for kind in StrategyKind::ALL {
        let runs = &report.runs[kind.as_str()];
        let column = |value: &dyn Fn(&Measures) -> f64, digits| cell(runs, value, digits);
        table.add(vec![
            kind.as_str().to_owned(),
            column(&|m| m.batch_efficiency, 3),
            column(&|m| m.loads as f64, 0),
            column(&|m| m.least_organisation_in_time, 3),
            column(&|m| m.unloads_while_serving as f64, 0),
        ]);
    }
    println!("\n{table}");
}

fn print_class(report: &ExperimentReport, class: &str) {
    let stall_bounds: Vec<f64> = report
        .bounds
        .iter()
        .filter_map(|bound| bound.stall_p99_ms.get(class).copied())
        .collect();
    let hit_share_bounds: Vec<f64> = report
        .bounds
        .iter()
        .filter_map(|bound| bound.hit_share.get(class).copied())
        .collect();
    let bound = match stall_bounds.is_empty() {
        true => String::new(),
        false => format!(
            "; bound of the p99 stall {:.0}, of requests with the adapter loaded {:.1}%",
            mean_and_margin(&stall_bounds).0,
            100.0 * mean_and_margin(&hit_share_bounds).0
        ),
    };
    println!("\nclass {class}{bound}");
    let mut table = Table::new(&[
        "STRATEGY",
        "CAME",
        "IN_TIME%",
        "LATE%",
        "REFUSED%",
        "STALL_P50",
        "STALL_P95",
        "STALL_P99",
        "WAIT_P99",
    ]);
    for kind in StrategyKind::ALL {
        let runs = &report.runs[kind.as_str()];
        let column = |value: &dyn Fn(&tinbay_experiment::ClassMeasures) -> f64, digits| {
            cell(
                runs,
                &|m: &Measures| m.classes.get(class).map_or(0.0, value),
                digits,
            )
        };
        let percent = |part: u64, total: u64| 100.0 * part as f64 / total.max(1) as f64;
        table.add(vec![
            kind.as_str().to_owned(),
            column(&|c| c.came as f64, 0),
            column(&|c| percent(c.in_time, c.came), 1),
            column(&|c| percent(c.late, c.came), 1),
            column(&|c| percent(c.refused, c.came), 1),
            column(&|c| c.stall.p50_ms, 0),
            column(&|c| c.stall.p95_ms, 0),
            column(&|c| c.stall.p99_ms, 0),
            column(&|c| c.wait.p99_ms, 0),
        ]);
    }
    print!("{table}");
}

/// Formats the mean of a value over runs, with its confidence interval.
fn cell(runs: &[Measures], value: &dyn Fn(&Measures) -> f64, digits: usize) -> String {
    let values: Vec<f64> = runs.iter().map(value).collect();
    let (mean, spread) = mean_and_margin(&values);
    format!("{mean:.digits$} ±{spread:.digits$}")
}
