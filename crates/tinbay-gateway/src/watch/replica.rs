//! Local copy of the store's content and latest changes. A relay answers other boxes from it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};

use tinbay_core::serving::position::Position;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use super::Follower;
use crate::port::store::{Change, Item, Listing};

/// Changes kept per prefix. A box that has missed more than these must list the prefix again.
const MAX_LOGGED_CHANGES: usize = 4_000;

/// Bytes of changes kept per prefix. The newest change is kept whatever its size.
const MAX_LOGGED_BYTES: usize = 4 * 1_024 * 1_024;

/// Content and latest changes of one prefix.
#[derive(Debug, Default)]
struct PrefixCopy {
    items: BTreeMap<String, Item>,
    /// Position after which `log` holds all changes.
    log_begins_at: Position,
    /// Position up to which changes have been applied.
    at: Position,
    /// Latest changes that are sent to other boxes, oldest first.
    log: VecDeque<Change>,
    /// Bytes of the changes in `log`.
    logged_bytes: usize,
    confirmed_ms: Millis,
    max_relayed_age_ms: Option<Millis>,
    /// When the copy was last known to include everything that was ever written.
    complete_ms: Option<Millis>,
    is_complete: bool,
    /// Whether the source of the copy reported it as complete.
    is_reported_complete: bool,
}

impl PrefixCopy {
    /// Adds a change to the log, and drops the oldest ones if there are too many.
    fn log_change(&mut self, change: &Change) {
        self.logged_bytes += change.size_bytes();
        self.log.push_back(change.clone());
        while self.is_log_full()
            && let Some(oldest) = self.log.pop_front()
        {
            self.logged_bytes -= oldest.size_bytes();
            self.log_begins_at = self
                .log_begins_at
                .later_of(oldest.position())
                .unwrap_or(self.log_begins_at);
        }
    }

    fn is_log_full(&self) -> bool {
        let is_too_large = self.logged_bytes > MAX_LOGGED_BYTES && self.log.len() > 1;
        is_too_large || self.log.len() > MAX_LOGGED_CHANGES
    }
}

/// Local copy of the store, by prefix.
#[derive(Debug, Default)]
pub struct Replica {
    by_prefix: RefCell<HashMap<String, PrefixCopy>>,
    /// Notified on a new listing, on a change that other boxes are sent, and when a read of the
    /// store fails.
    pub changed: Notify,
    /// Notified when a copy is confirmed to be up to date.
    pub confirmed: Notify,
}

/// Age, source and completeness of a listing or of changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// Latest time at which the copy was certainly up to date.
    pub confirmed_ms: Millis,
    /// Age up to which other boxes are answered from the copy; `None` if it came from another box,
    /// not from the store.
    pub max_relayed_age_ms: Option<Millis>,
    /// Whether it includes everything that was ever written. False while the store, restored from a
    /// backup, lacks items that were written before.
    pub is_complete: bool,
    /// Whether its source reported it as complete, regardless of the checks of this box.
    pub is_reported_complete: bool,
}

impl Freshness {
    /// Returns the freshness with the completeness check of a follower applied.
    pub fn checked_by(self, follower: &dyn Follower) -> Self {
        Self {
            is_complete: self.is_complete && follower.is_complete(),
            ..self
        }
    }
}

/// Answer to a box that asks for the changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangesSince {
    /// The later changes are known in full.
    Changes {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// Position to continue from.
        at: Position,
    },
    /// Changes after the position are no longer kept: the box must list the prefix again.
    HistoryGone,
}

impl Replica {
    /// Replaces the copy of a prefix with a new listing.
    pub fn record_listing(&self, prefix: &str, listing: &Listing, freshness: Freshness) {
        let items = listing.items.iter();
        let mut by_prefix = self.by_prefix.borrow_mut();
        let before = by_prefix.get(prefix);
        let complete_ms = match freshness.is_complete {
            true => Some(freshness.confirmed_ms),
            false => before.and_then(|before| before.complete_ms),
        };
        let copy = PrefixCopy {
            complete_ms,
            is_complete: freshness.is_complete,
            is_reported_complete: freshness.is_reported_complete,
            items: items.map(|item| (item.key.clone(), item.clone())).collect(),
            log_begins_at: listing.at,
            at: listing.at,
            log: VecDeque::new(),
            logged_bytes: 0,
            confirmed_ms: freshness.confirmed_ms,
            max_relayed_age_ms: freshness.max_relayed_age_ms,
        };
        by_prefix.insert(prefix.to_string(), copy);
        self.changed.notify_waiters();
        self.confirmed.notify_waiters();
    }

    /// Applies one change; `is_relayed` is false if other boxes need not be sent it at once.
    pub fn record_change(&self, prefix: &str, change: &Change, is_relayed: bool) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        let Some(copy) = by_prefix.get_mut(prefix) else {
            return;
        };
        match change {
            Change::Put(item) => copy.items.insert(item.key.clone(), item.clone()),
            Change::Deleted { key, .. } => copy.items.remove(key),
        };
        if !is_relayed {
            return;
        }
        copy.log_change(change);
        self.changed.notify_waiters();
    }

    /// Records that all changes up to a position have been applied. A position of another era than
    /// the listing is ignored.
    pub fn confirm(&self, prefix: &str, at: Position, freshness: Freshness) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        let Some(copy) = by_prefix.get_mut(prefix) else {
            return;
        };
        let Some(later) = copy.at.later_of(at) else {
            return;
        };
        copy.at = later;
        copy.confirmed_ms = copy.confirmed_ms.max(freshness.confirmed_ms);
        copy.max_relayed_age_ms = freshness.max_relayed_age_ms;
        copy.is_complete = freshness.is_complete;
        copy.is_reported_complete = freshness.is_reported_complete;
        if freshness.is_complete {
            copy.complete_ms = copy.complete_ms.max(Some(freshness.confirmed_ms));
        }
        self.confirmed.notify_waiters();
    }

    /// Records that a read failed: no box is answered from the copy until it is confirmed again.
    pub fn mark_unconfirmed(&self, prefix: &str) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        if let Some(copy) = by_prefix.get_mut(prefix) {
            copy.max_relayed_age_ms = None;
        }
        self.changed.notify_waiters();
    }

    /// Last known item of a key.
    pub fn item(&self, prefix: &str, key: &str) -> Option<Item> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix)?.items.get(key).cloned()
    }

    /// Latest time at which the copy of a prefix was certainly up to date.
    pub fn confirmed_ms(&self, prefix: &str) -> Option<Millis> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix).map(|copy| copy.confirmed_ms)
    }

    /// Marks the copy as including everything ever written, unless its source reported otherwise.
    pub fn mark_complete(&self, prefix: &str) {
        let mut by_prefix = self.by_prefix.borrow_mut();
        if let Some(copy) = by_prefix
            .get_mut(prefix)
            .filter(|copy| copy.is_reported_complete)
        {
            copy.is_complete = true;
            copy.complete_ms = copy.complete_ms.max(Some(copy.confirmed_ms));
        }
    }

    /// Latest time at which the copy certainly included everything ever written under the prefix.
    pub fn complete_ms(&self, prefix: &str) -> Option<Millis> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix)?.complete_ms
    }

    /// Whether the copy includes everything ever written under a prefix; true for an unknown one.
    pub fn is_complete(&self, prefix: &str) -> bool {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix).is_none_or(|copy| copy.is_complete)
    }

    /// Position up to which the changes of a prefix have been applied.
    pub fn at(&self, prefix: &str) -> Option<Position> {
        let by_prefix = self.by_prefix.borrow();
        by_prefix.get(prefix).map(|copy| copy.at)
    }

    /// Age of the copy of a prefix; `None` if it came from another box, is too old, or the store
    /// does not answer.
    pub fn age_ms(&self, prefix: &str, now_ms: Millis) -> Option<Millis> {
        let by_prefix = self.by_prefix.borrow();
        let copy = by_prefix.get(prefix)?;
        let age_ms = now_ms.saturating_sub(copy.confirmed_ms);
        (age_ms < copy.max_relayed_age_ms?).then_some(age_ms)
    }

    /// Copy of a prefix in the form of a listing.
    pub fn listing(&self, prefix: &str) -> Option<Listing> {
        let by_prefix = self.by_prefix.borrow();
        let copy = by_prefix.get(prefix)?;
        Some(Listing {
            items: copy.items.values().cloned().collect(),
            at: copy.at,
        })
    }

    /// Changes under a prefix after a position; `None` if that position belongs to an era that this
    /// box has not seen yet.
    ///
    /// Comparing only the revisions of positions of different eras would leave the asking box on an
    /// outdated configuration for good.
    pub fn since(&self, prefix: &str, after: Position) -> Option<ChangesSince> {
        let by_prefix = self.by_prefix.borrow();
        let copy = by_prefix.get(prefix)?;
        let Some(at) = copy.at.later_of(after) else {
            let is_behind = copy.at.era < after.era;
            return (!is_behind).then_some(ChangesSince::HistoryGone);
        };
        if !after.covers(copy.log_begins_at) {
            return Some(ChangesSince::HistoryGone);
        }
        let newer = copy
            .log
            .iter()
            .filter(|change| !after.covers(change.position()));
        Some(ChangesSince::Changes {
            changes: newer.cloned().collect(),
            at,
        })
    }
}
