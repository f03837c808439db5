//! Token bucket that can go into debt, the basis of all rate limits.

use crate::units::{MS_PER_SECOND, Millis};

/// Refill rate and capacity of a bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refill {
    /// Units per second.
    pub per_s: f64,
    /// Upper bound of the level.
    pub capacity: f64,
}

/// A token bucket. Its level may fall below zero; that debt is paid off by the refill first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    last_refill_ms: Millis,
}

impl Bucket {
    /// Creates an empty bucket that refills from now on.
    pub fn empty(now_ms: Millis) -> Self {
        Self {
            level: 0.0,
            last_refill_ms: now_ms,
        }
    }

    /// Drops all units; a debt stays.
    pub fn clear(&mut self, now_ms: Millis) {
        self.level = self.level.min(0.0);
        self.last_refill_ms = now_ms;
    }

    /// Adds the units due since the last refill.
    pub fn refill(&mut self, refill: Refill, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.last_refill_ms);
        let added = refill.per_s * passed_ms as f64 / MS_PER_SECOND as f64;
        self.level = (self.level + added).min(refill.capacity);
        self.last_refill_ms = self.last_refill_ms.max(now_ms);
    }

    /// Units in the bucket; negative for a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes units, even if the level falls below zero.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Time until the bucket holds `units` at a refill rate of `per_s`.
    pub fn time_until_ms(&self, units: f64, per_s: f64) -> Millis {
        let missing = (units - self.level).max(0.0);
        if per_s <= 0.0 {
            return Millis::MAX;
        }
        (missing / per_s * MS_PER_SECOND as f64).ceil() as Millis
    }
}
