//! Questions to boxes that read the store, and their answers.

use serde::{Deserialize, Serialize};
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;

use crate::port::store::{Change, Item};

/// A question to a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayQuestion {
    /// All there is below a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// What changes below a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: String,
        /// The position.
        after: Position,
        /// How long to wait for a change.
        wait_ms: Millis,
    },
    /// All below a prefix that the relay knows, where the store lacks some of it after it came back
    /// from a backup.
    Kept {
        /// The prefix.
        prefix: String,
        /// The era that the store is in.
        era: Era,
    },
}

/// A change of one key, as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePart {
    key: String,
    /// Its revision, of the era of the whole answer.
    revision: Revision,
    value: Option<Vec<u8>>,
}

/// A relay's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// Items or changes.
    Parts {
        /// What there is, or what changed, oldest first.
        parts: Vec<ChangePart>,
        /// Where to go on.
        at: Position,
        /// How old what the relay knows is.
        age_ms: Millis,
        /// How long the relay held the question.
        held_ms: Millis,
        /// Whether it is all that was ever written.
        is_complete: bool,
    },
    /// Too much has been forgotten: list again.
    HistoryGone,
    /// The relay does not read the store, or is not in touch with it.
    NotInTouch,
    /// The store lacks nothing that the relay knows.
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
            Change::Gone { key, position } => Self {
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
            None => Change::Gone {
                key: self.key,
                position,
            },
        }
    }
}
