//! Values that decay exponentially with time.

use crate::units::Millis;

/// Returns what is left of a value recorded earlier; before `recorded_ms` nothing has decayed.
pub fn decayed(amount: f64, recorded_ms: Millis, half_life_ms: f64, now_ms: Millis) -> f64 {
    let age_ms = now_ms.saturating_sub(recorded_ms) as f64;
    amount * (-age_ms / half_life_ms).exp2()
}

/// An exponentially decaying value that can be added to.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct DecayingValue {
    amount: f64,
    recorded_ms: Millis,
}

impl DecayingValue {
    /// Creates a value as of now.
    pub fn new(amount: f64, now_ms: Millis) -> Self {
        Self {
            amount,
            recorded_ms: now_ms,
        }
    }

    /// The decayed value at `now_ms`.
    pub fn at(&self, half_life_ms: f64, now_ms: Millis) -> f64 {
        decayed(self.amount, self.recorded_ms, half_life_ms, now_ms)
    }

    /// Adds to the decayed value.
    pub fn add(&mut self, amount: f64, half_life_ms: f64, now_ms: Millis) {
        *self = Self::new(self.at(half_life_ms, now_ms) + amount, now_ms);
    }
}
