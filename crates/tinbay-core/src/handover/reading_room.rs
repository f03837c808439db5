//! Whether a prompt may be read beside running streams.
//!
//! Load it answers: bursts of prompts at engines whose streams must not stand still for longer than
//! their callers bear, some of which are slow for a moment.

use crate::units::Millis;

/// Part of the pause that callers bear which the prompts beside a stream may take: an engine that is
/// two and a half times slower for a moment still makes an event in time.
const PART_OF_PAUSE: f64 = 0.25;

/// Part of the objective that an engine which reads for others may have to read, a new prompt included.
const PART_OF_OBJECTIVE: f64 = 0.6;

/// Whether an engine that reads for others begins a prompt in time, with so much to read by then.
pub fn begins_in_time(reading_ms: f64, objective_ms: Millis) -> bool {
    reading_ms <= PART_OF_OBJECTIVE * objective_ms as f64
}

/// Whether an engine may read so much in a row beside its streams.
pub fn reads_beside(reading_ms: f64, pause_ms: Millis) -> bool {
    reading_ms <= PART_OF_PAUSE * pause_ms as f64
}
