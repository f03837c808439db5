//! Assembles a listing that shows the store at one position from pages that may not.

use std::collections::BTreeMap;

use tinbay_core::serving::position::Position;

use crate::port::store::{Change, Changes, Item, Listing, Pages, StoreError, StoreResult};

/// Items of a prefix that are brought to one position by watched changes.
///
/// Each page shows its keys at a position of its own. Once all changes after the oldest page have
/// been applied up to the newest one, all keys are as they were at one position. Before that, a key
/// may have a value that it never had at the same time as the others.
#[derive(Debug)]
pub struct Snapshot {
    items: BTreeMap<String, Item>,
    at: Position,
    newest_at: Position,
}

impl Snapshot {
    /// Starts from the pages of a listing.
    pub fn new(pages: Pages) -> Self {
        let items = pages.items.into_iter();
        Self {
            items: items.map(|item| (item.key.clone(), item)).collect(),
            at: pages.oldest_at,
            newest_at: pages.newest_at,
        }
    }

    /// Position after which the next changes are needed.
    pub fn at(&self) -> Position {
        self.at
    }

    /// Applies the answer to a watch after [`Snapshot::at`].
    ///
    /// # Errors
    /// When the answer belongs to another era, or does not lead on.
    pub fn apply(&mut self, changes: &Changes) -> StoreResult<()> {
        let later = self.at.later_of(changes.at).ok_or(StoreError::EraChanged)?;
        if changes.changes.is_empty() {
            // Nothing has changed up to the time of the answer, which is after all pages.
            self.at = later.later_of(self.newest_at).unwrap_or(later);
            return Ok(());
        }
        if later == self.at {
            return Err(StoreError::Malformed {
                reason: format!(
                    "the changes after revision {} end at revision {}",
                    self.at.revision, changes.at.revision
                ),
            });
        }
        for change in &changes.changes {
            self.apply_change(change);
        }
        self.at = later;
        Ok(())
    }

    /// Applies a change unless the page of its key includes it already.
    fn apply_change(&mut self, change: &Change) {
        let (key, position) = (change.key(), change.position());
        let is_included = self
            .items
            .get(key)
            .is_some_and(|item| item.position.covers(position));
        if is_included {
            return;
        }
        match change {
            Change::Put(item) => self.items.insert(key.to_string(), item.clone()),
            Change::Deleted { .. } => self.items.remove(key),
        };
    }

    /// Returns the listing once it shows the store at one position, else the snapshot itself.
    ///
    /// # Errors
    /// While changes up to the position of the newest page are missing.
    pub fn into_listing(self) -> Result<Listing, Self> {
        if !self.at.covers(self.newest_at) {
            return Err(self);
        }
        Ok(Listing {
            items: self.items.into_values().collect(),
            at: self.at,
        })
    }
}
