//! A token bucket: units that come at a rate and are kept up to a number.

use crate::units::{MS_PER_SECOND, Millis};

/// How a bucket is filled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Filling {
    /// Units a second.
    pub per_s: f64,
    /// Most units that are kept.
    pub most: f64,
}

/// A token bucket; below zero it is in debt, which is paid first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    level: f64,
    filled_ms: Millis,
}

impl Bucket {
    /// An empty bucket that fills from now on.
    pub fn empty(now_ms: Millis) -> Self {
        Self {
            level: 0.0,
            filled_ms: now_ms,
        }
    }

    /// Empties it; a debt stays.
    pub fn empty_out(&mut self, now_ms: Millis) {
        self.level = self.level.min(0.0);
        self.filled_ms = now_ms;
    }

    /// Lets in what has come since it was last filled.
    pub fn fill(&mut self, filling: Filling, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        let came = filling.per_s * passed_ms as f64 / MS_PER_SECOND as f64;
        self.level = (self.level + came).min(filling.most);
        self.filled_ms = self.filled_ms.max(now_ms);
    }

    /// Units that are there.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes units, into debt where they are not there.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Time until so many units are there, at a rate.
    pub fn time_to_ms(&self, units: f64, per_s: f64) -> Millis {
        let missing = (units - self.level).max(0.0);
        if per_s <= 0.0 {
            return Millis::MAX;
        }
        (missing / per_s * MS_PER_SECOND as f64).ceil() as Millis
    }
}
