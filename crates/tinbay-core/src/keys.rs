//! Idempotency keys of requests, and the table that prevents a request from running twice.
//!
//! A key names its home: one box in one incarnation of its process. Only that incarnation can tell
//! that a key was never used, as its table existed before the key was issued. When the home is
//! gone, the result is "unknown" rather than a second run. Related: RIFL, Lee et al.,
//! "Implementing linearizability at large scale and low latency", SOSP 2015.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, Incarnation};
use crate::units::Millis;

/// Lifetime of a key after it was issued. The table keeps entries longer than that.
pub const KEY_LIFE_MS: Millis = 10 * 60 * 1_000;

/// Tolerated difference between the wall clocks of two boxes; a key issued later than that in the
/// future is not accepted.
pub const CLOCK_SKEW_MS: Millis = 30_000;

/// Identifies one request of one caller across its retries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The box that keeps the table entry.
    pub home: BoxId,
    /// Incarnation of that box.
    pub incarnation: Incarnation,
    /// Wall-clock time at which the key was issued.
    pub minted_ms: Millis,
    /// Distinguishes keys issued in the same millisecond.
    pub nonce: u64,
}

/// The text is not a valid [`RequestKey`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a request key is home:incarnation:minted_ms:nonce as given by locate")]
pub struct KeyParseError;

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{:x}:{:x}:{:x}",
            self.home, self.incarnation, self.minted_ms, self.nonce
        )
    }
}

impl FromStr for RequestKey {
    type Err = KeyParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.rsplitn(4, ':');
        let mut number = || {
            let part = parts.next().ok_or(KeyParseError)?;
            u64::from_str_radix(part, 16).map_err(|_| KeyParseError)
        };
        let nonce = number()?;
        let minted_ms = number()?;
        let incarnation = number()?;
        let home = parts.next().filter(|home| !home.is_empty());
        Ok(Self {
            home: BoxId::new(home.ok_or(KeyParseError)?),
            incarnation,
            minted_ms,
            nonce,
        })
    }
}

/// The home's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// First use: the claimant may run the request.
    Granted,
    /// The request is running or was answered, and must not run again.
    Used,
    /// An earlier attempt ended without having run: the claimant may run the request.
    Regranted,
    /// The key is of another box or incarnation, expired, or from the future: no statement
    /// possible.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Claimed,
    NotRun,
}

/// The keys whose home is this incarnation of this box.
#[derive(Debug)]
pub struct KeyTable {
    home: BoxId,
    incarnation: Incarnation,
    entries: HashMap<RequestKey, Entry>,
    by_age: BTreeSet<(Millis, u64)>,
}

impl KeyTable {
    /// Creates an empty table for one incarnation of one box.
    pub fn new(home: BoxId, incarnation: Incarnation) -> Self {
        Self {
            home,
            incarnation,
            entries: HashMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Claims permission to run the request identified by `key`.
    pub fn claim(&mut self, key: &RequestKey, wall_ms: Millis) -> ClaimAnswer {
        self.forget_expired(wall_ms);
        if !self.can_judge(key, wall_ms) {
            return ClaimAnswer::Unknown;
        }
        match self.entries.get(key) {
            Some(Entry::Claimed) => ClaimAnswer::Used,
            Some(Entry::NotRun) => {
                self.entries.insert(key.clone(), Entry::Claimed);
                ClaimAnswer::Regranted
            }
            None => {
                self.entries.insert(key.clone(), Entry::Claimed);
                self.by_age.insert((key.minted_ms, key.nonce));
                ClaimAnswer::Granted
            }
        }
    }

    /// Records that a claimed request certainly did not run, so that it may be claimed again.
    pub fn release_not_run(&mut self, key: &RequestKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = Entry::NotRun;
        }
    }

    /// Number of keys in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn can_judge(&self, key: &RequestKey, wall_ms: Millis) -> bool {
        key.home == self.home
            && key.incarnation == self.incarnation
            && key.minted_ms <= wall_ms + CLOCK_SKEW_MS
            && wall_ms < key.minted_ms + KEY_LIFE_MS
    }

    /// Removes keys that [`Self::can_judge`] rejects, with a margin of [`KEY_LIFE_MS`] in case the
    /// wall clock steps back.
    fn forget_expired(&mut self, wall_ms: Millis) {
        let horizon_ms = wall_ms.saturating_sub(2 * KEY_LIFE_MS);
        while let Some(&(minted_ms, nonce)) = self.by_age.first() {
            if minted_ms >= horizon_ms {
                return;
            }
            self.by_age.pop_first();
            self.entries.remove(&RequestKey {
                home: self.home.clone(),
                incarnation: self.incarnation,
                minted_ms,
                nonce,
            });
        }
    }
}
