//! Slowness of one server compared with its service, decaying within a second.

use crate::serving::decay::decayed;
use crate::units::Millis;

/// Half-life of the samples: little is left of them after a second, as a server that is avoided
/// gives no new ones.
const HALF_LIFE_MS: f64 = 250.0;

/// Weight of the prior that a server is as fast as the others, in answers.
const PRIOR_WEIGHT: f64 = 0.5;

/// Range to which the slowness of a single answer is clamped.
const PLAUSIBLE_RATIOS: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// Slowness assumed for a server that announces a slow start.
pub const SLOW_START: f64 = 2.0;

/// Upper bound of the announced duration of a slow start.
pub const MAX_SLOW_START_MS: Millis = 60_000;

/// Weighted average of a server's response times relative to the usual time, with newer answers
/// counting more.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Slowness {
    /// Weighted sum of the logarithms of the ratios.
    sum: f64,
    weight: f64,
    recorded_ms: Millis,
}

impl Slowness {
    /// Records the expected and the actual response time of an answer.
    pub fn record(&mut self, expected_ms: f64, took_ms: f64, now_ms: Millis) {
        let (fastest, slowest) = PLAUSIBLE_RATIOS.into_inner();
        let factor = (took_ms.max(1.0) / expected_ms.max(1.0)).clamp(fastest, slowest);
        self.sum = self.remaining(self.sum, now_ms) + factor.ln();
        self.weight = self.remaining(self.weight, now_ms) + 1.0;
        self.recorded_ms = now_ms;
    }

    /// Ratio to the usual response time; 1 without recent answers.
    pub fn factor(&self, now_ms: Millis) -> f64 {
        let sum = self.remaining(self.sum, now_ms);
        let weight = self.remaining(self.weight, now_ms);
        (sum / (weight + PRIOR_WEIGHT)).exp()
    }

    fn remaining(&self, amount: f64, now_ms: Millis) -> f64 {
        decayed(amount, self.recorded_ms, HALF_LIFE_MS, now_ms)
    }
}

/// Effective load of a server that is slower by the factor `slowness`: the load ahead of a request
/// takes longer, and so does the request itself. `load` and `own_load` are fractions of the
/// objective or of the server's slots; with a slowness of 1 the load is unchanged.
pub fn slowed_load(load: f64, own_load: f64, slowness: f64) -> f64 {
    load + (slowness - 1.0) * (load + own_load)
}
