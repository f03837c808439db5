//! Counts of requests over time, in steps whose length doubles as a log covers a longer period.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use super::class::RequestClass;
use super::entry::RequestEntry;
use super::tally::{Counts, Row};

/// Counts by time step.
#[derive(Debug, Clone)]
pub struct TimeSeries {
    max_steps: usize,
    step_s: u64,
    by_step: BTreeMap<u64, Counts>,
    without_time: u64,
}

impl TimeSeries {
    /// Creates an empty series with steps of one second; their length doubles whenever there would
    /// be more than `max_steps` of them with requests.
    pub fn new(max_steps: usize) -> Self {
        Self {
            max_steps: max_steps.max(1),
            step_s: 1,
            by_step: BTreeMap::new(),
            without_time: 0,
        }
    }

    /// Counts a request.
    pub fn add(&mut self, request: &RequestEntry<'_>, class: RequestClass) {
        let Some(second) = request.time.as_deref().and_then(parse_second) else {
            self.without_time += 1;
            return;
        };
        let step = second / self.step_s;
        self.by_step.entry(step).or_default().add(request, class);
        while self.by_step.len() > self.max_steps {
            self.double_step();
        }
    }

    fn double_step(&mut self) {
        let old_steps = std::mem::take(&mut self.by_step);
        self.step_s *= 2;
        for (step, counts) in old_steps {
            self.by_step.entry(step / 2).or_default().merge(&counts);
        }
    }

    /// The counts in order of time.
    pub fn report(&self) -> TimeSeriesReport {
        let rows = self.by_step.iter().map(|(step, counts)| Row {
            key: StepStart {
                time: format_second(step * self.step_s),
            },
            counts: counts.clone(),
        });
        TimeSeriesReport {
            step_s: self.step_s,
            without_time: self.without_time,
            rows: rows.collect(),
        }
    }
}

/// Counts by time step in order of time; steps without requests are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimeSeriesReport {
    /// Length of a step in seconds.
    pub step_s: u64,
    /// Number of requests whose line has no valid time.
    pub without_time: u64,
    /// The steps.
    pub rows: Vec<Row<StepStart>>,
}

/// A key of the start of a time step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct StepStart {
    /// Start of the step by the boxes' clocks.
    pub time: String,
}

fn parse_second(time: &str) -> Option<u64> {
    let time = humantime::parse_rfc3339(time).ok()?;
    let since_epoch = time.duration_since(UNIX_EPOCH).ok()?;
    Some(since_epoch.as_secs())
}

fn format_second(second: u64) -> String {
    let time: SystemTime = UNIX_EPOCH + Duration::from_secs(second);
    humantime::format_rfc3339_seconds(time).to_string()
}
