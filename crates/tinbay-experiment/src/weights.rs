//! Fake weight store: loads are limited in rate, and slow down beyond a number of concurrent ones.

use tinbay_core::units::Millis;

use crate::workload::WeightStoreConfig;

/// A fake weight store.
#[derive(Debug, Clone)]
pub struct FakeWeightStore {
    config: WeightStoreConfig,
    next_start_ms: f64,
    active: u32,
    /// Number of loads started.
    pub loads: u64,
}

impl FakeWeightStore {
    /// Creates an idle store.
    pub fn new(config: WeightStoreConfig) -> Self {
        Self {
            config,
            next_start_ms: 0.0,
            active: 0,
            loads: 0,
        }
    }

    /// Starts a load and returns the time until it ends, including the wait at the store for loads
    /// above its rate.
    pub fn start_load(&mut self, now_ms: Millis) -> Millis {
        let start_ms = self.next_start_ms.max(now_ms as f64);
        self.next_start_ms = start_ms + 1_000.0 / self.config.loads_per_s;
        self.active += 1;
        self.loads += 1;
        let slowdown = f64::from(self.active) / f64::from(self.config.at_once);
        let duration_ms = self.config.load_ms as f64 * slowdown.max(1.0);
        (start_ms - now_ms as f64 + duration_ms) as Millis
    }

    /// Ends a load.
    pub fn end_load(&mut self) {
        self.active = self.active.saturating_sub(1);
    }
}
