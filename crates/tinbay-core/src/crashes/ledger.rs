//! Counts the crashes under which a request ran.

use std::collections::{HashMap, VecDeque};

use super::digest::RequestDigest;
use crate::units::Millis;

/// Crashes under one request after which it is refused. One crash has as many suspects as the
/// server had requests, up to 64, and two may happen beside the same one in a bad minute; three in
/// an hour beside one that is harmless and never ends well is the work of that request.
pub const CRASHES_TO_REFUSE: usize = 3;

/// How long a crash counts. A request that comes back every few minutes must not cost a server each
/// time.
const CRASH_LIFE_MS: Millis = 3_600_000;

/// Most requests that are kept; the oldest make way. A crash has some tens of suspects, so that this
/// holds those of a hundred crashes, in about half a megabyte.
const MOST_SUSPECTS: usize = 4_096;

/// One crash of one incarnation of a server, alike for all boxes that saw it.
pub type CrashKey = u64;

#[derive(Debug)]
struct Suspect {
    crashes: Vec<CrashKey>,
    last_ms: Millis,
}

/// The requests that ran as servers crashed.
#[derive(Debug, Default)]
pub struct CrashLedger {
    suspects: HashMap<RequestDigest, Suspect>,
    /// In the order in which they were first suspected.
    order: VecDeque<RequestDigest>,
}

impl CrashLedger {
    /// Notes that a server crashed while it had a request; under how many that one has run so far.
    pub fn note(&mut self, digest: RequestDigest, crash: CrashKey, now_ms: Millis) -> usize {
        if !self.suspects.contains_key(&digest) {
            self.make_room();
            self.order.push_back(digest);
        }
        let suspect = self.suspects.entry(digest).or_insert_with(|| Suspect {
            crashes: Vec::new(),
            last_ms: now_ms,
        });
        if now_ms >= suspect.last_ms + CRASH_LIFE_MS {
            suspect.crashes.clear();
        }
        suspect.last_ms = now_ms;
        let is_full = suspect.crashes.len() >= CRASHES_TO_REFUSE;
        if !is_full && !suspect.crashes.contains(&crash) {
            suspect.crashes.push(crash);
        }
        suspect.crashes.len()
    }

    /// Forgets a request that ended well.
    pub fn clear(&mut self, digest: RequestDigest) {
        if self.suspects.remove(&digest).is_some() {
            self.order.retain(|kept| *kept != digest);
        }
    }

    /// How many requests are suspected.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn make_room(&mut self) {
        while self.order.len() >= MOST_SUSPECTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.suspects.remove(&oldest);
        }
    }
}
