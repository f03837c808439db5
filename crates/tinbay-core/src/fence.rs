//! Fences: the number on every order that lets an engine refuse a former owner.
//!
//! Source: Burrows, "The Chubby lock service for loosely-coupled distributed systems",
//! OSDI 2006 (sequencers).

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// The right under which an order is given. Higher epochs win, then higher ranks.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Raised by compare-and-swap in the key-value service at each takeover.
    pub epoch: u64,
    /// Rises with each takeover within the epoch; the box that raised the epoch begins with 0.
    pub rank: u32,
}

/// Places that the succession of one epoch may have.
pub const MAX_SUCCESSION: u32 = 64;

impl Fence {
    /// The lowest fence above one already seen that a place in the succession of an epoch may use; none if
    /// a later epoch was seen.
    ///
    /// Each place has every [`MAX_SUCCESSION`]th rank to itself. So the boxes of a succession can follow
    /// each other in any order, again and again, and no two of them ever hold the same fence.
    pub fn above(seen: Fence, epoch: u64, place: u32) -> Option<Fence> {
        if seen.epoch > epoch || place >= MAX_SUCCESSION {
            return None;
        }
        if seen.epoch < epoch {
            return Some(Fence { epoch, rank: place });
        }
        let rank = seen.rank - seen.rank % MAX_SUCCESSION + place;
        let rank = match rank > seen.rank {
            true => rank,
            false => rank.checked_add(MAX_SUCCESSION)?,
        };
        Some(Fence { epoch, rank })
    }
}

/// A fence together with the engine's run that the order is meant for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The right under which the order is given.
    pub fence: Fence,
    /// The engine's run; an engine that restarted empty refuses orders for the old one.
    pub incarnation: Incarnation,
}

/// Why an engine refuses an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum FenceRefusal {
    /// A higher fence has been seen.
    #[error("order carries a fence lower than one already seen")]
    Stale,
    /// The order is for an earlier run of the engine.
    #[error("order is for another run of the engine")]
    Incarnation,
}

/// Why a text is not an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("an order is written epoch.rank.incarnation, three whole numbers")]
pub struct OrderParseError;

/// What an engine that checks orders keeps: the highest fence seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct FenceGuard {
    highest: Fence,
}

impl FenceGuard {
    /// Checks an order and keeps its fence when it is the highest.
    ///
    /// # Errors
    /// [`FenceRefusal`] when the order is stale or for another run.
    pub fn check(&mut self, order: &Order, incarnation: Incarnation) -> Result<(), FenceRefusal> {
        if order.fence < self.highest {
            return Err(FenceRefusal::Stale);
        }
        if order.incarnation != incarnation {
            return Err(FenceRefusal::Incarnation);
        }
        self.highest = order.fence;
        Ok(())
    }

    /// The highest fence accepted so far.
    pub fn highest(&self) -> Fence {
        self.highest
    }
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fence { epoch, rank } = self.fence;
        write!(f, "{epoch}.{rank}.{}", self.incarnation)
    }
}

impl FromStr for Order {
    type Err = OrderParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let (Some(epoch), Some(rank), Some(incarnation), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(OrderParseError);
        };
        Ok(Self {
            fence: Fence {
                epoch: epoch.parse().map_err(|_| OrderParseError)?,
                rank: rank.parse().map_err(|_| OrderParseError)?,
            },
            incarnation: incarnation.parse().map_err(|_| OrderParseError)?,
        })
    }
}
