//! Fencing tokens, sent with every order so that an engine can refuse orders of a former owner.
//!
//! Source: Burrows, "The Chubby lock service for loosely-coupled distributed systems",
//! OSDI 2006 (sequencers).

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;

/// A fencing token. The higher epoch wins, then the higher rank.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Fence {
    /// Incremented by compare-and-swap in the key-value service.
    pub epoch: u64,
    /// Rises with each takeover within the epoch; the box that incremented the epoch starts at 0.
    pub rank: u32,
}

/// Maximum number of boxes in the succession of one epoch.
pub const MAX_SUCCESSION: u32 = 64;

impl Fence {
    /// The lowest fence above `seen` for the box at `position` in the succession of `epoch`; `None`
    /// if a later epoch was seen.
    ///
    /// Each position owns every [`MAX_SUCCESSION`]th rank. The boxes of a succession can therefore
    /// take over from each other in any order and any number of times, and no two of them ever
    /// hold the same fence.
    pub fn above(seen: Fence, epoch: u64, position: u32) -> Option<Fence> {
        if seen.epoch > epoch || position >= MAX_SUCCESSION {
            return None;
        }
        if seen.epoch < epoch {
            return Some(Fence {
                epoch,
                rank: position,
            });
        }
        let rank = seen.rank - seen.rank % MAX_SUCCESSION + position;
        let rank = match rank > seen.rank {
            true => rank,
            false => rank.checked_add(MAX_SUCCESSION)?,
        };
        Some(Fence { epoch, rank })
    }
}

/// The authority of an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the owner that gives the order.
    pub fence: Fence,
    /// Incarnation of the engine that the order is for. After a restart, an engine refuses orders
    /// for its earlier incarnation.
    pub incarnation: Incarnation,
}

/// An engine refuses an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum FenceRefusal {
    /// A higher fence has been seen.
    #[error("order carries a fence lower than one already seen")]
    Stale,
    /// The order is for another incarnation of the engine.
    #[error("order is for another run of the engine")]
    Incarnation,
}

/// The text is not a valid [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("an order is written epoch.rank.incarnation, three whole numbers")]
pub struct OrderParseError;

/// The check of an engine that verifies orders: remembers the highest fence seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct FenceGuard {
    highest: Fence,
}

impl FenceGuard {
    /// Checks an order and records its fence.
    ///
    /// # Errors
    /// [`FenceRefusal`] if the order is stale or for another incarnation.
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
