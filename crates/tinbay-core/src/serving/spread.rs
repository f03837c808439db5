//! Over how many servers an adapter is spread, as the holder of its first server decides.
//!
//! The first server of an adapter's order sees its part of the adapter's requests. Where that
//! part takes more of the server than one adapter should, the adapter goes to more servers of
//! its order; all boxes learn the number with the server's status.

use std::collections::HashMap;

use super::fading::Fading;
use super::servers::Fingerprint;
use crate::units::Millis;

/// Part of a server's time, or of its places for requests, that one adapter may take before it
/// is spread further: two such and the tail of rare ones still leave a server half idle, and
/// above that requests queue.
const MOST_PART: f64 = 0.4;

/// Part of a server's time that the prompts of an adapter take which may be held at two servers: about
/// two requests within a second, so that a load more serves several of them.
const MUCH_USED_PART: f64 = 0.05;

/// Half-life of what an adapter had read; some seconds of requests tell its demand.
const READING_HALF_LIFE_MS: f64 = 1_000.0;

/// Pause between two steps up: a load, and time for the requests to spread.
const GROW_PAUSE_MS: Millis = 400;

/// Factor of one step up at most.
const MOST_GROWTH: f64 = 2.0;

/// Pause between two steps down, so that a lull does not cost loads.
const SHRINK_PAUSE_MS: Millis = 1_500;

/// Factor of one step down.
const SHRINKING: f64 = 0.8;

/// Demand against the copies below which one is given up.
const SHRINK_BELOW: f64 = 0.6;

/// Most servers for one adapter.
const MOST_COPIES: f64 = 48.0;

#[derive(Debug)]
struct Spread {
    reading: Fading,
    copies: f64,
    changed_ms: Millis,
}

/// Over how many servers the adapters of one server are spread.
#[derive(Debug, Default)]
pub struct Spreads {
    by_adapter: HashMap<Fingerprint, Spread>,
}

impl Spreads {
    /// Requests for an adapter began at the server that take so long to read.
    pub fn note_begun(&mut self, adapter: Fingerprint, reading_ms: f64, now_ms: Millis) {
        let spread = self.by_adapter.entry(adapter).or_insert_with(|| Spread {
            reading: Fading::default(),
            copies: 1.0,
            changed_ms: now_ms,
        });
        spread.reading.add(reading_ms, READING_HALF_LIFE_MS, now_ms);
    }

    /// Over how many servers an adapter is spread now; `places_part` is the part of the
    /// server's places for requests that it takes.
    pub fn copies(&mut self, adapter: Fingerprint, places_part: f64, now_ms: Millis) -> usize {
        let Some(spread) = self.by_adapter.get_mut(&adapter) else {
            return 1;
        };
        spread.adapt(places_part, now_ms);
        spread.copies.floor() as usize
    }

    /// Whether an adapter is asked for so much that it may be held at two servers, one that reads its
    /// prompts and one that goes on.
    pub fn is_much_used(&self, adapter: Fingerprint, now_ms: Millis) -> bool {
        let spread = self.by_adapter.get(&adapter);
        spread.is_some_and(|spread| spread.reading_part(now_ms) > MUCH_USED_PART)
    }

    /// Forgets adapters that nobody asks for any more.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_adapter
            .retain(|_, spread| spread.copies > 1.0 || spread.reading_part(now_ms) > 0.0001);
    }
}

impl Spread {
    /// Part of the server's time that the adapter's prompts take.
    fn reading_part(&self, now_ms: Millis) -> f64 {
        let left_ms = self.reading.at(READING_HALF_LIFE_MS, now_ms);
        left_ms * std::f64::consts::LN_2 / READING_HALF_LIFE_MS
    }

    fn adapt(&mut self, places_part: f64, now_ms: Millis) {
        let part = self.reading_part(now_ms).max(places_part);
        let target = (self.copies * part / MOST_PART).clamp(1.0, MOST_COPIES);
        let since_ms = now_ms.saturating_sub(self.changed_ms);
        if target > self.copies && since_ms >= GROW_PAUSE_MS {
            self.copies = target.min(self.copies * MOST_GROWTH);
            self.changed_ms = now_ms;
        } else if target < self.copies * SHRINK_BELOW && since_ms >= SHRINK_PAUSE_MS {
            self.copies = (self.copies * SHRINKING).max(target);
            self.changed_ms = now_ms;
        }
    }
}
