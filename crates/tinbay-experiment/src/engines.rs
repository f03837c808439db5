//! Fake engines: duration of requests and use of the batch.

use tinbay_core::units::Millis;

use crate::workload::EngineConfig;

/// A fake engine.
#[derive(Debug, Clone, Default)]
pub struct FakeEngine {
    /// Number of requests in the batch.
    pub running: u32,
    /// Incremented by a restart. Loads and requests of an earlier incarnation have no effect.
    pub incarnation: u64,
    recorded_ms: Millis,
    /// Occupied batch places while requests waited, integrated over time.
    used_place_ms: u64,
    /// All batch places while requests waited, integrated over time.
    offered_place_ms: u64,
}

impl FakeEngine {
    /// Adds the time since the last call. To be called before the batch or the queue changes.
    pub fn record_batch_use(&mut self, now_ms: Millis, queued: usize, batch_limit: u32) {
        let elapsed_ms = now_ms.saturating_sub(self.recorded_ms);
        self.recorded_ms = now_ms;
        if queued > 0 {
            self.used_place_ms += elapsed_ms * u64::from(self.running.min(batch_limit));
            self.offered_place_ms += elapsed_ms * u64::from(batch_limit);
        }
    }

    /// Occupied and total batch places while requests waited, in place-milliseconds.
    pub fn batch_use(&self) -> (u64, u64) {
        (self.used_place_ms, self.offered_place_ms)
    }

    /// Duration of a request that enters the batch now. The current size of the batch is assumed
    /// for the whole duration.
    pub fn request_duration_ms(&self, config: &EngineConfig, tokens: u32) -> Millis {
        let slowdown = 1.0 + config.crowding * f64::from(self.running.saturating_sub(1));
        (config.prefill_ms + f64::from(tokens) * config.token_ms * slowdown) as Millis
    }
}
