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
    Contents(ContentsPart),
    /// What it wants at servers of the receiver, where that changed or a request waits.
    Wants(Vec<WantPart>),
    /// Uses since its last such part, at servers of the receiver.
    Uses(Vec<(Fingerprint, AdapterKey, u32)>),
}

/// What the holder of a server says of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentsPart {
    /// The server.
    pub server: Fingerprint,
    /// Whether it should get no more adapters for now.
    pub is_overloaded: bool,
    /// All that it holds.
    pub adapters: Vec<AdapterPart>,
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
    /// Its first server; the holder chooses among those it holds.
    pub server: Fingerprint,
    /// The adapter as `model/name`.
    pub adapter: String,
    /// The version that was named, if one was.
    pub version: Option<u64>,
    /// Requests that had to wait for it, fading with time.
    pub asked: f32,
    /// Requests that wait now.
    pub waiting: f32,
    /// Whether it is for one more server of the adapter.
    pub is_copy: bool,
}

impl WantPart {
    /// The want as the core knows it.
    pub fn to_want(&self) -> Want {
        Want {
            adapter: self.adapter.clone(),
            version: self.version,
            asked: f64::from(self.asked),
            waiting: f64::from(self.waiting),
            is_copy: self.is_copy,
        }
    }
}
