//! All calls to the store, and what their answers tell of its era.
//!
//! Each answer names the era in which it was given, so the first answer of any kind shows that the
//! store has come back from a backup. An answer of an earlier era is late and dropped; what rests on
//! positions or leases of one is not asked, as the store may have given out their numbers again.

use std::cell::{Cell, RefCell};

use tinbay_core::serving::position::{Era, Position};
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::port::store::{
    Answered, Changes, Item, Lease, Listing, Store, StoreError, StoreResult, Transaction,
};

/// Time after a return in which entries that are missing may be written again: the store's own
/// writers take some seconds.
pub const REWRITTEN_WITHIN_MS: Millis = 5_000;

/// Key that is read to learn the era alone.
const LOOK_KEY: &str = "tinbay/settled";

/// A return of the store from a backup.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// Era before.
    pub from: Era,
    /// Era since.
    pub to: Era,
    /// When this box saw it.
    pub seen_ms: Millis,
}

/// The store, with the era it is in.
pub struct StoreAccess {
    inner: Box<dyn Store>,
    clock: Clock,
    era: Cell<Option<Era>>,
    /// Whether that is another box's word alone.
    is_told: Cell<bool>,
    /// Whether an answer that named no era was taken.
    was_unnamed: Cell<bool>,
    last_return: Cell<Option<Return>>,
    /// Returns that nobody has dealt with yet.
    unhandled: RefCell<Vec<Return>>,
    /// Told when a return was seen.
    pub returned: Notify,
}

impl StoreAccess {
    /// Access to a store that nothing is known of.
    pub fn new(inner: Box<dyn Store>, clock: Clock) -> Self {
        Self {
            inner,
            clock,
            era: Cell::default(),
            is_told: Cell::default(),
            was_unnamed: Cell::default(),
            last_return: Cell::default(),
            unhandled: RefCell::default(),
            returned: Notify::new(),
        }
    }

    /// The era the store is in; none before its first answer, and where answers name none.
    pub fn era(&self) -> Option<Era> {
        self.era.get()
    }

    /// Whether the store came back so lately that what is missing there may be written again.
    pub fn is_being_rewritten(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.last_return
            .get()
            .is_some_and(|last| now_ms < last.seen_ms + REWRITTEN_WITHIN_MS)
    }

    /// The next return that is to be dealt with.
    pub fn take_return(&self) -> Option<Return> {
        let mut unhandled = self.unhandled.borrow_mut();
        (!unhandled.is_empty()).then(|| unhandled.remove(0))
    }

    /// Whether positions that another box tells are of the present era. A later one is looked after
    /// at the store by the cheapest read; where that gives no answer, the other box's word counts until
    /// the store says otherwise.
    pub async fn confirm_told(&self, era: Era) -> bool {
        if self.is_present(era) {
            return true;
        }
        let known = self.era.get().unwrap_or_default();
        if era < known {
            return false;
        }
        let looked = self.list(LOOK_KEY, true).await;
        if looked == Err(StoreError::NoAnswer) && self.era.get().unwrap_or_default() == known {
            self.note_return(known, era);
            self.era.set(Some(era));
            self.is_told.set(true);
        }
        self.is_present(era)
    }

    /// Notes the era that an answer of the store names; whether it is not over.
    fn note_era(&self, era: Era) -> bool {
        let is_told = self.is_told.replace(false);
        match self.known_era() {
            // Another box was wrong, or this is a late answer; the next one tells.
            Some(known) if era < known && is_told => self.note_return(known, era),
            Some(known) if era < known => return false,
            Some(known) if era > known => self.note_return(known, era),
            _ => {}
        }
        self.era.set(Some(era));
        true
    }

    /// The era that was known so far: the lowest one where answers have named none.
    fn known_era(&self) -> Option<Era> {
        let unnamed = self.was_unnamed.get().then(Era::default);
        self.era.get().or(unnamed)
    }

    fn note_return(&self, from: Era, to: Era) {
        let seen = Return {
            from,
            to,
            seen_ms: self.clock.now_ms(),
        };
        self.last_return.set(Some(seen));
        self.unhandled.borrow_mut().push(seen);
        self.returned.notify_one();
    }

    /// Whether a position may be compared with what the store gives out now.
    pub fn is_present(&self, era: Era) -> bool {
        self.era.get().unwrap_or_default() == era
    }

    /// Reads one key; no answer may be stale.
    ///
    /// # Errors
    /// When the store does not answer or refuses.
    pub async fn read(&self, key: &str) -> StoreResult<Option<Item>> {
        self.take(self.inner.read(key).await)
    }

    /// Reads all keys below a prefix; `stale` allows an answer some seconds old.
    ///
    /// # Errors
    /// When the store does not answer or refuses, or comes back between two pages.
    pub async fn list(&self, prefix: &str, stale: bool) -> StoreResult<Listing> {
        self.take(self.inner.list(prefix, stale).await)
    }

    /// Waits for changes below a prefix after a position.
    ///
    /// # Errors
    /// When the store does not answer or refuses; `HistoryGone` also where the position is of
    /// another era than the answer.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait_ms: Millis,
        late_ms: Millis,
    ) -> StoreResult<Changes> {
        if !self.is_present(after.era) {
            return Err(StoreError::HistoryGone);
        }
        let watching = self
            .inner
            .watch(prefix, after.revision, wait_ms, late_ms)
            .await;
        let changes = self.take(watching)?;
        if changes.at.era != after.era {
            return Err(StoreError::HistoryGone);
        }
        Ok(changes)
    }

    /// Does a transaction and gives its position.
    ///
    /// # Errors
    /// When the store does not answer or refuses; `EraOver` where it came back since the expected
    /// positions were read: it was not sent, or may have fitted another content.
    pub async fn commit(&self, transaction: &Transaction) -> StoreResult<Position> {
        let rests_on = eras_of(transaction);
        if !rests_on.iter().all(|era| self.is_present(*era)) {
            return Err(StoreError::EraOver);
        }
        let committed = self.take(self.inner.commit(transaction).await)?;
        if rests_on.iter().any(|era| *era != committed.era) {
            return Err(StoreError::EraOver);
        }
        Ok(committed)
    }

    /// Grants a lease.
    ///
    /// # Errors
    /// When the store does not answer or refuses.
    pub async fn grant(&self, life_ms: Millis) -> StoreResult<Lease> {
        self.take(self.inner.grant(life_ms).await)
    }

    /// Renews a lease; its number may have been given to another box after a return.
    ///
    /// # Errors
    /// When it is over, or the store does not answer or refuses.
    pub async fn keep(&self, lease: Lease) -> StoreResult<()> {
        if !self.is_present(lease.era) {
            return Err(StoreError::LeaseOver);
        }
        let kept = self.take(self.inner.keep(lease.id).await);
        if !self.is_present(lease.era) {
            return Err(StoreError::LeaseOver);
        }
        kept
    }

    fn take<T>(&self, answered: Answered<T>) -> StoreResult<T> {
        match (answered.era, answered.result) {
            (Some(era), result) => {
                if !self.note_era(era) {
                    return Err(StoreError::LateAnswer { era });
                }
                result
            }
            (None, Ok(_)) if self.era.get().is_some() => Err(StoreError::Malformed {
                reason: "the era is missing".into(),
            }),
            (None, result) => {
                self.was_unnamed
                    .set(self.was_unnamed.get() || result.is_ok());
                result
            }
        }
    }
}

/// Eras of all that a transaction rests on.
fn eras_of(transaction: &Transaction) -> Vec<Era> {
    let expected = transaction.expected.iter();
    let leases = transaction.put.iter().filter_map(|(_, _, lease)| *lease);
    let expected = expected.map(|(_, position)| position.era);
    expected.chain(leases.map(|lease| lease.era)).collect()
}
