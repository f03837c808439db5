//! Counts the server crashes during which a request was running.

use std::collections::{HashMap, VecDeque};

use super::digest::RequestDigest;
use crate::units::Millis;

/// Crashes during a request after which it is refused. Every request of a crashed server, up to 64,
/// is a suspect, and a harmless one may coincide with two crashes in a bad minute. Three, with no
/// pause of [`CRASH_LIFE_MS`] and no successful run in between, are unlikely for a harmless one.
pub const CRASHES_TO_REFUSE: usize = 3;

/// How long crashes count after the last one. A request that is retried every few minutes must not
/// crash a server each time.
pub const CRASH_LIFE_MS: Millis = 3_600_000;

/// Upper bound of the requests tracked; the oldest are dropped. A crash has some tens of suspects,
/// so that this covers about a hundred crashes, in about half a megabyte.
const MAX_SUSPECTS: usize = 4_096;

/// Identifies one crash of one incarnation of a server, on all boxes that saw it.
pub type CrashKey = u64;

#[derive(Debug)]
struct Suspect {
    crashes: Vec<CrashKey>,
    last_crash_ms: Millis,
}

/// The requests that were running when servers crashed.
#[derive(Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<RequestDigest, Suspect>,
    /// Suspects in the order in which they were added.
    by_age: VecDeque<RequestDigest>,
}

impl CrashLedger {
    /// Records that a server crashed while it ran a request. Returns the request's number of
    /// crashes, up to [`CRASHES_TO_REFUSE`].
    pub fn note(&mut self, digest: RequestDigest, crash: CrashKey, now_ms: Millis) -> usize {
        if !self.suspects.contains_key(&digest) {
            self.drop_oldest();
            self.by_age.push_back(digest);
        }
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            last_crash_ms: now_ms,
        });
        if now_ms >= suspect.last_crash_ms + CRASH_LIFE_MS {
            suspect.crashes.clear();
        }
        suspect.last_crash_ms = now_ms;
        let is_full = suspect.crashes.len() >= CRASHES_TO_REFUSE;
        if !is_full && !suspect.crashes.contains(&crash) {
            suspect.crashes.push(crash);
        }
        suspect.crashes.len()
    }

    /// Drops a request that succeeded.
    pub fn clear(&mut self, digest: RequestDigest) {
        if self.suspects.remove(&digest).is_some() {
            self.by_age.retain(|kept| *kept != digest);
        }
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn drop_oldest(&mut self) {
        while self.by_age.len() >= MAX_SUSPECTS
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.suspects.remove(&oldest);
        }
    }
}
