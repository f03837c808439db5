//! Requests that are refused because they crash servers.

use std::collections::HashMap;

use super::digest::RequestDigest;
use crate::units::Millis;

/// How long a request is refused. Its servers may run other software after that. If not, one more
/// crash refuses it again, as its earlier crashes still count.
pub const QUARANTINE_LIFE_MS: Millis = 600_000;

/// Upper bound of the requests refused at a time; the oldest are dropped.
const MAX_REFUSED: usize = 1_024;

/// Requests that are refused because they crash servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    until_ms: HashMap<RequestDigest, Millis>,
}

impl Quarantine {
    /// Adds a request that was quarantined `age_ms` ago. Returns whether it was not held yet.
    pub fn add(&mut self, digest: RequestDigest, age_ms: Millis, now_ms: Millis) -> bool {
        let left_ms = QUARANTINE_LIFE_MS.saturating_sub(age_ms);
        if left_ms == 0 || self.holds(digest, now_ms) {
            return false;
        }
        if self.until_ms.len() >= MAX_REFUSED {
            self.drop_oldest();
        }
        self.until_ms.insert(digest, now_ms + left_ms);
        true
    }

    /// Whether a request is in quarantine.
    pub fn holds(&self, digest: RequestDigest, now_ms: Millis) -> bool {
        let until_ms = self.until_ms.get(&digest);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// All requests in quarantine, with the time since they were added.
    pub fn ages(&self, now_ms: Millis) -> Vec<(RequestDigest, Millis)> {
        let held = self.until_ms.iter().filter(|(_, end)| now_ms < **end);
        held.map(|(digest, end)| (*digest, QUARANTINE_LIFE_MS - (end - now_ms)))
            .collect()
    }

    /// Drops the requests whose quarantine has ended.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.until_ms.iter().min_by_key(|(_, until_ms)| **until_ms);
        if let Some(oldest) = oldest.map(|(digest, _)| *digest) {
            self.until_ms.remove(&oldest);
        }
    }
}
