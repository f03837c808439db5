//! What this box has seen of the store, kept to pass it on to other boxes.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};

use tinbay_core::serving::position::Position;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use super::Follower;
use crate::port::store::{Change, Item, Listing};

/// Changes kept for boxes that are behind; older ones make them read all again.
const MOST_CHANGES: usize = 4_000;

/// What was seen below one prefix.
#[derive(Debug, Default)]
struct Copy {
    items: BTreeMap<String, Item>,
    listed_at: Position,
    at: Position,
    log: VecDeque<Change>,
    confirmed_ms: Millis,
    passed_on_ms: Option<Millis>,
    /// When it was last known to be all that was ever written.
    complete_ms: Option<Millis>,
    is_complete: bool,
    /// Whether whoever told it to this box said so.
    is_told_complete: bool,
}

/// What this box has seen of the store.
#[derive(Debug, Default)]
pub struct Replica {
    by_prefix: RefCell<HashMap<String, Copy>>,
    /// Told when something has changed.
    pub changed: Notify,
    /// Told when the store was seen to have nothing newer.
    pub confirmed: Notify,
}

/// How old knowledge is, and where it came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// When what is known was certainly complete.
    pub confirmed_ms: Millis,
    /// Age up to which it is passed on; none where it came from another box, not from the store.
    pub passed_on_ms: Option<Millis>,
    /// Whether it is all that was ever written; not while the store lacks what it had before it
    /// came back from a backup.
    pub is_complete: bool,
    /// The same by the word of whoever told it, whatever this box makes of it.
    pub is_told_complete: bool,
}

impl Evidence {
    /// The same for what a follower has made of it.
    pub fn of(self, follower: &dyn Follower) -> Self {
        Self {
            is_complete: self.is_complete && follower.is_complete(),
            ..self
        }
    }
}

/// What a box that asks for changes is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Since {
    /// These, and where to go on.
    Changes {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// Where to go on.
        at: Position,
    },
    /// Too much has been forgotten.
    HistoryGone,
}

impl Replica {
    /// Takes all there is below a prefix.
    pub fn note_listing(&self, prefix: &str, listing: &Listing, evidence: Evidence) {
        let items = listing.items.iter();
        let mut by_prefix = self.by_prefix.borrow_mut();
        let before = by_prefix.get(prefix);
        let complete_ms = match evidence.is_complete {
            true => Some(evidence.confirmed_ms),
            false => before.and_then(|before| before.complete_ms),
        };
        let copy = Copy {
            complete_ms,
            is_complete: evidence.is_complete,
            is_told_complete: evidence.is_told_complete,
            items: items.map(|item| (item.key.clone(), item.clone())).collect(),
            listed_at: listing.at,
            at: listing.at,
            log: VecDeque::new(),
            confirmed_ms: evidence.confirmed_ms,
            passed_on_ms: evidence.passed_on_ms,
        };
        by_prefix.insert(prefix.to_string(), copy);
        self.changed.notify_waiters();
        self.confirmed.notify_waiters();
    }

    /// Takes one change; `is_passed_on` is false where it decides nothing for others.
    pub fn note_change(&self, prefix: &str, change: &Change, is_passed_on: bool) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        let Some(copy) = by_prefix.get_mut(prefix) else {
            return;
        };
        match change {
            Change::Put(item) => copy.items.insert(item.key.clone(), item.clone()),
            Change::Gone { key, .. } => copy.items.remove(key),
        };
        if !is_passed_on {
            return;
        }
        copy.log.push_back(change.clone());
        if copy.log.len() > MOST_CHANGES
            && let Some(oldest) = copy.log.pop_front()
        {
            copy.listed_at = copy
                .listed_at
                .later_of(oldest.position())
                .unwrap_or(copy.listed_at);
        }
        self.changed.notify_waiters();
    }

    /// All changes up to a position have been taken. One of another era than the listing confirms
    /// nothing of it.
    pub fn confirm(&self, prefix: &str, at: Position, evidence: Evidence) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        let Some(copy) = by_prefix.get_mut(prefix) else {
            return;
        };
        let Some(later) = copy.at.later_of(at) else {
            return;
        };
        copy.at = later;
        copy.confirmed_ms = copy.confirmed_ms.max(evidence.confirmed_ms);
        copy.passed_on_ms = evidence.passed_on_ms;
        copy.is_complete = evidence.is_complete;
        copy.is_told_complete = evidence.is_told_complete;
        if evidence.is_complete {
            copy.complete_ms = copy.complete_ms.max(Some(evidence.confirmed_ms));
        }
        self.confirmed.notify_waiters();
    }

    /// The store did not answer: nothing is passed on until it does.
    pub fn lose(&self, prefix: &str) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        if let Some(copy) = by_prefix.get_mut(prefix) {
            copy.passed_on_ms = None;
        }
        self.changed.notify_waiters();
    }

    /// The item with a key, as last seen.
    pub fn item(&self, prefix: &str, key: &str) -> Option<Item> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix)?.items.get(key).cloned()
    }

    /// When what is known below a prefix was certainly complete.
    pub fn confirmed_ms(&self, prefix: &str) -> Option<Millis> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix).map(|copy| copy.confirmed_ms)
    }

    /// Notes that what was last seen is all that was ever written, if whoever told it knows no better.
    pub fn note_complete(&self, prefix: &str) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        if let Some(copy) = by_prefix
            .get_mut(prefix)
            .filter(|copy| copy.is_told_complete)
        {
            copy.is_complete = true;
            copy.complete_ms = copy.complete_ms.max(Some(copy.confirmed_ms));
        }
    }

    /// When what is known below a prefix was certainly all that was ever written there.
    pub fn complete_ms(&self, prefix: &str) -> Option<Millis> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix)?.complete_ms
    }

    /// Whether what is known below a prefix is all that was ever written there, as last seen.
    pub fn is_complete(&self, prefix: &str) -> bool {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix).is_none_or(|copy| copy.is_complete)
    }

    /// The position up to which this box has seen a prefix.
    pub fn at(&self, prefix: &str) -> Option<Position> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix).map(|copy| copy.at)
    }

    /// How old what is known below a prefix is, if this box has it from the store itself and
    /// is in touch with it.
    pub fn age_ms(&self, prefix: &str, now_ms: Millis) -> Option<Millis> {
        let by_prefix = self.by_prefix.borrow();
        let copy = by_prefix.get(prefix)?;
        let age_ms = now_ms.saturating_sub(copy.confirmed_ms);
        (age_ms < copy.passed_on_ms?).then_some(age_ms)
    }

    /// All there is below a prefix.
    pub fn listing(&self, prefix: &str) -> Option<Listing> {
        let by_prefix = self.by_prefix.borrow();
        let copy = by_prefix.get(prefix)?;
        Some(Listing {
            items: copy.items.values().cloned().collect(),
            at: copy.at,
        })
    }

    /// What has changed below a prefix after a position; nothing where this box has not seen the
    /// era of the one that asks.
    ///
    /// Answering one of another era by its number alone left it on an older configuration for good.
    pub fn since(&self, prefix: &str, after: Position) -> Option<Since> {
        let by_prefix = self.by_prefix.borrow();
        let copy = by_prefix.get(prefix)?;
        let Some(at) = copy.at.later_of(after) else {
            let is_behind = copy.at.era < after.era;
            return (!is_behind).then_some(Since::HistoryGone);
        };
        if !after.covers(copy.listed_at) {
            return Some(Since::HistoryGone);
        }
        let newer = copy
            .log
            .iter()
            .filter(|change| !after.covers(change.position()));
        Some(Since::Changes {
            changes: newer.cloned().collect(),
            at,
        })
    }
}
