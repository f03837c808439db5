//! `tinbay load`.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use tinbay_core::config::{ConfigObject, Kind};
use tinbay_core::ids::ModelRef;

use super::{api, block_on};
use crate::api::Api;
use crate::caller::Outcome;
use crate::drive::{DrivePlan, drive};
use crate::error::CliError;
use crate::options::{CommonOptions, LoadOptions};
use crate::report::{Table, print_json};

/// Time within which callers retry requests that were not run; zero, so that every refusal is
/// counted.
const RETRY_WINDOW: Duration = Duration::ZERO;

/// Time between two samples of the engines' batch sizes.
const BATCH_SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Quantiles of a time.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: u64,
    /// 95th percentile.
    pub p95_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
}

/// Results of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassReport {
    /// Number of requests sent.
    pub sent: usize,
    /// Number of complete answers.
    pub answered: usize,
    /// Number of requests that were refused without being run.
    pub refused: usize,
    /// Number of requests with any other outcome.
    pub failed: usize,
    /// Number of answers that differ from what the model generates; 0 without `--verify`.
    pub wrong: usize,
    /// Wait until the adapter is loaded.
    pub stall: Quantiles,
    /// Time to the first token.
    pub first_token: Quantiles,
}

/// Results of a load run.
#[derive(Debug, Clone, Serialize)]
pub struct LoadReport {
    /// Results by class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Mean used share of the batch limit, over engines that run at least one request.
    pub batch_efficiency: f64,
}

/// Generates load and prints the results.
///
/// # Errors
/// Returns [`CliError::WrongAnswers`] if `--verify` finds any, [`CliError::Option`] if there is no
/// adapter version, and the errors of [`Api`].
pub fn run(common: &CommonOptions, options: &LoadOptions) -> Result<(), CliError> {
    let api = api(common);
    let box_addresses = common.box_addresses.clone();
    let token = common.token.clone();
    let owned_options = options.clone();
    let (outcomes, batch_efficiency) = block_on(move || async move {
        let models = fetch_models(&api).await?;
        let plan = to_plan(&owned_options, box_addresses, models);
        let length = plan.duration;
        let load = drive(plan);
        let batch_efficiency = sample_batches(&api, token, length);
        Ok(futures_util::future::join(load, batch_efficiency).await)
    })?;
    let report = LoadReport {
        classes: summarise(&outcomes, options.verify),
        batch_efficiency,
    };
    if common.json {
        print_json(&report)?;
    } else {
        print_report(&report);
    }
    match report.classes.values().map(|class| class.wrong).sum() {
        0 => Ok(()),
        wrong => Err(CliError::WrongAnswers(wrong)),
    }
}

fn to_plan(options: &LoadOptions, box_addresses: Vec<String>, models: Vec<ModelRef>) -> DrivePlan {
    DrivePlan {
        box_addresses,
        pinned: None,
        models,
        rate_per_s: options.rate_per_s,
        duration: Duration::from_secs(options.seconds),
        skew: options.skew,
        classes: options.classes.clone(),
        max_tokens: options.max_tokens,
        seed: options.seed,
        keyed: false,
        retry_window: RETRY_WINDOW,
    }
}

async fn fetch_models(api: &Api) -> Result<Vec<ModelRef>, CliError> {
    let records = api.objects(Some(Kind::Version), None).await?;
    let models: Vec<ModelRef> = records
        .into_iter()
        .filter_map(|record| match record.object {
            ConfigObject::Version(version) => Some(ModelRef::new(version.adapter, version.name)),
            _ => None,
        })
        .collect();
    if models.is_empty() {
        return Err(CliError::Option {
            option: "server",
            value: "an empty configuration".to_owned(),
            allowed: "apply adapters and versions first",
        });
    }
    Ok(models)
}

/// Returns the mean used share of the batch limit, over samples of engines that run at least one
/// request.
async fn sample_batches(api: &Api, token: Option<String>, length: Duration) -> f64 {
    let Ok(status) = api.status().await else {
        return 0.0;
    };
    let limits = batch_limits(api).await;
    let deadline = tokio::time::Instant::now() + length;
    let (mut running, mut capacity) = (0, 0);
    while tokio::time::Instant::now() < deadline {
        for entry in &status.boxes {
            let box_api = Api::new(&CommonOptions {
                box_addresses: vec![entry.record.address.clone()],
                token: token.clone(),
                json: false,
            });
            let Ok(answer) = box_api.status().await else {
                continue;
            };
            for engine in answer.engines.iter().filter(|engine| engine.running > 0) {
                running += engine.running;
                capacity += limits.get(engine.engine.as_str()).copied().unwrap_or(0);
            }
        }
        tokio::time::sleep(BATCH_SAMPLE_INTERVAL).await;
    }
    running as f64 / capacity.max(1) as f64
}

async fn batch_limits(api: &Api) -> BTreeMap<String, usize> {
    let records = api
        .objects(Some(Kind::Engine), None)
        .await
        .unwrap_or_default();
    records
        .into_iter()
        .filter_map(|record| match record.object {
            ConfigObject::Engine(engine) => {
                Some((engine.name.to_string(), engine.batch_limit as usize))
            }
            _ => None,
        })
        .collect()
}

/// Summarises outcomes by class.
pub fn summarise(outcomes: &[Outcome], verify: bool) -> BTreeMap<String, ClassReport> {
    let mut by_class: BTreeMap<String, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        by_class
            .entry(outcome.class.clone())
            .or_default()
            .push(outcome);
    }
    by_class
        .into_iter()
        .map(|(class, outcomes)| {
            let name = if class.is_empty() {
                "standard".to_owned()
            } else {
                class
            };
            (name, summarise_class(&outcomes, verify))
        })
        .collect()
}

fn summarise_class(outcomes: &[&Outcome], verify: bool) -> ClassReport {
    let answered: Vec<&&Outcome> = outcomes.iter().filter(|o| o.whole).collect();
    let refused = outcomes.iter().filter(|o| o.is_reported_not_run()).count();
    let wrong = outcomes.iter().filter(|o| verify && o.is_wrong()).count();
    ClassReport {
        sent: outcomes.len(),
        answered: answered.len(),
        refused,
        failed: outcomes.len() - answered.len() - refused,
        wrong,
        stall: quantiles(answered.iter().map(|o| o.stall_ms)),
        first_token: quantiles(answered.iter().map(|o| o.first_token_ms as u64)),
    }
}

fn quantiles(values: impl Iterator<Item = u64>) -> Quantiles {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return Quantiles::default();
    };
    for value in values {
        histogram.saturating_record(value);
    }
    Quantiles {
        p50_ms: histogram.value_at_quantile(0.50),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
    }
}

fn print_report(report: &LoadReport) {
    let mut table = Table::new(&[
        "CLASS",
        "SENT",
        "ANSWERED",
        "REFUSED",
        "FAILED",
        "STALL_P50",
        "STALL_P95",
        "STALL_P99",
        "FIRST_P50",
        "FIRST_P95",
        "FIRST_P99",
    ]);
    for (class, measured) in &report.classes {
        let numbers = [
            measured.sent as u64,
            measured.answered as u64,
            measured.refused as u64,
            measured.failed as u64,
            measured.stall.p50_ms,
            measured.stall.p95_ms,
            measured.stall.p99_ms,
            measured.first_token.p50_ms,
            measured.first_token.p95_ms,
            measured.first_token.p99_ms,
        ];
        let mut row = vec![class.clone()];
        row.extend(numbers.iter().map(ToString::to_string));
        table.add(row);
    }
    print!("{table}");
    println!(
        "\nbatch efficiency {:.2} (times in ms)",
        report.batch_efficiency
    );
}
