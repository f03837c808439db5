//! Results of an experiment.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use tinbay_core::units::Millis;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of a duration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

/// Results of one priority class.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ClassMeasures {
    /// Requests that arrived.
    pub came: u64,
    /// Requests that started within their maximum wait.
    pub in_time: u64,
    /// Requests that started later; only the naive strategies start these.
    pub late: u64,
    /// Requests that were refused without having run.
    pub refused: u64,
    /// Wait for the adapter to be loaded, of started requests.
    pub stall: Quantiles,
    /// Total wait before the start, of started requests.
    pub wait: Quantiles,
}

/// Results of one run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Measures {
    /// Results by class.
    pub classes: BTreeMap<String, ClassMeasures>,
    /// Fraction of the batch places that were occupied while requests waited.
    pub batch_efficiency: f64,
    /// Loads started.
    pub loads: u64,
    /// Unloads of a model that was serving; must be 0.
    pub unloads_while_serving: u64,
    /// Lowest fraction of urgent requests that started in time, of all organisations with at least
    /// [`MIN_ORGANISATION_REQUESTS`] of them.
    pub least_organisation_in_time: f64,
}

/// Minimum number of urgent requests of an organisation for its fraction to be meaningful.
pub const MIN_ORGANISATION_REQUESTS: u64 = 20;

/// Collects the results of one class.
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
    /// Creates a collector without results.
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

    /// Records the arrival of a request.
    pub fn note_arrival(&mut self) {
        self.came += 1;
    }

    /// Records the start of a request.
    pub fn note_start(&mut self, stall_ms: Millis, wait_ms: Millis, in_time: bool) {
        self.in_time += u64::from(in_time);
        self.late += u64::from(!in_time);
        self.stall.saturating_record(stall_ms);
        self.wait.saturating_record(wait_ms);
    }

    /// Records the refusal of a request.
    pub fn note_refusal(&mut self) {
        self.refused += 1;
    }

    /// Returns the results.
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
    // From 1 ms to one day. These bounds are valid, so that this can't fail.
    Histogram::new_with_bounds(1, 86_400_000, SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!())
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64;
    Quantiles {
        p50_ms: at(0.50),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}

/// Returns the mean and half the width of its 95% confidence interval (normal approximation).
pub fn mean_and_margin(values: &[f64]) -> (f64, f64) {
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
