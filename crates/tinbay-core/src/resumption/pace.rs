//! How often a box writes the records that it keeps to the store.

use crate::units::{MS_PER_SECOND, Millis};

/// Share of the writes that the store takes from all boxes together that is spent on records.
const WRITE_SHARE: f64 = 0.125;

/// Shortest interval between two writes of a box.
const MIN_INTERVAL_MS: Millis = 100;

/// Longest interval, however many boxes share the store.
const MAX_INTERVAL_MS: Millis = 60_000;

/// Interval between two writes of a box in a fleet of `boxes`, where the store takes `writes_per_s`
/// from all of them.
pub fn write_interval_ms(boxes: usize, writes_per_s: f64) -> Millis {
    let writes_per_s_and_box = writes_per_s * WRITE_SHARE / boxes as f64;
    let interval_ms = MS_PER_SECOND as f64 / writes_per_s_and_box;
    (interval_ms as Millis).clamp(MIN_INTERVAL_MS, MAX_INTERVAL_MS)
}
