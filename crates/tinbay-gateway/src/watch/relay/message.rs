//! Requests to relays and their answers.

use serde::{Deserialize, Serialize};
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;

use crate::port::store::{Change, Item};

/// A request to a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayRequest {
    /// Asks for all items under a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Asks for the changes under a prefix after a position.
    Watch {
        /// The prefix.
        prefix: String,
        /// Position up to which the asking box has applied changes.
        after: Position,
        /// Longest time to wait for a change.
        wait_ms: Millis,
    },
    /// Asks for all items under a prefix that the relay knows, if the store, restored from a
    /// backup, may lack some of them.
    Kept {
        /// The prefix.
        prefix: String,
        /// Present era of the store, as the asking box knows it.
        era: Era,
    },
}

/// The change of one key on the wire; no value means that the key is deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePart {
    key: String,
    /// Revision in the era that the answer names.
    revision: Revision,
    value: Option<Vec<u8>>,
}

/// The answer of a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// Items or changes.
    Parts {
        /// All items, or the changes with the oldest first.
        parts: Vec<ChangePart>,
        /// Position to continue from.
        at: Position,
        /// Age of the relay's copy of the store.
        age_ms: Millis,
        /// Time for which the relay held the request.
        held_ms: Millis,
        /// Whether the relay's copy includes everything that was ever written.
        is_complete: bool,
    },
    /// The relay no longer keeps the changes after the position: list again.
    HistoryGone,
    /// The relay does not read the store, or is not in touch with it.
    NotInTouch,
    /// The store holds everything that the relay knows.
    NothingKept,
}

impl ChangePart {
    pub(super) fn of_item(item: &Item) -> Self {
        Self {
            key: item.key.clone(),
            revision: item.position.revision,
            value: Some(item.value.clone()),
        }
    }

    pub(super) fn of_change(change: &Change) -> Self {
        match change {
            Change::Put(item) => Self::of_item(item),
            Change::Deleted { key, position } => Self {
                key: key.clone(),
                revision: position.revision,
                value: None,
            },
        }
    }

    pub(super) fn into_change(self, era: Era) -> Change {
        let position = Position::new(era, self.revision);
        match self.value {
            Some(value) => Change::Put(Item {
                key: self.key,
                value,
                position,
            }),
            None => Change::Deleted {
                key: self.key,
                position,
            },
        }
    }
}
