//! The fake engines: how long a request runs, and how full the batch is.

use tinbay_core::units::Millis;

use crate::workload::EnginePark;

/// One fake engine.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    /// Requests in the batch.
    pub running: u32,
    /// Its run; a restart raises it, and ends of orders and requests from before are void.
    pub run: u64,
    noted_ms: Millis,
    /// Places used while requests waited, times milliseconds.
    used_ms: u64,
    /// Places offered while requests waited, times milliseconds.
    offered_ms: u64,
}

impl FakeEngine {
    /// Counts the time since the last note; call before the batch or the queue changes.
    pub fn note(&mut self, now_ms: Millis, queued: usize, batch_limit: u32) {
        let passed_ms = now_ms.saturating_sub(self.noted_ms);
        self.noted_ms = now_ms;
        if queued > 0 {
            self.used_ms += passed_ms * u64::from(self.running.min(batch_limit));
            self.offered_ms += passed_ms * u64::from(batch_limit);
        }
    }

    /// Places used and offered while requests waited.
    pub fn use_of_batch(&self) -> (u64, u64) {
        (self.used_ms, self.offered_ms)
    }

    /// How long a request runs that enters the batch now. The batch of this moment stands
    /// for the batch of its whole run.
    pub fn run_ms(&self, park: &EnginePark, tokens: u32) -> Millis {
        let crowd = 1.0 + park.crowding * f64::from(self.running.saturating_sub(1));
        (park.prefill_ms + f64::from(tokens) * park.token_ms * crowd) as Millis
    }
}
