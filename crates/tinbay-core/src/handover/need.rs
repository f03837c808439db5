//! Whether streams of a service need engines that read for others.
//!
//! Load it answers: prompts that are read beside running streams hold these up for longer than their
//! callers bear. What the pieces of a prompt take is not told by anybody; that streams were late by a
//! pause is seen. A box judges by its own streams: two boxes that differ do no harm, as a server that
//! one of them takes for a reader serves whatever another one sends.

use crate::serving::fading::Fading;
use crate::units::Millis;

/// Half-life of what was seen of streams.
const SEEN_HALF_LIFE_MS: f64 = 2_000.0;

/// Streams that must have been seen lately: fewer say little.
const LEAST_SEEN: f64 = 8.0;

/// Part of the streams that are late by a pause above which others are to read: below that, servers
/// that fail or turn slow explain it, and callers have more of engines that serve alike.
const MOST_LATE: f64 = 0.2;

/// Time for which others read after it was last seen to be needed. While they do, little is late, so
/// that need shows again only when they stop.
const NEEDED_FOR_MS: Millis = 60_000;

/// What was seen of the streams of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ReadingNeed {
    seen: Fading,
    late: Fading,
    needed_until_ms: Millis,
}

impl ReadingNeed {
    /// Notes a stream that ended where it began, and whether a pause made it late.
    pub fn note_stream(&mut self, is_late_by_pause: bool, now_ms: Millis) {
        self.seen.add(1.0, SEEN_HALF_LIFE_MS, now_ms);
        if is_late_by_pause {
            self.late.add(1.0, SEEN_HALF_LIFE_MS, now_ms);
        }
        let seen = self.seen.at(SEEN_HALF_LIFE_MS, now_ms);
        let late = self.late.at(SEEN_HALF_LIFE_MS, now_ms);
        if seen >= LEAST_SEEN && late > MOST_LATE * seen {
            self.needed_until_ms = now_ms + NEEDED_FOR_MS;
        }
    }

    /// Whether some engines should read for the others.
    pub fn is_needed(&self, now_ms: Millis) -> bool {
        now_ms < self.needed_until_ms
    }
}
