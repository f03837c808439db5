//! Summaries of loads, calls and processes that scripts receive.

use std::collections::BTreeMap;

use serde::Serialize;
use tinbay_wire::error_body::ErrorCode;

use crate::caller::{Outcome, ServiceOutcome};

/// Summary of a load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadSummary {
    /// Requests sent.
    pub sent: usize,
    /// Complete and correct responses.
    pub right: usize,
    /// Complete responses that are not correct, and responses with a chunk that named another model
    /// or was out of order.
    pub wrong: usize,
    /// Requests reported as not run.
    pub not_run: usize,
    /// All other requests: neither a complete response nor a report that they did not run.
    pub lost: usize,
    /// Requests that were resumed.
    pub resumed: usize,
    /// Requests sent again for the whole response because the rest of an interrupted one was no
    /// longer available.
    pub started_over: usize,
    /// Longest time to the first token in milliseconds, over the correct responses.
    pub first_token_max_ms: f64,
    /// 99th percentile of the time to a refusal in milliseconds, over the requests reported as not
    /// run.
    pub refusal_p99_ms: f64,
    /// The same, over the requests refused because they would have started too late.
    pub overloaded_p99_ms: f64,
    /// Correct responses of the class `counter`.
    pub counter_right: usize,
    /// Requests of the class `counter`.
    pub counter_sent: usize,
    /// Keys of the requests reported as not run.
    pub not_run_keys: Vec<String>,
    /// Keys of all requests.
    pub keys: Vec<String>,
    /// Number of errors by code.
    pub failures: BTreeMap<String, usize>,
}

/// Summary of calls of a plain service.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CallSummary {
    /// Calls sent.
    pub sent: usize,
    /// Calls answered.
    pub answered: usize,
    /// Keys of all calls.
    pub keys: Vec<String>,
    /// Keys of calls of which every attempt was reported as not run.
    pub not_run_keys: Vec<String>,
}

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// CPU time used so far.
    pub cpu_ms: u64,
    /// Resident memory.
    pub memory_kib: u64,
}

/// Returns the 99th percentile of the time to the final outcome, or 0 without requests.
fn p99_ms<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let mut times: Vec<f64> = outcomes.map(|outcome| outcome.total_ms).collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// Summarises the outcomes of a load.
pub fn summarise_load(outcomes: &[Outcome]) -> LoadSummary {
    let count = |matches: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| matches(o)).count();
    let not_run: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| o.is_reported_not_run())
        .collect();
    let overloaded = not_run.iter().copied().filter(|o| {
        let failure = o.failure.as_ref();
        failure.is_some_and(|failure| failure.code == ErrorCode::Overloaded)
    });
    let overloaded_p99_ms = p99_ms(overloaded);
    let refusal_p99_ms = p99_ms(not_run.iter().copied());
    let right = count(&|o| o.is_right());
    let wrong = count(&|o| o.is_wrong());
    let first_tokens = outcomes
        .iter()
        .filter(|o| o.is_right())
        .map(|o| o.first_token_ms);
    let mut failures = BTreeMap::new();
    for failure in outcomes.iter().filter_map(|o| o.failure.as_ref()) {
        let code = serde_json::to_value(failure.code).unwrap_or_default();
        let code = code.as_str().unwrap_or_default().to_owned();
        *failures.entry(code).or_default() += 1;
    }
    LoadSummary {
        sent: outcomes.len(),
        right,
        wrong,
        not_run: not_run.len(),
        lost: outcomes.len() - right - wrong - not_run.len(),
        resumed: count(&|o| o.resumes > 0),
        started_over: count(&|o| o.start_overs > 0),
        first_token_max_ms: first_tokens.fold(0.0, f64::max),
        refusal_p99_ms,
        overloaded_p99_ms,
        counter_right: count(&|o| o.class == "counter" && o.is_right()),
        counter_sent: count(&|o| o.class == "counter"),
        not_run_keys: not_run.iter().map(|o| o.key.clone()).collect(),
        keys: outcomes.iter().map(|o| o.key.clone()).collect(),
        failures,
    }
}

/// Summarises the outcomes of calls of a plain service.
pub fn summarise_calls(outcomes: &[ServiceOutcome]) -> CallSummary {
    let not_run = outcomes.iter().filter(|o| !o.answered && !o.maybe_ran);
    CallSummary {
        sent: outcomes.len(),
        answered: outcomes.iter().filter(|o| o.answered).count(),
        keys: outcomes.iter().map(|o| o.key.clone()).collect(),
        not_run_keys: not_run.map(|o| o.key.clone()).collect(),
    }
}

/// Returns the sum of a metric over its labels, from the text that a box exposes.
pub fn sum_metric(text: &str, metric: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(metric))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
