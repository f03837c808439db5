//! Decides whether a prompt may be prefilled beside running streams.
//!
//! Bursts of prompts must not delay the streams of an engine for longer than their callers
//! tolerate, also while the engine is temporarily slow.

use crate::units::Millis;

/// Fraction of the tolerated pause that prefill beside a stream may take: an engine that is
/// temporarily two and a half times slower still produces an event in time.
const MAX_PAUSE_FRACTION: f64 = 0.25;

/// Whether an engine may prefill for this long without interruption beside its streams.
pub fn can_prefill_beside_streams(prefill_ms: f64, pause_ms: Millis) -> bool {
    prefill_ms <= MAX_PAUSE_FRACTION * pause_ms as f64
}
