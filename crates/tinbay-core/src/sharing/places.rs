//! Estimates how soon slots of a server become free.

use crate::serving::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the recorded slot time and starts, long enough to span several requests.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Assumed time per request before there are measurements: an answer of some tens of chunks.
const INITIAL_SLOT_TIME_MS: f64 = 1_000.0;

/// Weight of [`INITIAL_SLOT_TIME_MS`], in requests.
const INITIAL_REQUESTS: f64 = 5.0;

/// Range to which the estimate is clamped.
const SLOT_TIME_RANGE_MS: std::ops::RangeInclusive<f64> = 50.0..=20_000.0;

/// Measures how long requests occupy the slots of a server, from the number of running requests
/// and the number of starts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SlotTimes {
    /// Slot time used by all requests together.
    slot_time_ms: DecayingValue,
    starts: DecayingValue,
    running: usize,
    updated_ms: Millis,
}

impl SlotTimes {
    /// Records how many requests run from now on.
    pub fn record_running(&mut self, running: usize, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let slot_time_ms = self.running as f64 * passed_ms;
        self.slot_time_ms.add(slot_time_ms, HALF_LIFE_MS, now_ms);
        self.running = running;
        self.updated_ms = now_ms;
    }

    /// Records that requests started.
    pub fn record_starts(&mut self, count: usize, now_ms: Millis) {
        self.starts.add(count as f64, HALF_LIFE_MS, now_ms);
    }

    /// Estimated time for which a request occupies its slot.
    pub fn mean_slot_time_ms(&self, now_ms: Millis) -> f64 {
        let slot_time_ms =
            self.slot_time_ms.at(HALF_LIFE_MS, now_ms) + INITIAL_REQUESTS * INITIAL_SLOT_TIME_MS;
        let requests = self.starts.at(HALF_LIFE_MS, now_ms) + INITIAL_REQUESTS;
        let (shortest_ms, longest_ms) = SLOT_TIME_RANGE_MS.into_inner();
        (slot_time_ms / requests).clamp(shortest_ms, longest_ms)
    }

    /// Estimated interval between two slots that become free, while all are taken.
    pub fn release_interval_ms(&self, slots: usize, now_ms: Millis) -> f64 {
        self.mean_slot_time_ms(now_ms) / slots.max(1) as f64
    }
}
