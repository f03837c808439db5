//! Detects whether a service needs engines that prefill for others.
//!
//! Prompts that are prefilled beside running streams may delay these for longer than their callers
//! tolerate. No server reports how long its prefill chunks take; streams with a pause that was too
//! long show it. Each box decides by its own streams. Two boxes that disagree do no harm, as a
//! server that one of them uses for prefill serves whatever another one sends.

use crate::serving::decay::DecayingValue;
use crate::units::Millis;

/// Half-life of the stream counts.
const COUNT_HALF_LIFE_MS: f64 = 2_000.0;

/// Least decayed number of streams; fewer are not significant.
const MIN_STREAMS: f64 = 8.0;

/// Fraction of streams late by a pause above which handover is needed: a lower one is explained by
/// failing or slow servers, and callers are better served if all engines do the same work.
const MAX_LATE_FRACTION: f64 = 0.2;

/// How long handover stays on after it was last needed. While it is on, few streams are late, so
/// the need shows again only when it stops.
const HOLD_MS: Millis = 60_000;

/// Decayed counts of streams of a service, and how long handover stays on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillNeed {
    streams: DecayingValue,
    late_streams: DecayingValue,
    needed_until_ms: Millis,
}

impl PrefillNeed {
    /// Records a stream that was not handed over, and whether a pause made it late.
    pub fn record_stream(&mut self, is_late_by_pause: bool, now_ms: Millis) {
        self.streams.add(1.0, COUNT_HALF_LIFE_MS, now_ms);
        if is_late_by_pause {
            self.late_streams.add(1.0, COUNT_HALF_LIFE_MS, now_ms);
        }
        let streams = self.streams.at(COUNT_HALF_LIFE_MS, now_ms);
        let late = self.late_streams.at(COUNT_HALF_LIFE_MS, now_ms);
        if streams >= MIN_STREAMS && late > MAX_LATE_FRACTION * streams {
            self.needed_until_ms = now_ms + HOLD_MS;
        }
    }

    /// Whether some engines should prefill for the others.
    pub fn is_needed(&self, now_ms: Millis) -> bool {
        now_ms < self.needed_until_ms
    }
}
