//! How many adapters a server may fetch at once.
//!
//! The weight store brings adapters at full speed only while few are on their way over all
//! servers; beyond that each one takes longer in proportion, and the more are begun the later
//! all of them come. Each holder sees only its own loads: where they take longer than they did
//! at best, it begins fewer (additive increase, multiplicative decrease).

use crate::units::Millis;

/// Most that a server takes at once.
const MOST_AT_ONCE: f64 = 4.0;

/// Least that a server takes at once.
const LEAST_AT_ONCE: f64 = 1.0;

/// Factor over the best time at which the store counts as busy.
const BUSY_FACTOR: f64 = 1.5;

/// Part of the window that stays after a slow load.
const DECREASE: f64 = 0.7;

/// What a load in good time adds to the window.
const INCREASE: f64 = 0.25;

/// Window below which nothing is fetched that no request waits for.
const LEAST_FOR_COPIES: f64 = 2.0;

/// Factor by which the best time is forgotten with each load, as it may have been luck.
const FORGETTING: f64 = 1.005;

/// How many adapters a server may fetch at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchWindow {
    window: f64,
    best_ms: f64,
}

impl FetchWindow {
    /// A window for loads that are expected to take so long.
    pub fn new(expected_ms: f64) -> Self {
        Self {
            window: MOST_AT_ONCE,
            best_ms: expected_ms,
        }
    }

    /// Notes how long a load from the weight store took.
    pub fn note(&mut self, took_ms: Millis) {
        let took_ms = took_ms as f64;
        self.best_ms = (self.best_ms * FORGETTING).min(took_ms.max(1.0));
        self.window = if took_ms > self.best_ms * BUSY_FACTOR {
            (self.window * DECREASE).max(LEAST_AT_ONCE)
        } else {
            (self.window + INCREASE).min(MOST_AT_ONCE)
        };
    }

    /// Loads that may be on their way.
    pub fn at_once(&self) -> usize {
        self.window as usize
    }

    /// Whether the store has time for what no request waits for.
    pub fn takes_copies(&self) -> bool {
        self.window >= LEAST_FOR_COPIES
    }
}
