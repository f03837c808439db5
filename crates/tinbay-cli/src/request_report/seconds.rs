//! Counts of requests by the time of their lines, in steps that widen as a log gets longer.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

use super::class::RequestClass;
use super::entry::RequestEntry;
use super::tally::{Counts, Row};

/// Counts by steps of time.
#[derive(Debug, Clone)]
pub struct SecondsTally {
    most_steps: usize,
    step_s: u64,
    by_step: BTreeMap<u64, Counts>,
    without_time: u64,
}

impl SecondsTally {
    /// An empty tally of one-second steps; with more than `most_steps` of them they widen.
    pub fn new(most_steps: usize) -> Self {
        Self {
            most_steps: most_steps.max(1),
            step_s: 1,
            by_step: BTreeMap::new(),
            without_time: 0,
        }
    }

    /// Counts a request.
    pub fn add(&mut self, request: &RequestEntry<'_>, class: RequestClass) {
        let Some(second) = request.time.as_deref().and_then(read_second) else {
            self.without_time += 1;
            return;
        };
        let step = second / self.step_s;
        self.by_step.entry(step).or_default().add(request, class);
        while self.by_step.len() > self.most_steps {
            self.widen();
        }
    }

    fn widen(&mut self) {
        let narrow = std::mem::take(&mut self.by_step);
        self.step_s *= 2;
        for (step, counts) in narrow {
            self.by_step.entry(step / 2).or_default().merge(&counts);
        }
    }

    /// The counts in the order of time.
    pub fn report(&self) -> SecondsReport {
        let rows = self.by_step.iter().map(|(step, counts)| Row {
            key: StepStart {
                time: format_second(step * self.step_s),
            },
            counts: counts.clone(),
        });
        SecondsReport {
            step_s: self.step_s,
            without_time: self.without_time,
            rows: rows.collect(),
        }
    }
}

/// Counts by steps of time, in its order; steps without requests are left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SecondsReport {
    /// Length of a step.
    pub step_s: u64,
    /// Requests whose line tells no time that can be read.
    pub without_time: u64,
    /// The steps.
    pub rows: Vec<Row<StepStart>>,
}

/// When a step of time begins.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct StepStart {
    /// The time, by the clocks of the boxes.
    pub time: String,
}

fn read_second(time: &str) -> Option<u64> {
    let time = humantime::parse_rfc3339(time).ok()?;
    let since = time.duration_since(UNIX_EPOCH).ok()?;
    Some(since.as_secs())
}

fn format_second(second: u64) -> String {
    let time: SystemTime = UNIX_EPOCH + Duration::from_secs(second);
    humantime::format_rfc3339_seconds(time).to_string()
}
