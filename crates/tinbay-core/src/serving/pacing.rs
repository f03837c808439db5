//! A box's share of the weight store's rate, dealt ahead so that no load is asked for.

use crate::units::{MS_PER_SECOND, Millis};

/// Most loads that may be saved up; one, as every holder may spend its own at once.
const MOST_SAVED: f64 = 1.0;

/// Part of the allowed rate that is dealt out.
const SAFE_PART: f64 = 0.9;

/// Allowance of one holder.
#[derive(Debug, Default)]
pub struct LoadPace {
    saved: f64,
    filled_ms: Millis,
}

impl LoadPace {
    /// Takes one load if `share` of `loads_per_s` has brought one by now.
    pub fn take(&mut self, loads_per_s: f64, share: f64, now_ms: Millis) -> bool {
        self.fill(loads_per_s * share * SAFE_PART, now_ms);
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
