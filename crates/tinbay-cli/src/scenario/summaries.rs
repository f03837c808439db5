//! What a scenario gets to see of loads, calls and processes.

use std::collections::BTreeMap;

use serde::Serialize;
use tinbay_wire::error_body::ErrorCode;

use crate::caller::{Outcome, ServiceOutcome};

/// What became of a load.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LoadSummary {
    /// Requests sent.
    pub sent: usize,
    /// Right and whole answers.
    pub right: usize,
    /// Whole answers that are not right, or mixed up ones.
    pub wrong: usize,
    /// Told that nothing ran.
    pub not_run: usize,
    /// Neither answered nor told that nothing ran.
    pub lost: usize,
    /// Requests that were resumed.
    pub resumed: usize,
    /// Requests that were asked for anew, as the rest of a broken answer was gone.
    pub started_over: usize,
    /// Slowest first token in milliseconds, over the right answers.
    pub first_token_max_ms: f64,
    /// 99th percentile of the time to any refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// The same for those refused because they would start too late.
    pub overloaded_p99_ms: f64,
    /// Right answers of the class `counter`.
    pub counter_right: usize,
    /// Requests of the class `counter`.
    pub counter_sent: usize,
    /// Keys of requests told that nothing ran.
    pub not_run_keys: Vec<String>,
    /// Keys of every request.
    pub keys: Vec<String>,
    /// Failures by code.
    pub failures: BTreeMap<String, usize>,
}

/// What became of many calls of a plain service.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CallSummary {
    /// Calls sent.
    pub sent: usize,
    /// Calls answered.
    pub answered: usize,
    /// Keys of all calls.
    pub keys: Vec<String>,
    /// Keys of calls told at every ask that nothing ran.
    pub not_run_keys: Vec<String>,
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Usage {
    /// Processor time so far.
    pub cpu_ms: u64,
    /// Resident memory.
    pub memory_kib: u64,
}

/// 99th percentile of the whole time of requests.
fn p99_ms<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let mut times: Vec<f64> = outcomes.map(|outcome| outcome.total_ms).collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() * 99 / 100).copied().unwrap_or(0.0)
}

/// Sums up what became of a load's requests.
pub fn summarise(outcomes: &[Outcome]) -> LoadSummary {
    let count = |meets: &dyn Fn(&Outcome) -> bool| outcomes.iter().filter(|o| meets(o)).count();
    let not_run: Vec<&Outcome> = outcomes.iter().filter(|o| o.is_told_not_run()).collect();
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

/// Sums up what became of calls of a plain service.
pub fn summarise_calls(outcomes: &[ServiceOutcome]) -> CallSummary {
    let not_run = outcomes.iter().filter(|o| !o.answered && !o.maybe_ran);
    CallSummary {
        sent: outcomes.len(),
        answered: outcomes.iter().filter(|o| o.answered).count(),
        keys: outcomes.iter().map(|o| o.key.clone()).collect(),
        not_run_keys: not_run.map(|o| o.key.clone()).collect(),
    }
}

/// The sum of a metric over its labels, in a box's text format.
pub fn sum_metric(text: &str, metric: &str) -> f64 {
    text.lines()
        .filter(|line| line.starts_with(metric))
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}
