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
        /// Revision the operator last saw; 0 if the object must not exist, absent to write it at
        /// any revision.
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
    /// Returns the key of the affected object.
    pub fn key(&self) -> ConfigKey {
        match self {
            ChangeItem::Put { object, .. } => object.key(),
            ChangeItem::Delete { key } => key.clone(),
        }
    }
}

/// Body of `POST /admin/v1/changes`. A change is atomic: either all items are accepted or none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the change; a repeated request with the same id is not applied twice.
    pub change_id: String,
    /// Operator who makes the change.
    pub operator: String,
    /// Objects to write or delete.
    pub items: Vec<ChangeItem>,
}

/// Response to an accepted change.
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
    /// Operator who made the change.
    pub operator: String,
    /// Time of the change in Unix milliseconds.
    pub at_ms: Millis,
    /// The box that handled the change.
    pub by_box: BoxId,
    /// The affected objects and their previous revisions; 0 if an object did not exist.
    pub items: Vec<AuditItem>,
    /// Reason for the rejection; absent for an accepted change.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused: Option<String>,
    /// The revision at which it took effect; set when the record is read.
    #[serde(default)]
    pub revision: Revision,
}

/// One object of an audited change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditItem {
    /// The object.
    pub key: ConfigKey,
    /// Its revision before the change; 0 if it did not exist.
    pub before: Revision,
    /// Whether the change deleted it.
    pub deleted: bool,
}

/// One object with its revision, as returned by `GET /admin/v1/objects`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ObjectRecord {
    /// Revision of the last write.
    pub revision: Revision,
    /// The object.
    pub object: ConfigObject,
}

/// Response of `GET /admin/v1/status`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The box that answers.
    pub answered_by: BoxId,
    /// Configuration revision in force on that box.
    pub revision: Revision,
    /// Boxes that it knows, with the configuration revision in force on each.
    pub boxes: Vec<BoxStatus>,
    /// Engines this box owns.
    pub engines: Vec<EngineStatus>,
}

/// A box as seen by the box that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Its record.
    pub record: BoxRecord,
    /// Configuration revision that it last reported; absent if it has reported none yet.
    pub revision: Option<Revision>,
    /// Time since the last message from it.
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
    /// Whether the owner knows which models the engine has loaded.
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

/// Response of `POST /admin/v1/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainAnswer {
    /// The box.
    pub id: BoxId,
    /// Its state now.
    pub state: BoxState,
}
