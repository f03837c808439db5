//! How many adapters a server may fetch at once.
//!
//! The weight store brings adapters at full speed only while few are on their way over all
//! servers; beyond that each one takes longer in proportion, and the more are begun the later
//! all of them come. Each holder sees only its own loads: where they take longer than they did
//! at best, it begins fewer (additive increase, multiplicative decrease).

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

/// How long a load took, as far as that was seen: it was still on its way after the least time,
/// and done after the most.
///
/// Whether a load is done is seen only by the answer to an order. Taken as the time of the load,
/// that of a late answer had servers that lose orders load one adapter at a time, 990 of 1,094
/// looks by the log of orders, and tell their callers waits of 8.8 s in the median.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadTime {
    /// Longest time after which it was seen not to be done.
    pub least_ms: f64,
    /// Time after which it was seen to be done.
    pub most_ms: f64,
}

impl LoadTime {
    /// The time within the bounds that is nearest to the one expected.
    pub fn nearest_to(&self, expected_ms: f64) -> f64 {
        expected_ms.max(self.least_ms).min(self.most_ms)
    }
}

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
    pub fn note(&mut self, took: LoadTime) {
        self.best_ms = (self.best_ms * FORGETTING).min(took.most_ms.max(1.0));
        let busy_ms = self.best_ms * BUSY_FACTOR;
        if took.least_ms > busy_ms {
            self.window = (self.window * DECREASE).max(LEAST_AT_ONCE);
        } else if took.most_ms <= busy_ms {
            self.window = (self.window + INCREASE).min(MOST_AT_ONCE);
        }
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
