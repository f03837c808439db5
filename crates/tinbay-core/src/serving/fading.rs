//! Amounts that halve with time.

use crate::units::Millis;

/// What is left of an amount noted earlier; nothing fades before it was noted.
pub fn faded(amount: f64, noted_ms: Millis, half_life_ms: f64, now_ms: Millis) -> f64 {
    let age_ms = now_ms.saturating_sub(noted_ms) as f64;
    amount * (-age_ms / half_life_ms).exp2()
}

/// An amount that halves with time and may grow.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Fading {
    amount: f64,
    noted_ms: Millis,
}

impl Fading {
    /// An amount as of now.
    pub fn new(amount: f64, now_ms: Millis) -> Self {
        Self {
            amount,
            noted_ms: now_ms,
        }
    }

    /// What is left of it.
    pub fn at(&self, half_life_ms: f64, now_ms: Millis) -> f64 {
        faded(self.amount, self.noted_ms, half_life_ms, now_ms)
    }

    /// Adds to what is left.
    pub fn add(&mut self, amount: f64, half_life_ms: f64, now_ms: Millis) {
        *self = Self::new(self.at(half_life_ms, now_ms) + amount, now_ms);
    }
}
