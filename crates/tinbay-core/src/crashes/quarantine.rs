//! Requests that are refused, as servers crash under them.

use std::collections::HashMap;

use super::digest::RequestDigest;
use crate::units::Millis;

/// How long a request is refused: its servers may run other software by then. It costs one more
/// server to find out, as its crashes are still counted.
pub const QUARANTINE_LIFE_MS: Millis = 600_000;

/// Most requests that are refused at a time; the oldest make way.
const MOST_REFUSED: usize = 1_024;

/// Requests that are refused, as servers crash under them.
#[derive(Debug, Default)]
pub struct Quarantine {
    until_ms: HashMap<RequestDigest, Millis>,
}

impl Quarantine {
    /// Refuses a request that has been refused for so long; whether that is new.
    pub fn add(&mut self, digest: RequestDigest, age_ms: Millis, now_ms: Millis) -> bool {
        let left_ms = QUARANTINE_LIFE_MS.saturating_sub(age_ms);
        if left_ms == 0 || self.holds(digest, now_ms) {
            return false;
        }
        if self.until_ms.len() >= MOST_REFUSED {
            self.make_room();
        }
        self.until_ms.insert(digest, now_ms + left_ms);
        true
    }

    /// Whether a request is refused.
    pub fn holds(&self, digest: RequestDigest, now_ms: Millis) -> bool {
        let until_ms = self.until_ms.get(&digest);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// All requests that are refused, and for how long they have been.
    pub fn ages(&self, now_ms: Millis) -> Vec<(RequestDigest, Millis)> {
        let held = self.until_ms.iter().filter(|(_, end)| now_ms < **end);
        held.map(|(digest, end)| (*digest, QUARANTINE_LIFE_MS - (end - now_ms)))
            .collect()
    }

    /// Forgets those whose time is over.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }

    fn make_room(&mut self) {
        let oldest = self.until_ms.iter().min_by_key(|(_, until_ms)| **until_ms);
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.until_ms.remove(&oldest);
        }
    }
}
