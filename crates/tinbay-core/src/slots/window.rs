//! How many slots of a server are leased out at most: fewer than it has after it rejected a request
//! or failed, as something else may occupy the others.

use crate::units::{MS_PER_SECOND, Millis};

/// Fraction of the slots that is leased at first if it is not known what runs at the server.
const FIRST_FRACTION: f64 = 0.25;

/// Factor by which a rejection lowers the window.
const REJECTED_FACTOR: f64 = 0.75;

/// Slots by which the window grows again each second after a rejection.
const RECOVERY_PER_S: f64 = 1.0;

/// Consecutive requests that end without an answer after which the server counts as failed. A single
/// one may be the fault of its box's links.
const MIN_FAILURES: u32 = 2;

/// Upper bound of the slots of one server that are leased at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Window {
    limit: f64,
    /// Whether each answer lets the window grow by a slot; otherwise it grows with time.
    grows_with_answers: bool,
    grown_ms: Millis,
    failures: u32,
}

impl Window {
    /// A window of all slots.
    pub fn full(slots: usize, now_ms: Millis) -> Self {
        Self {
            limit: slots.max(1) as f64,
            grows_with_answers: true,
            grown_ms: now_ms,
            failures: 0,
        }
    }

    /// A window for a server of which it is not known what runs there.
    pub fn first(slots: usize, now_ms: Millis) -> Self {
        Self {
            limit: (slots as f64 * FIRST_FRACTION).max(1.0),
            ..Self::full(slots, now_ms)
        }
    }

    /// Number of slots that may be leased out.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Lets the window grow with the time since the last rejection.
    pub fn grow(&mut self, slots: usize, now_ms: Millis) {
        if !self.grows_with_answers {
            let passed_s = now_ms.saturating_sub(self.grown_ms) as f64 / MS_PER_SECOND as f64;
            self.raise(passed_s * RECOVERY_PER_S, slots);
        }
        self.grown_ms = self.grown_ms.max(now_ms);
    }

    /// Records that the server answered a request.
    pub fn record_served(&mut self, slots: usize) {
        self.failures = 0;
        if self.grows_with_answers {
            self.raise(1.0, slots);
        }
    }

    /// Records that the server rejected a request for lack of room while `leased` slots were leased
    /// out.
    pub fn record_rejected(&mut self, leased: usize, now_ms: Millis) {
        self.limit = (self.limit.min(leased as f64) * REJECTED_FACTOR).max(1.0);
        self.grows_with_answers = false;
        self.grown_ms = now_ms;
    }

    /// Records that a request ended without an answer.
    pub fn record_failed(&mut self) {
        self.failures += 1;
        if self.failures >= MIN_FAILURES {
            self.limit = 1.0;
            self.grows_with_answers = true;
        }
    }

    /// Whether the server seems to have failed.
    pub fn has_failed(&self) -> bool {
        self.failures >= MIN_FAILURES
    }

    fn raise(&mut self, by: f64, slots: usize) {
        self.limit = (self.limit + by).min(slots.max(1) as f64);
    }
}
