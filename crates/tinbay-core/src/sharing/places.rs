//! How soon places of a server become free.

use crate::serving::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of what is known of it: some requests.
const HALF_LIFE_MS: f64 = 4_000.0;

/// How long a place is taken to be held until it has been measured: an answer of some tens of pieces.
const FIRST_HELD_MS: f64 = 1_000.0;

/// Requests whose weight that first guess has.
const FIRST_REQUESTS: f64 = 5.0;

/// Shortest and longest time that is believed.
const BELIEVABLE_MS: std::ops::RangeInclusive<f64> = 50.0..=20_000.0;

/// How long requests hold the places of a server, by how many run and how many begin.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlaceTimes {
    /// Time held by all requests.
    held_ms: DecayingValue,
    begun: DecayingValue,
    running: usize,
    noted_ms: Millis,
}

impl PlaceTimes {
    /// Notes how many requests run from now on.
    pub fn note_running(&mut self, running: usize, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.noted_ms) as f64;
        let held_ms = self.running as f64 * passed_ms;
        self.held_ms.add(held_ms, HALF_LIFE_MS, now_ms);
        self.running = running;
        self.noted_ms = now_ms;
    }

    /// Notes that requests began.
    pub fn note_begun(&mut self, count: usize, now_ms: Millis) {
        self.begun.add(count as f64, HALF_LIFE_MS, now_ms);
    }

    /// Usual time for which a request holds its place.
    pub fn place_ms(&self, now_ms: Millis) -> f64 {
        let held_ms = self.held_ms.at(HALF_LIFE_MS, now_ms) + FIRST_REQUESTS * FIRST_HELD_MS;
        let requests = self.begun.at(HALF_LIFE_MS, now_ms) + FIRST_REQUESTS;
        let (shortest_ms, longest_ms) = BELIEVABLE_MS.into_inner();
        (held_ms / requests).clamp(shortest_ms, longest_ms)
    }

    /// Usual time from one place that becomes free to the next, while all are taken.
    pub fn gap_ms(&self, slots: usize, now_ms: Millis) -> f64 {
        self.place_ms(now_ms) / slots.max(1) as f64
    }
}
