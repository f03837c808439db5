//! What an experiment measures.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use tinbay_core::units::Millis;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Quantiles of one measure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half are below.
    pub p50_ms: f64,
    /// 95 in 100 are below.
    pub p95_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
}

/// What was measured of one class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassMeasures {
    /// Requests that came.
    pub came: u64,
    /// Requests that started in time.
    pub in_time: u64,
    /// Requests that started after their last moment; only the naive ways do that.
    pub late: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Wait for the adapter to be loaded, over started requests.
    pub stall: Quantiles,
    /// Whole wait before the start, over started requests.
    pub wait: Quantiles,
}

/// What was measured in one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Measures {
    /// By class.
    pub classes: BTreeMap<String, ClassMeasures>,
    /// Share of the batch in use while requests waited.
    pub batch_efficiency: f64,
    /// Loads begun.
    pub loads: u64,
    /// Unloads of a model that served; must be 0.
    pub unloads_while_serving: u64,
    /// Least share of an organisation's requests that started in time, over organisations
    /// with at least [`FAIRNESS_LEAST`] requests of urgent classes.
    pub least_organisation_in_time: f64,
}

/// Requests below which an organisation's share says little.
pub const FAIRNESS_LEAST: u64 = 20;

/// Collects the measures of one class.
#[derive(Debug)]
pub struct ClassCollector {
    came: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    stall: Histogram<u64>,
    wait: Histogram<u64>,
}

impl ClassCollector {
    /// Nothing collected yet.
    pub fn new() -> Self {
        Self {
            came: 0,
            in_time: 0,
            late: 0,
            refused: 0,
            stall: histogram(),
            wait: histogram(),
        }
    }

    /// A request came.
    pub fn note_arrival(&mut self) {
        self.came += 1;
    }

    /// A request started.
    pub fn note_start(&mut self, stall_ms: Millis, wait_ms: Millis, in_time: bool) {
        self.in_time += u64::from(in_time);
        self.late += u64::from(!in_time);
        self.stall.saturating_record(stall_ms);
        self.wait.saturating_record(wait_ms);
    }

    /// A request was refused.
    pub fn note_refusal(&mut self) {
        self.refused += 1;
    }

    /// The measures.
    pub fn finish(&self) -> ClassMeasures {
        ClassMeasures {
            came: self.came,
            in_time: self.in_time,
            late: self.late,
            refused: self.refused,
            stall: quantiles(&self.stall),
            wait: quantiles(&self.wait),
        }
    }
}

fn histogram() -> Histogram<u64> {
    // Between 1 ms and a day; the bounds are valid, so this cannot fail.
    Histogram::new_with_bounds(1, 86_400_000, DIGITS).unwrap_or_else(|_| unreachable!())
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64;
    Quantiles {
        p50_ms: at(0.50),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

/// Mean and half the width of a 95% confidence interval over seeds (normal approximation).
pub fn mean_and_spread(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    if values.is_empty() {
        return (0.0, 0.0);
    }
    let mean = values.iter().sum::<f64>() / count;
    if values.len() < 2 {
        return (mean, 0.0);
    }
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    let deviation = (squares / (count - 1.0)).sqrt();
    (mean, 1.96 * deviation / count.sqrt())
}
