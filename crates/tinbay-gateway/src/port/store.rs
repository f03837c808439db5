//! The key-value store as the direct path needs it.

use futures_util::future::LocalBoxFuture;
use tinbay_core::units::Millis;

/// A revision of the store; every change raises it.
pub type Revision = u64;

/// A lease of the store; 0 means none.
pub type LeaseId = u64;

/// One key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Its last change.
    pub revision: Revision,
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It was written.
    Put(Item),
    /// It went away.
    Gone {
        /// The key.
        key: String,
        /// When.
        revision: Revision,
    },
}

impl Change {
    /// When it was made.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(item) => item.revision,
            Self::Gone { revision, .. } => *revision,
        }
    }
}

/// All keys below a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items, over all pages.
    pub items: Vec<Item>,
    /// Revision of the first page; changes after it may be missing.
    pub at: Revision,
}

/// What a watch brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub at: Revision,
}

/// A change of several keys, done whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and the revisions they must have; 0 for none.
    pub expected: Vec<(String, Revision)>,
    /// Keys to write, with a lease or 0.
    pub put: Vec<(String, Vec<u8>, LeaseId)>,
    /// Keys to take away.
    pub remove: Vec<String>,
}

/// Entries that one transaction may have.
pub const MOST_ENTRIES: usize = 32;

/// Why a call did not do what it should.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer: it may be done, now or later.
    #[error("no answer from the store")]
    NoAnswer,
    /// Not asked: others read the store for this box, and its own turn has not come.
    #[error("the store was not asked yet")]
    NotAsked,
    /// Refused; nothing was done.
    #[error("the store refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The history asked for is gone.
    #[error("the store's history is gone")]
    HistoryGone,
    /// A condition of the transaction did not hold.
    #[error("a condition did not hold")]
    Conflict {
        /// The keys of the conditions as they are.
        items: Vec<Item>,
    },
    /// The lease is over.
    #[error("the lease is over")]
    LeaseOver,
    /// The answer could not be read.
    #[error("the store's answer could not be read: {reason}")]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

/// What a store call gives.
pub type StoreResult<T> = Result<T, StoreError>;

/// The key-value store.
pub trait Store {
    /// Reads one key; no answer may be stale.
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, StoreResult<Option<Item>>>;

    /// Reads all keys below a prefix; `stale` allows an answer some seconds old.
    fn list<'a>(&'a self, prefix: &'a str, stale: bool)
    -> LocalBoxFuture<'a, StoreResult<Listing>>;

    /// Waits for changes below a prefix after a revision; an answer that is later than the wait by
    /// `late_ms` is given up.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: Millis,
        late_ms: Millis,
    ) -> LocalBoxFuture<'a, StoreResult<Changes>>;

    /// Does a transaction and gives its revision.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalBoxFuture<'a, StoreResult<Revision>>;

    /// Grants a lease.
    fn grant(&self, life_ms: Millis) -> LocalBoxFuture<'_, StoreResult<LeaseId>>;

    /// Renews a lease.
    fn keep(&self, lease: LeaseId) -> LocalBoxFuture<'_, StoreResult<()>>;
}
