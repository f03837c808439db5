//! Control messages between boxes.

use serde::{Deserialize, Serialize};
use tinbay_core::config::ConfigUpdate;
use tinbay_core::fence::MAX_SUCCESSION;
use tinbay_core::ids::{BoxId, EngineId, Incarnation, ModelRef};
use tinbay_core::keys::{ClaimAnswer, RequestKey};
use tinbay_core::loads::LoadRequest;
use tinbay_core::units::{Millis, Revision};
use tinbay_core::view::{BoxRecord, BoxRun};

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The box that sends.
    pub from: BoxId,
    /// Configuration revision it has in force.
    pub revision: Revision,
    /// The message itself.
    pub message: Message,
}

/// A request from one box to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Liveness message from a box to its keepers, and from a keeper to the keepers of other zones.
    Heartbeat(Heartbeat),
    /// Claim the right to run a request at the key's home.
    Claim(RequestKey),
    /// Releases the claim of a request that certainly did not run.
    ReleaseNotRun(RequestKey),
    /// Asks the load arbiter for permission to load a model; the reply is sent once it is granted.
    AskLoad(LoadRequest),
    /// A granted load has ended or is not needed any more.
    EndLoad {
        /// The engine that was to load the model.
        engine: EngineId,
        /// The model.
        model: ModelRef,
        /// Whether the permission was not used.
        unused: bool,
    },
    /// Distributes the succession of an engine, so that it stays known during an outage.
    Succession(Succession),
    /// Asks the former owner of an engine to send it no more orders.
    HandOver(EngineId),
    /// Asks for the configuration changes after this revision.
    ConfigSince(Revision),
    /// Asks a keeper which revision each box of its zone has in force.
    ZoneStatus,
    /// Asks for the last succession of an engine that the receiver knows.
    SuccessionOf(EngineId),
}

/// Liveness message that states which version of the receiver's view the sender has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub record: BoxRecord,
    /// Version of the receiver's view that the sender has; 0 for none.
    pub view_version: u64,
    /// The receiver's incarnation that `view_version` belongs to.
    pub view_incarnation: u64,
}

/// The boxes that may own an engine during an epoch, in order of precedence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// The engine.
    pub engine: EngineId,
    /// The epoch.
    pub epoch: u64,
    /// The owner at the start of the epoch, then its successors at that time, then those added
    /// since. A box keeps its place for the whole epoch.
    pub boxes: Vec<BoxId>,
    /// The first owner's incarnation when it took over.
    pub incarnation: Incarnation,
}

impl Succession {
    /// Returns the box, with its incarnation, that took over the engine at the start of the epoch.
    pub fn owner(&self) -> Option<BoxRun> {
        let id = self.boxes.first()?.clone();
        Some(BoxRun {
            id,
            incarnation: self.incarnation,
        })
    }

    /// Returns the place of a box in the succession.
    pub fn place_of(&self, id: &BoxId) -> Option<u32> {
        let place = self.boxes.iter().position(|member| member == id)?;
        Some(place as u32)
    }

    /// Returns those of `boxes` that the succession lacks, at most as many as it has free places.
    pub fn missing(&self, boxes: &[BoxId]) -> Vec<BoxId> {
        let places = (MAX_SUCCESSION as usize).saturating_sub(self.boxes.len());
        let unnamed = boxes.iter().filter(|id| !self.boxes.contains(id));
        unnamed.take(places).cloned().collect()
    }

    /// Returns whether it is newer than another succession of the same engine. Within an epoch,
    /// boxes are only ever added, so the longer one is newer.
    pub fn is_newer_than(&self, other: &Succession) -> bool {
        (self.epoch, self.boxes.len()) > (other.epoch, other.boxes.len())
    }
}

/// Replies to a [`Message`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Done, nothing to add.
    Ok,
    /// To a heartbeat.
    View(ViewUpdate),
    /// To a claim.
    Claim(ClaimAnswer),
    /// To a request for a load, once it is granted.
    LoadGranted,
    /// To a request for configuration.
    Config(ConfigUpdate),
    /// To a request for a zone's status.
    Zone(Vec<HeardBox>),
    /// The receiver can't fulfil the request.
    Refused,
    /// To a request for a succession; `None` if the receiver knows none.
    Succession(Option<Succession>),
}

/// The part of a keeper's view that a box does not have yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The keeper's incarnation.
    pub incarnation: u64,
    /// Version of the keeper's view after this update.
    pub version: u64,
    /// Whether `present` is the whole view.
    pub whole: bool,
    /// Boxes that appeared or changed.
    pub present: Vec<BoxRecord>,
    /// Boxes that were removed from the view.
    pub gone: Vec<BoxId>,
    /// Configuration revision in force on the keeper.
    pub revision: Revision,
}

/// The last message that a keeper received from a box of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardBox {
    /// The box.
    pub id: BoxId,
    /// Configuration revision that it reported.
    pub revision: Revision,
    /// Time since that message.
    pub silent_ms: Millis,
}
