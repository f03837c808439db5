//! What boxes tell each other about suspected parts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::crashes::ledger::CrashKey;
use crate::serving::prompt::PartId;
use crate::units::Millis;

/// Crashes listed in one message at most.
pub const MAX_LISTED_CRASHES: usize = 8;

/// Parts that a refused request holds, all of them; in order of their ids.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartSet(Vec<PartId>);

impl PartSet {
    /// The set of a part and the parts that always ran together with it.
    pub fn new(part: PartId, companions: &[PartId]) -> Self {
        let mut parts = companions.to_vec();
        parts.push(part);
        parts.sort_unstable();
        parts.dedup();
        Self(parts)
    }

    /// The parts.
    pub fn parts(&self) -> &[PartId] {
        &self.0
    }

    /// Whether a prompt with these parts holds the whole set.
    pub fn is_within(&self, parts: &[PartId]) -> bool {
        self.0.iter().all(|part| parts.contains(part))
    }
}

impl fmt::Display for PartSet {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, part) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "-" };
            write!(formatter, "{separator}{part}")?;
        }
        Ok(())
    }
}

/// The text is not a valid set of parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a list of part ids in hexadecimal, joined by hyphens")]
pub struct InvalidPartSet;

impl FromStr for PartSet {
    type Err = InvalidPartSet;

    fn from_str(text: &str) -> Result<Self, InvalidPartSet> {
        let parse = |id: &str| u64::from_str_radix(id, 16).map(PartId);
        let parts: Result<Vec<PartId>, _> = text.split('-').map(parse).collect();
        let parts = parts.map_err(|_| InvalidPartSet)?;
        let (first, others) = parts.split_first().ok_or(InvalidPartSet)?;
        Ok(Self::new(*first, others))
    }
}

/// A request with a part that was running as a server crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The suspected part.
    pub part: PartId,
    /// Other unproven parts of the request.
    pub companions: Vec<PartId>,
    /// Key of the server's incarnation.
    pub crash: CrashKey,
    /// Start of the request's digest.
    pub request: u64,
    /// Time since the server broke the answer off.
    pub age_ms: u16,
    /// Whether the server has certainly crashed. Otherwise the reporting box may have lost its link.
    pub is_certain: bool,
}

/// What speaks against a part.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Keys of the crashes.
    pub crashes: Vec<CrashKey>,
    /// Number of different requests that were running in them.
    pub requests: u16,
}

impl Evidence {
    /// Whether this explains crashes better than other evidence: by more crashes, or by as many and
    /// fewer requests.
    pub fn outranks(&self, other: &Evidence) -> bool {
        let count = self.crashes.len();
        let other_count = other.crashes.len();
        count > other_count || (count == other_count && self.requests < other.requests)
    }

    /// Whether some crash is in both.
    pub fn overlaps(&self, other: &Evidence) -> bool {
        self.crashes
            .iter()
            .any(|crash| other.crashes.contains(crash))
    }

    /// Number of crashes that are not in `other`.
    pub fn count_beyond(&self, other: &Evidence) -> usize {
        let is_beyond = |crash: &&CrashKey| !other.crashes.contains(crash);
        self.crashes.iter().filter(is_beyond).count()
    }

    /// Adds the crashes of `other`, as far as they fit; returns whether there was a new one.
    pub fn merge(&mut self, other: &Evidence) -> bool {
        self.requests = self.requests.max(other.requests);
        let before = self.crashes.len();
        for crash in &other.crashes {
            if self.crashes.len() < MAX_LISTED_CRASHES && !self.crashes.contains(crash) {
                self.crashes.push(*crash);
            }
        }
        self.crashes.len() > before
    }
}

/// A part that is suspected to crash servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// The part.
    pub part: PartId,
    /// Parts that all of its requests held as well.
    pub companions: Vec<PartId>,
    /// What speaks against it.
    pub evidence: Evidence,
    /// Time since it was suspected.
    pub age_ms: u16,
    /// Time since the first of the crashes.
    pub first_crash_age_ms: u32,
}

/// Proof that a part does not crash servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The part.
    pub part: PartId,
    /// Time since a request with it was last answered.
    pub age_ms: u32,
}

/// Parts whose requests are refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRefusal {
    /// A request with all of these parts is refused.
    pub parts: PartSet,
    /// What speaks against them.
    pub evidence: Evidence,
    /// Time since they were refused.
    pub age_ms: u32,
}

/// Caps a time to what a message can carry.
pub(super) fn to_age_ms(age_ms: Millis) -> u16 {
    age_ms.min(Millis::from(u16::MAX)) as u16
}
