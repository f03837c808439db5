//! The administration interface under `/admin/v1`.

use serde::{Deserialize, Serialize};
use tinbay_core::config::{ConfigKey, ConfigObject};
use tinbay_core::ids::{BoxId, EngineId, ModelRef};
use tinbay_core::units::{Millis, Revision};
use tinbay_core::view::{BoxRecord, BoxState};

/// One object to write or delete.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeItem {
    /// Write an object.
    Put {
        /// The object.
        object: ConfigObject,
        /// Revision the operator last saw; 0 for "must not exist", absent for "whatever it is now".
        #[serde(default, skip_serializing_if = "Option::is_none")]
        expected: Option<Revision>,
    },
    /// Delete an object.
    Delete {
        /// Its key.
        key: ConfigKey,
    },
}

impl ChangeItem {
    /// The key of the object concerned.
    pub fn key(&self) -> ConfigKey {
        match self {
            ChangeItem::Put { object, .. } => object.key(),
            ChangeItem::Delete { key } => key.clone(),
        }
    }
}

/// Body of `POST /admin/v1/changes`: all of it is accepted, or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Names the change; asking again with the same id never makes it twice.
    pub change_id: String,
    /// Who makes it.
    pub operator: String,
    /// What is to be written.
    pub items: Vec<ChangeItem>,
}

/// Answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAccepted {
    /// The change.
    pub change_id: String,
    /// The revision at which it took effect.
    pub revision: Revision,
}

/// One line of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The change.
    pub change_id: String,
    /// Who made it.
    pub operator: String,
    /// When, as wall-clock milliseconds since 1970.
    pub at_ms: Millis,
    /// The box that took it.
    pub by_box: BoxId,
    /// The objects concerned and the revision each had before; 0 where it did not exist.
    pub items: Vec<AuditItem>,
    /// Why it was refused; absent for an accepted change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
    /// The revision at which it took effect; filled in when read.
    #[serde(default)]
    pub revision: Revision,
}

/// One object of an audited change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditItem {
    /// The object.
    pub key: ConfigKey,
    /// Its revision before.
    pub before: Revision,
    /// Whether the change deleted it.
    pub deleted: bool,
}

/// One object with its revision, of `GET /admin/v1/objects`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectRecord {
    /// Revision of the last write.
    pub revision: Revision,
    /// The object.
    pub object: ConfigObject,
}

/// Answer of `GET /admin/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The box that answers.
    pub answered_by: BoxId,
    /// Revision in force there.
    pub revision: Revision,
    /// Boxes it knows, with the revision each has in force.
    pub boxes: Vec<BoxStatus>,
    /// Engines this box owns.
    pub engines: Vec<EngineStatus>,
}

/// A box as seen by the box that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its record.
    pub record: BoxRecord,
    /// Revision it last said it has in force; absent when it has said nothing yet.
    pub revision: Option<Revision>,
    /// Since when nothing was heard from it.
    pub silent_ms: Millis,
}

/// An engine as its owner sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine.
    pub engine: EngineId,
    /// Its owner.
    pub owner: BoxId,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Rank within the epoch's succession.
    pub rank: u32,
    /// Whether the owner has learnt what the engine holds.
    pub ready: bool,
    /// Models loaded.
    pub loaded: Vec<ModelRef>,
    /// Requests waiting.
    pub queued: usize,
    /// Requests running.
    pub running: usize,
}

/// Body of `POST /admin/v1/policies/try`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyTry {
    /// Rhai source.
    pub program: String,
}

/// Answer of `POST /admin/v1/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The box.
    pub id: BoxId,
    /// Its state now.
    pub state: BoxState,
}
