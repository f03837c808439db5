//! Request keys and the table that keeps a request from running twice.
//!
//! A key names its home: one box in one run of its process. Only that run can say
//! "never seen", because it has held the table since before the key was minted. When the
//! home is gone the answer is "unknown", never a second run. Kin: RIFL, Lee et al.,
//! "Implementing linearizability at large scale and low latency", SOSP 2015.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, Incarnation};
use crate::units::Millis;

/// How long a key may be used after it was minted; the table forgets later.
pub const KEY_LIFE_MS: Millis = 10 * 60 * 1_000;

/// How far two boxes' wall clocks may differ before a key is refused as not yet valid.
pub const CLOCK_SKEW_MS: Millis = 30_000;

/// Identifies one request of one caller for as long as it may be asked again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestKey {
    /// The box that keeps the table entry.
    pub home: BoxId,
    /// The run of that box.
    pub incarnation: Incarnation,
    /// Wall-clock time of minting.
    pub minted_ms: Millis,
    /// Tells apart keys of the same millisecond.
    pub nonce: u64,
}

/// Why a text is not a [`RequestKey`].
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

/// What the home says to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// First use: the asker may run the request.
    Granted,
    /// The request is running, or was answered; it may not run again.
    Used,
    /// An earlier attempt ended without anything having run; the asker may run it.
    Regranted,
    /// The key is for another run or box, too old or from the future: nothing can be said.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Entry {
    Claimed,
    NotRun,
}

/// The keys of which this run of this box is the home.
#[derive(Debug)]
pub struct KeyTable {
    home: BoxId,
    incarnation: Incarnation,
    entries: HashMap<RequestKey, Entry>,
    by_age: BTreeSet<(Millis, u64)>,
}

impl KeyTable {
    /// An empty table for one run of one box.
    pub fn new(home: BoxId, incarnation: Incarnation) -> Self {
        Self {
            home,
            incarnation,
            entries: HashMap::new(),
            by_age: BTreeSet::new(),
        }
    }

    /// Claims the right to run the request of `key`.
    pub fn claim(&mut self, key: &RequestKey, wall_ms: Millis) -> Claim {
        self.forget_expired(wall_ms);
        if !self.can_judge(key, wall_ms) {
            return Claim::Unknown;
        }
        match self.entries.get(key) {
            Some(Entry::Claimed) => Claim::Used,
            Some(Entry::NotRun) => {
                self.entries.insert(key.clone(), Entry::Claimed);
                Claim::Regranted
            }
            None => {
                self.entries.insert(key.clone(), Entry::Claimed);
                self.by_age.insert((key.minted_ms, key.nonce));
                Claim::Granted
            }
        }
    }

    /// Notes that a claimed request certainly did not run, so the caller may ask again.
    pub fn release_not_run(&mut self, key: &RequestKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            *entry = Entry::NotRun;
        }
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn can_judge(&self, key: &RequestKey, wall_ms: Millis) -> bool {
        key.home == self.home
            && key.incarnation == self.incarnation
            && key.minted_ms <= wall_ms + CLOCK_SKEW_MS
            && wall_ms < key.minted_ms + KEY_LIFE_MS
    }

    /// Forgets only keys that [`Self::can_judge`] refuses, even were the clock to step back a little.
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
