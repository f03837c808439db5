//! Control messages between boxes.

use serde::{Deserialize, Serialize};
use tinbay_core::config::ConfigUpdate;
use tinbay_core::fence::MAX_SUCCESSION;
use tinbay_core::ids::{BoxId, EngineId, Incarnation, ModelRef};
use tinbay_core::keys::{Claim, RequestKey};
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
    /// What it says.
    pub message: Message,
}

/// What a box asks of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// "I am here": a box to its keepers, and a keeper to those of other zones.
    Heartbeat(Heartbeat),
    /// Claim the right to run a request at the key's home.
    Claim(RequestKey),
    /// A claimed request certainly did not run.
    ReleaseNotRun(RequestKey),
    /// Ask the load arbiter for permission; answered when granted.
    AskLoad(LoadRequest),
    /// A granted load has ended or is not needed any more.
    EndLoad {
        /// Where.
        engine: EngineId,
        /// What.
        model: ModelRef,
        /// Whether the permission was not used.
        unused: bool,
    },
    /// Names the succession of an engine, so that it holds through an outage.
    Succession(Succession),
    /// Asks the former owner of an engine to give no more orders.
    HandOver(EngineId),
    /// Asks for what the receiver's configuration has beyond this revision.
    ConfigSince(Revision),
    /// Asks a keeper which revision each box of its zone has in force.
    ZoneStatus,
    /// Asks for the last succession of an engine that the receiver knows.
    SuccessionOf(EngineId),
}

/// "I am here", with what the sender already knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub record: BoxRecord,
    /// Version of the receiver's view the sender has, 0 for none.
    pub view_version: u64,
    /// The run of the receiver that `view_version` belongs to.
    pub view_incarnation: u64,
}

/// Who may own an engine under an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// The engine.
    pub engine: EngineId,
    /// The epoch.
    pub epoch: u64,
    /// The owner, those behind it when it took over, and those that came to stand behind it since. A box
    /// keeps its place for the whole epoch.
    pub boxes: Vec<BoxId>,
    /// The owner's run when it took over.
    pub incarnation: Incarnation,
}

impl Succession {
    /// The run of a box that took the engine over with the epoch.
    pub fn owner(&self) -> Option<BoxRun> {
        let id = self.boxes.first()?.clone();
        Some(BoxRun {
            id,
            incarnation: self.incarnation,
        })
    }

    /// The place of a box.
    pub fn place_of(&self, id: &BoxId) -> Option<u32> {
        let place = self.boxes.iter().position(|member| member == id)?;
        Some(place as u32)
    }

    /// Those of some boxes that it does not name, as far as it has places left.
    pub fn missing(&self, boxes: &[BoxId]) -> Vec<BoxId> {
        let places = (MAX_SUCCESSION as usize).saturating_sub(self.boxes.len());
        let unnamed = boxes.iter().filter(|id| !self.boxes.contains(id));
        unnamed.take(places).cloned().collect()
    }

    /// Whether it was written after another one for the same engine; within an epoch boxes are only added.
    pub fn is_newer_than(&self, other: &Succession) -> bool {
        (self.epoch, self.boxes.len()) > (other.epoch, other.boxes.len())
    }
}

/// Answers to [`Message`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Done, nothing to add.
    Ok,
    /// To a heartbeat.
    View(ViewUpdate),
    /// To a claim.
    Claim(Claim),
    /// To a wish for a load, once it is granted.
    LoadGranted,
    /// To a request for configuration.
    Config(ConfigUpdate),
    /// To a request for a zone's status.
    Zone(Vec<HeardBox>),
    /// The receiver cannot do what was asked.
    Refused,
    /// To a question for a succession.
    Succession(Option<Succession>),
}

/// The part of a keeper's view that a box does not have yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The keeper's run.
    pub incarnation: u64,
    /// The keeper's view after this update.
    pub version: u64,
    /// Whether `present` is the whole view.
    pub whole: bool,
    /// Boxes that appeared or changed.
    pub present: Vec<BoxRecord>,
    /// Boxes that are gone.
    pub gone: Vec<BoxId>,
    /// Configuration revision the keeper has in force.
    pub revision: Revision,
}

/// What a keeper last heard from a box of its zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardBox {
    /// The box.
    pub id: BoxId,
    /// Revision it said it has in force.
    pub revision: Revision,
    /// How long ago.
    pub silent_ms: Millis,
}
