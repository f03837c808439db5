//! A box's share of the weight store's rate, dealt ahead so that no load is asked for.

use crate::units::{MS_PER_SECOND, Millis};

/// Most loads that may be saved up; one, as every holder may spend its own at once.
const MOST_SAVED: f64 = 1.0;

/// Loads by which the bound exceeds its rate in any window.
const BOUND_EXTRA: f64 = 3.0;

/// The bound on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Window in which loads are counted.
    pub window_ms: Millis,
    /// Factor by which the store's rate may be exceeded.
    pub overshoot: f64,
}

impl LoadBound {
    /// Loads a second that `holders` may begin together, so that even if each spends what
    /// it has saved at once no window holds too many.
    pub fn rate_per_s(&self, loads_per_s: f64, holders: usize) -> f64 {
        let window_s = self.window_ms as f64 / MS_PER_SECOND as f64;
        let allowed = loads_per_s * window_s * self.overshoot + BOUND_EXTRA;
        let unsaved = allowed - MOST_SAVED * holders as f64;
        (unsaved / window_s).min(loads_per_s).max(loads_per_s / 2.0)
    }
}

/// Allowance of one holder.
#[derive(Debug, Default)]
pub struct LoadPace {
    saved: f64,
    filled_ms: Millis,
}

impl LoadPace {
    /// Takes one load if the rate has brought one by now.
    pub fn take(&mut self, rate_per_s: f64, now_ms: Millis) -> bool {
        self.fill(rate_per_s, now_ms);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    fn fill(&mut self, rate_per_s: f64, now_ms: Millis) {
        let span_ms = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = now_ms;
        let brought = rate_per_s * span_ms as f64 / MS_PER_SECOND as f64;
        self.saved = (self.saved + brought).min(MOST_SAVED);
    }
}
