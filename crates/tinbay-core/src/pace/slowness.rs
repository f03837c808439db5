//! One server's speed against what its service usually does, fading within a second.

use crate::serving::fading::faded;
use crate::units::Millis;

/// Half-life of what was seen: little is left of it after a second, as a server that is passed over
/// shows nothing new.
const HALF_LIFE_MS: f64 = 250.0;

/// Weight of the belief that a server is like the others, in answers.
const ALIKE_WEIGHT: f64 = 0.5;

/// Slowest and fastest that one answer makes a server look.
const BELIEVABLE: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// Slowness of a server that says it is slow after its start.
pub const SLOW_START: f64 = 2.0;

/// Longest slowness after a start that is believed.
pub const MOST_SLOW_START_MS: Millis = 60_000;

/// How one server's answers stood to the usual time, newer ones counting more.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Slowness {
    /// Sum of the logarithms, by weight.
    sum: f64,
    weight: f64,
    noted_ms: Millis,
}

impl Slowness {
    /// Notes an answer that was expected to take so long and took so long.
    pub fn note(&mut self, expected_ms: f64, took_ms: f64, now_ms: Millis) {
        let (fastest, slowest) = BELIEVABLE.into_inner();
        let factor = (took_ms.max(1.0) / expected_ms.max(1.0)).clamp(fastest, slowest);
        self.sum = self.left(self.sum, now_ms) + factor.ln();
        self.weight = self.left(self.weight, now_ms) + 1.0;
        self.noted_ms = now_ms;
    }

    /// Factor over the usual time; 1 where nothing was seen lately.
    pub fn factor(&self, now_ms: Millis) -> f64 {
        let sum = self.left(self.sum, now_ms);
        let weight = self.left(self.weight, now_ms);
        (sum / (weight + ALIKE_WEIGHT)).exp()
    }

    fn left(&self, amount: f64, now_ms: Millis) -> f64 {
        faded(amount, self.noted_ms, HALF_LIFE_MS, now_ms)
    }
}

/// How busy a server counts that does everything by this factor slower: what is there before a
/// request takes longer, and so does the request's own work. All are parts of the objective or of
/// the server's places; a server that is like the others counts as busy as it is.
pub fn slowed_load(load: f64, own_part: f64, slowness: f64) -> f64 {
    load + (slowness - 1.0) * (load + own_part)
}
