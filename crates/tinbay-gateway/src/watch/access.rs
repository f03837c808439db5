//! Wraps all calls to the store and tracks its era, a number that rises with each restore of the
//! store from a backup.
//!
//! Each answer names the era in which it was given, so the first answer of any kind reveals a
//! restore. An answer from an earlier era is late and is dropped. Calls that depend on positions or
//! leases of an earlier era are not sent, as the restored store may have reused their numbers.

use std::cell::{Cell, RefCell};

use log::Level;
use serde::Serialize;
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::events::{self, part};
use crate::port::store::{
    Answered, Changes, Item, Lease, Listing, Store, StoreError, StoreResult, Transaction,
    UnreadableItem,
};
use crate::watch::snapshot::Snapshot;

/// Time after a restore in which missing entries may be written again: the writers of the store
/// need some seconds for this.
pub const REWRITTEN_WITHIN_MS: Millis = 5_000;

/// Key that is listed only to learn the era from the answer.
const ERA_PROBE_KEY: &str = "tinbay/settled";

/// Wait of a watch that brings a listing to one position. The changes are in the store already.
const CATCH_UP_WAIT_MS: Millis = 1;

/// Time that the answer to such a watch may take beyond its wait.
const MAX_CATCH_UP_DELAY_MS: Millis = 1_500;

/// Shortest time between two lines on items that can't be read. Each read of a listing shows the same
/// items again.
const UNREADABLE_LOG_PAUSE_MS: Millis = 60_000;

#[derive(Serialize)]
struct UnreadableEvent {
    items: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<Revision>,
    error: &'static str,
}

/// A listing of the store, and how it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// All items at one position.
    pub listing: Listing,
    /// Latest time at which the listing was certainly up to date; `None` if it may be some seconds
    /// old.
    pub confirmed_ms: Option<Millis>,
    /// What it took to bring pages of different positions to one; `None` if all pages agreed.
    pub catch_up: Option<CatchUp>,
}

/// How pages of different positions were brought to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CatchUp {
    /// Position of the oldest page.
    pub oldest_at: Position,
    /// Position of the newest page.
    pub newest_at: Position,
    /// Number of watches that it took.
    pub watches: u64,
}

/// A restore of the store from a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreRestore {
    /// Era before the restore.
    pub from: Era,
    /// Era that the restore began.
    pub to: Era,
    /// Local time at which this box noticed the restore.
    pub seen_ms: Millis,
}

/// The store together with its present era.
pub struct StoreAccess {
    inner: Box<dyn Store>,
    clock: Clock,
    era: Cell<Option<Era>>,
    /// Whether the era was reported by another box and not yet confirmed by the store.
    is_era_unconfirmed: Cell<bool>,
    /// Whether a successful answer that named no era was accepted.
    has_unnamed_answer: Cell<bool>,
    last_restore: Cell<Option<StoreRestore>>,
    /// Restores that have not been handled yet, oldest first.
    unhandled: RefCell<Vec<StoreRestore>>,
    /// Items that could not be read, since they were last taken.
    unreadable: Cell<usize>,
    unreadable_logged_ms: Cell<Option<Millis>>,
    /// Notified when a restore is noticed.
    pub restored: Notify,
}

impl StoreAccess {
    /// Wraps a store whose era is still unknown.
    pub fn new(inner: Box<dyn Store>, clock: Clock) -> Self {
        Self {
            inner,
            clock,
            era: Cell::default(),
            is_era_unconfirmed: Cell::default(),
            has_unnamed_answer: Cell::default(),
            last_restore: Cell::default(),
            unhandled: RefCell::default(),
            unreadable: Cell::default(),
            unreadable_logged_ms: Cell::default(),
            restored: Notify::new(),
        }
    }

    /// The present era of the store; `None` before its first answer, or if its answers name no era.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Whether a restore was noticed within the last `REWRITTEN_WITHIN_MS`, so that entries missing
    /// from the store may still be written again.
    pub fn is_being_rewritten(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.last_restore
            .get()
            .is_some_and(|last| now_ms < last.seen_ms + REWRITTEN_WITHIN_MS)
    }

    /// Removes and returns the oldest unhandled restore.
    pub fn next_restore(&self) -> Option<StoreRestore> {
        let mut unhandled = self.unhandled.borrow_mut();
        (!unhandled.is_empty()).then(|| unhandled.remove(0))
    }

    /// Whether an era reported by another box is the present one. An era later than the known one
    /// is checked with the cheapest read of the store; if the store does not answer, the reported
    /// era is assumed until the store names another one.
    pub async fn verify_era(&self, era: Era) -> bool {
        if self.is_present(era) {
            return true;
        }
        let known = self.era.get().unwrap_or_default();
        if era < known {
            return false;
        }
        let probed = self.check_era(self.inner.list(ERA_PROBE_KEY, true).await);
        if probed == Err(StoreError::NoAnswer) && self.era.get().unwrap_or_default() == known {
            self.record_restore(known, era);
            self.era.set(Some(era));
            self.is_era_unconfirmed.set(true);
        }
        self.is_present(era)
    }

    /// Records the era named in an answer of the store. Returns false if that era is already over.
    fn record_era(&self, era: Era) -> bool {
        let was_unconfirmed = self.is_era_unconfirmed.replace(false);
        match self.known_era() {
            // Either the box that reported the later era was wrong, or this answer is late. The
            // earlier era is assumed; the next answer corrects it if needed.
            Some(known) if era < known && was_unconfirmed => self.record_restore(known, era),
            Some(known) if era < known => return false,
            Some(known) if era > known => self.record_restore(known, era),
            _ => {}
        }
        self.era.set(Some(era));
        true
    }

    /// The last known era: the lowest one if the answers so far named none.
    fn known_era(&self) -> Option<Era> {
        let unnamed = self.has_unnamed_answer.get().then(Era::default);
        self.era.get().or(unnamed)
    }

    fn record_restore(&self, from: Era, to: Era) {
        let seen = StoreRestore {
            from,
            to,
            seen_ms: self.clock.now_ms(),
        };
        self.last_restore.set(Some(seen));
        self.unhandled.borrow_mut().push(seen);
        self.restored.notify_one();
    }

    /// Whether positions of `era` may be compared with those that the store assigns now.
    pub fn is_present(&self, era: Era) -> bool {
        self.era.get().unwrap_or_default() == era
    }

    /// Reads one key; the answer is never stale.
    ///
    /// # Errors
    /// When the store does not answer or refuses.
    pub async fn read(&self, key: &str) -> StoreResult<Option<Item>> {
        self.check_era(self.inner.read(key).await)
    }

    /// Reads all keys under a prefix; `stale` allows an answer that is some seconds old. Pages of
    /// different positions are brought to one by the changes in between.
    ///
    /// # Errors
    /// When the store does not answer or refuses, or is restored between two pages.
    pub async fn list(&self, prefix: &str, stale: bool) -> StoreResult<Listed> {
        match self.list_once(prefix, stale).await {
            // The changes since the oldest page are gone, or too many. Current pages are younger.
            Err(StoreError::HistoryGone | StoreError::TooLong { .. }) if stale => {
                self.list_once(prefix, false).await
            }
            result => result,
        }
    }

    async fn list_once(&self, prefix: &str, stale: bool) -> StoreResult<Listed> {
        let asked_ms = self.clock.now_ms();
        let pages = self.check_era(self.inner.list(prefix, stale).await)?;
        let mut confirmed_ms = (!stale).then_some(asked_ms);
        let mut catch_up = CatchUp {
            oldest_at: pages.oldest_at,
            newest_at: pages.newest_at,
            watches: 0,
        };
        let mut snapshot = Snapshot::new(pages);
        loop {
            snapshot = match snapshot.into_listing() {
                Ok(listing) => {
                    return Ok(Listed {
                        listing,
                        confirmed_ms,
                        catch_up: (catch_up.watches > 0).then_some(catch_up),
                    });
                }
                Err(snapshot) => snapshot,
            };
            confirmed_ms = Some(self.clock.now_ms());
            catch_up.watches += 1;
            let watching = self.watch(
                prefix,
                snapshot.at(),
                CATCH_UP_WAIT_MS,
                MAX_CATCH_UP_DELAY_MS,
            );
            snapshot.apply(&watching.await?)?;
        }
    }

    /// Waits for changes under a prefix after a position.
    ///
    /// # Errors
    /// When the store does not answer or refuses; `HistoryGone` also if the position and the
    /// answer belong to different eras.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait_ms: Millis,
        max_delay_ms: Millis,
    ) -> StoreResult<Changes> {
        if !self.is_present(after.era) {
            return Err(StoreError::HistoryGone);
        }
        let watching = self
            .inner
            .watch(prefix, after.revision, wait_ms, max_delay_ms)
            .await;
        let changes = self.check_era(watching)?;
        if changes.at.era != after.era {
            return Err(StoreError::HistoryGone);
        }
        Ok(changes)
    }

    /// Commits a transaction and returns its position.
    ///
    /// # Errors
    /// When the store does not answer or refuses; `EraChanged` if it was restored after the
    /// expected positions were read: the transaction was either not sent, or its expected positions
    /// may have matched other content.
    pub async fn commit(&self, transaction: &Transaction) -> StoreResult<Position> {
        let eras = eras_of(transaction);
        if !eras.iter().all(|era| self.is_present(*era)) {
            return Err(StoreError::EraChanged);
        }
        let committed = self.check_era(self.inner.commit(transaction).await)?;
        if eras.iter().any(|era| *era != committed.era) {
            return Err(StoreError::EraChanged);
        }
        Ok(committed)
    }

    /// Grants a lease.
    ///
    /// # Errors
    /// When the store does not answer or refuses.
    pub async fn grant(&self, life_ms: Millis) -> StoreResult<Lease> {
        self.check_era(self.inner.grant(life_ms).await)
    }

    /// Renews a lease. After a restore its number may belong to another box.
    ///
    /// # Errors
    /// When the lease is over, or the store does not answer or refuses.
    pub async fn keep(&self, lease: Lease) -> StoreResult<()> {
        if !self.is_present(lease.era) {
            return Err(StoreError::LeaseExpired);
        }
        let kept = self.check_era(self.inner.keep(lease.id).await);
        if !self.is_present(lease.era) {
            return Err(StoreError::LeaseExpired);
        }
        kept
    }

    /// Number of items that could not be read in the answers since the last call.
    pub fn take_unreadable(&self) -> usize {
        self.unreadable.take()
    }

    /// Counts items that answers lack as they can't be read, and logs the first one now and then.
    fn record_unreadable(&self, items: &[UnreadableItem]) {
        let Some(first) = items.first() else {
            return;
        };
        self.unreadable.update(|count| count + items.len());
        let now_ms = self.clock.now_ms();
        let last_ms = self.unreadable_logged_ms.get();
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + UNREADABLE_LOG_PAUSE_MS) {
            return;
        }
        self.unreadable_logged_ms.set(Some(now_ms));
        let event = UnreadableEvent {
            items: items.len(),
            revision: first.revision,
            error: first.reason,
        };
        events::emit(part::STORE, Level::Warn, "items_unreadable", &event);
    }

    fn check_era<T>(&self, answered: Answered<T>) -> StoreResult<T> {
        self.record_unreadable(&answered.unreadable);
        match (answered.era, answered.result) {
            (Some(era), result) => {
                if !self.record_era(era) {
                    return Err(StoreError::LateAnswer { era });
                }
                result
            }
            (None, Ok(_)) if self.era.get().is_some() => Err(StoreError::Malformed {
                reason: "the era is missing".into(),
            }),
            (None, result) => {
                self.has_unnamed_answer
                    .set(self.has_unnamed_answer.get() || result.is_ok());
                result
            }
        }
    }
}

/// Eras of the expected positions and of the leases of a transaction.
fn eras_of(transaction: &Transaction) -> Vec<Era> {
    let expected = transaction.expected.iter();
    let leases = transaction.put.iter().filter_map(|(_, _, lease)| *lease);
    let expected = expected.map(|(_, position)| position.era);
    expected.chain(leases.map(|lease| lease.era)).collect()
}
