//! Amounts that halve with time.

use crate::units::Millis;

/// What is left of an amount noted earlier; nothing fades before it was noted.
pub fn faded(amount: f64, noted_ms: Millis, half_life_ms: f64, now_ms: Millis) -> f64 {
    let age_ms = now_ms.saturating_sub(noted_ms) as f64;
    amount * (-age_ms / half_life_ms).exp2()
}
