//! Exponentially decaying counters and averages.

use crate::units::Millis;

/// Half-life of an adapter's demand.
const HALF_LIFE_MS: f64 = 300_000.0;

/// Weight of the newest sample in a moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponentially decaying count of the requests for a model.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    weight: f64,
    updated_ms: Millis,
}

impl Demand {
    /// Counts one request.
    pub fn add_request(&mut self, now_ms: Millis) {
        self.weight = self.at(now_ms) + 1.0;
        self.updated_ms = now_ms;
    }

    /// The count, decayed up to `now_ms`.
    pub fn at(&self, now_ms: Millis) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

/// Exponentially weighted moving average of durations.
#[derive(Debug, Clone, Copy)]
pub struct MovingAverage {
    mean_ms: f64,
}

impl MovingAverage {
    /// Creates an average with an initial estimate.
    pub fn new(initial_ms: f64) -> Self {
        Self {
            mean_ms: initial_ms,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample_ms: Millis) {
        self.mean_ms += NEWEST_WEIGHT * (sample_ms as f64 - self.mean_ms);
    }

    /// The average, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.mean_ms
    }
}
