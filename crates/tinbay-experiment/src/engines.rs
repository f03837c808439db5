//! Fake engines: duration of requests and use of the batch.

use tinbay_core::units::Millis;

use crate::workload::EnginePark;

/// A fake engine.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    /// Number of requests in the batch.
    pub running: u32,
    /// Incremented by a restart. Loads and requests of an earlier incarnation have no effect.
    pub run: u64,
    noted_ms: Millis,
    /// Occupied batch places while requests waited, integrated over time.
    used_ms: u64,
    /// All batch places while requests waited, integrated over time.
    offered_ms: u64,
}

impl FakeEngine {
    /// Adds the time since the last call. To be called before the batch or the queue changes.
    pub fn note(&mut self, now_ms: Millis, queued: usize, batch_limit: u32) {
        let passed_ms = now_ms.saturating_sub(self.noted_ms);
        self.noted_ms = now_ms;
        if queued > 0 {
            self.used_ms += passed_ms * u64::from(self.running.min(batch_limit));
            self.offered_ms += passed_ms * u64::from(batch_limit);
        }
    }

    /// Occupied and total batch places while requests waited, in place-milliseconds.
    pub fn use_of_batch(&self) -> (u64, u64) {
        (self.used_ms, self.offered_ms)
    }

    /// Duration of a request that enters the batch now. The current size of the batch is assumed
    /// for the whole duration.
    pub fn run_ms(&self, park: &EnginePark, tokens: u32) -> Millis {
        let crowd = 1.0 + park.crowding * f64::from(self.running.saturating_sub(1));
        (park.prefill_ms + f64::from(tokens) * park.token_ms * crowd) as Millis
    }
}
