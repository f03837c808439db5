//! Limits how many adapters a server fetches at once.
//!
//! The weight store delivers adapters at full speed only while few loads are in progress over all
//! servers; beyond that each load takes proportionally longer, so starting more delays all of them.
//! Each holder sees only its own loads: where they take longer than the best time seen, it begins
//! fewer (additive increase, multiplicative decrease).

/// Upper bound of the window.
const MAX_WINDOW: f64 = 4.0;

/// Lower bound of the window.
const MIN_WINDOW: f64 = 1.0;

/// Multiple of the best load time from which the store counts as busy.
const BUSY_FACTOR: f64 = 1.5;

/// Factor by which a slow load shrinks the window.
const DECREASE_FACTOR: f64 = 0.7;

/// Amount by which a fast load widens the window.
const INCREASE_STEP: f64 = 0.25;

/// Window below which no additional copies are fetched.
const MIN_WINDOW_FOR_COPIES: f64 = 2.0;

/// Factor by which the best time grows with each load, so that a single fast load does not set it
/// forever.
const BEST_TIME_GROWTH: f64 = 1.005;

/// Bounds on the duration of a load: it was still in progress after `least_ms` and complete after
/// `most_ms`.
///
/// The state of a load is only seen in the answer to an order. If the arrival of a late answer were
/// taken as the end of the load, servers that lose orders would nearly always be limited to one load
/// at a time, and callers would be told to wait for many seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadTime {
    /// Latest time at which the load was seen to be in progress.
    pub least_ms: f64,
    /// Time at which it was seen to be complete.
    pub most_ms: f64,
}

impl LoadTime {
    /// The duration within the bounds that is closest to the expected one.
    pub fn nearest_to(&self, expected_ms: f64) -> f64 {
        expected_ms.max(self.least_ms).min(self.most_ms)
    }
}

/// Number of adapters that a server may fetch at once, adapted to the speed of the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FetchWindow {
    window: f64,
    best_ms: f64,
}

impl FetchWindow {
    /// Creates a window for loads that are expected to take `expected_ms`.
    pub fn new(expected_ms: f64) -> Self {
        Self {
            window: MAX_WINDOW,
            best_ms: expected_ms,
        }
    }

    /// Records the duration of a load from the weight store.
    pub fn record(&mut self, took: LoadTime) {
        self.best_ms = (self.best_ms * BEST_TIME_GROWTH).min(took.most_ms.max(1.0));
        let busy_ms = self.best_ms * BUSY_FACTOR;
        if took.least_ms > busy_ms {
            self.window = (self.window * DECREASE_FACTOR).max(MIN_WINDOW);
        } else if took.most_ms <= busy_ms {
            self.window = (self.window + INCREASE_STEP).min(MAX_WINDOW);
        }
    }

    /// Number of loads that may be in progress.
    pub fn at_once(&self) -> usize {
        self.window as usize
    }

    /// Whether the store has capacity for copies, for which no request waits.
    pub fn allows_copies(&self) -> bool {
        self.window >= MIN_WINDOW_FOR_COPIES
    }
}
