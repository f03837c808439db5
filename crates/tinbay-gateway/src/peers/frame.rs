//! The message between boxes.

use serde::{Deserialize, Serialize};
use tinbay_core::serving::contents::{AdapterKey, Want};

use crate::members::MemberRecord;

/// Longest datagram: what fits into one packet of any usual link.
pub const MOST_BYTES: usize = 1_300;

/// A short form of a server's or an adapter's key. Two that share one are told apart by the
/// server itself, which refuses what it does not hold.
pub type Fingerprint = u32;

/// What one box tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub box_id: String,
    /// Start of the sender's process, to tell its runs apart.
    pub incarnation: u64,
    /// Rises with each frame of the run.
    pub sequence: u64,
    /// One part of what it has to say.
    pub part: FramePart,
}

/// One part of what a box has to say.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FramePart {
    /// What the sender says about itself.
    Hello(MemberRecord),
    /// Requests it has running, by server; servers that are left out have none.
    Flights(Vec<(Fingerprint, u16)>),
    /// All that one server holds whose claim it holds.
    Contents(Fingerprint, Vec<AdapterPart>),
    /// All that it wants at servers of the receiver.
    Wants(Vec<WantPart>),
    /// Uses since its last such part, at servers of the receiver.
    Uses(Vec<(Fingerprint, AdapterKey, u32)>),
}

/// An adapter that takes a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterPart {
    /// The adapter.
    pub adapter: Fingerprint,
    /// Its version; 0 where it is not known.
    pub version: u32,
    /// Whether it can serve.
    pub is_ready: bool,
}

/// An adapter that is wanted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WantPart {
    /// Where.
    pub server: Fingerprint,
    /// The adapter as `model/name`.
    pub adapter: String,
    /// The version that was named, if one was.
    pub version: Option<u64>,
    /// How much.
    pub weight: f32,
    /// The part of the weight that is for requests that had to wait before.
    pub asked: f32,
    /// Whether a request waits now.
    pub is_awaited: bool,
}

impl WantPart {
    /// The want as the core knows it.
    pub fn to_want(&self) -> Want {
        Want {
            adapter: self.adapter.clone(),
            version: self.version,
            weight: f64::from(self.weight),
            asked: f64::from(self.asked),
            is_awaited: self.is_awaited,
        }
    }
}
