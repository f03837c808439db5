//! Estimates how soon slots of a server become free.

use crate::serving::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the measurement, which spans several requests.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Assumed time per request before there are measurements: an answer of some tens of chunks.
const INITIAL_HELD_MS: f64 = 1_000.0;

/// Weight of [`INITIAL_HELD_MS`], in requests.
const INITIAL_REQUESTS: f64 = 5.0;

/// Range to which the estimate is clamped.
const PLAUSIBLE_MS: std::ops::RangeInclusive<f64> = 50.0..=20_000.0;

/// Measures how long requests occupy the slots of a server, from the number of running requests
/// and the number of starts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotTimes {
    /// Slot time used by all requests together.
    held_ms: DecayingValue,
    begun: DecayingValue,
    running: usize,
    noted_ms: Millis,
}

impl SlotTimes {
    /// Records how many requests run from now on.
    pub fn note_running(&mut self, running: usize, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.noted_ms) as f64;
        let held_ms = self.running as f64 * passed_ms;
        self.held_ms.add(held_ms, HALF_LIFE_MS, now_ms);
        self.running = running;
        self.noted_ms = now_ms;
    }

    /// Records that requests started.
    pub fn note_begun(&mut self, count: usize, now_ms: Millis) {
        self.begun.add(count as f64, HALF_LIFE_MS, now_ms);
    }

    /// Estimated time for which a request occupies its slot.
    pub fn mean_held_ms(&self, now_ms: Millis) -> f64 {
        let held_ms = self.held_ms.at(HALF_LIFE_MS, now_ms) + INITIAL_REQUESTS * INITIAL_HELD_MS;
        let requests = self.begun.at(HALF_LIFE_MS, now_ms) + INITIAL_REQUESTS;
        let (shortest_ms, longest_ms) = PLAUSIBLE_MS.into_inner();
        (held_ms / requests).clamp(shortest_ms, longest_ms)
    }

    /// Estimated interval between two slots that become free, while all are taken.
    pub fn release_interval_ms(&self, slots: usize, now_ms: Millis) -> f64 {
        self.mean_held_ms(now_ms) / slots.max(1) as f64
    }
}
