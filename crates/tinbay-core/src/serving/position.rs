//! Where something stands in the store: a revision, and the era that gave it out.
//!
//! A store that comes back from a backup gives out revisions again, so that one number may name two
//! contents. Each return begins an era. Positions have no order of their own: those of two eras can't
//! be compared, and the compiler lets nobody take the larger of two.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

/// A revision within one era; every change of the store raises it.
pub type Revision = u64;

/// Bits of a fencing token that hold the revision: 6.9e10 changes in one era. With 16 bits for the
/// era, a token is exact where numbers are read as floating point.
const REVISION_BITS: u32 = 36;

/// How often the store has come back from a backup, counted from any number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Era(pub u64);

/// A revision and the era that gave it out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The revision.
    pub revision: Revision,
}

impl Position {
    /// A revision that an era gave out.
    pub fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// The position of a key that is not there.
    pub fn missing(era: Era) -> Self {
        Self::new(era, 0)
    }

    /// How two positions of one era stand to each other; nothing for two eras.
    pub fn compare(self, other: Self) -> Option<Ordering> {
        (self.era == other.era).then(|| self.revision.cmp(&other.revision))
    }

    /// Whether this is at the other one or past it, in the same era.
    pub fn covers(self, other: Self) -> bool {
        self.compare(other).is_some_and(Ordering::is_ge)
    }

    /// The later one of two positions of one era; nothing for two eras.
    pub fn later_of(self, other: Self) -> Option<Self> {
        match self.compare(other)? {
            Ordering::Less => Some(other),
            Ordering::Equal | Ordering::Greater => Some(self),
        }
    }

    /// A number that rises with every change and every return, for orders to servers.
    pub fn fencing_token(self) -> u64 {
        (self.era.0 << REVISION_BITS) | self.revision
    }
}
