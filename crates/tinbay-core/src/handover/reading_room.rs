//! Whether a prompt may be read beside running streams.
//!
//! Load it answers: bursts of prompts at engines whose streams must not stand still for longer than
//! their callers bear, some of which are slow for a moment.

use crate::units::Millis;

/// Part of the pause that callers bear which the prompts beside a stream may take: an engine that is
/// two and a half times slower for a moment still makes an event in time.
const PART_OF_PAUSE: f64 = 0.25;

/// Whether an engine may read so much in a row beside its streams.
pub fn reads_beside(reading_ms: f64, pause_ms: Millis) -> bool {
    reading_ms <= PART_OF_PAUSE * pause_ms as f64
}
