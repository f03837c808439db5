//! Positions in the store: a revision and the era that issued it.
//!
//! A store restored from a backup issues revisions again, so that one number may name two contents.
//! Each restore starts an era. Positions have no total order: those of two eras cannot be compared,
//! so `Position` does not implement `Ord`.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// A revision within one era; every change of the store raises it.
pub type Revision = u64;

/// Longest time by which a watch of the store may lag behind it. The store may drop its history in
/// that time and close the watch a second later.
pub const MAX_WATCH_LAG_MS: Millis = 1_500;

/// Bits of a fencing token that hold the revision: 6.9e10 changes in one era. With up to 16 bits
/// for the era, a token is exact where numbers are parsed as 64-bit floating point.
const REVISION_BITS: u32 = 36;

/// Number of restores of the store from a backup, counted from an arbitrary start.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A revision and the era that issued it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Era that issued the revision.
    pub era: Era,
    /// Revision within the era; 0 is a key that does not exist.
    pub revision: Revision,
}

impl Position {
    /// Combines a revision with the era that issued it.
    pub fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// The position of a key that does not exist.
    pub fn missing(era: Era) -> Self {
        Self::new(era, 0)
    }

    /// Compares two positions of the same era; none for two eras.
    pub fn compare(self, other: Self) -> Option<Ordering> {
        (self.era == other.era).then(|| self.revision.cmp(&other.revision))
    }

    /// Whether this position is at or after the other one in the same era.
    pub fn covers(self, other: Self) -> bool {
        self.compare(other).is_some_and(Ordering::is_ge)
    }

    /// The later of two positions of the same era; none for two eras.
    pub fn later_of(self, other: Self) -> Option<Self> {
        match self.compare(other)? {
            Ordering::Less => Some(other),
            Ordering::Equal | Ordering::Greater => Some(self),
        }
    }

    /// A number that increases with every change and every restore, sent with orders to servers.
    pub fn fencing_token(self) -> u64 {
        (self.era.0 << REVISION_BITS) | self.revision
    }
}
