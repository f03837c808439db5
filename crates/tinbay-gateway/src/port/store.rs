//! The key-value store as the direct path needs it.

use futures_util::future::LocalBoxFuture;
use tinbay_core::serving::position::{Era, Position, Revision};
use tinbay_core::units::Millis;

/// A lease of the store. It ends with the era that granted it, and its number is given out again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The era that granted it.
    pub era: Era,
    /// Its number; never 0.
    pub id: u64,
}

/// One key and its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Its last change.
    pub position: Position,
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
        position: Position,
    },
}

impl Change {
    /// When it was made.
    pub fn position(&self) -> Position {
        match self {
            Self::Put(item) => item.position,
            Self::Gone { position, .. } => *position,
        }
    }
}

/// All keys below a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The items, over all pages.
    pub items: Vec<Item>,
    /// Position of the first page; changes after it may be missing.
    pub at: Position,
}

/// What a watch brought.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub at: Position,
}

/// A change of several keys, done whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Keys and where they must stand.
    pub expected: Vec<(String, Position)>,
    /// Keys to write, with a lease or none.
    pub put: Vec<(String, Vec<u8>, Option<Lease>)>,
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
    /// The store has come back from a backup since what the call rests on was read.
    #[error("the store has come back from a backup")]
    EraOver,
    /// The answer was given before the store came back from a backup.
    #[error("the answer is of an era that is over: {}", era.0)]
    LateAnswer {
        /// Its era.
        era: Era,
    },
    /// The answer could not be read.
    #[error("the store's answer could not be read: {reason}")]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

/// What a store call gives.
pub type StoreResult<T> = Result<T, StoreError>;

/// What one call to the store gave, and the era that its answer named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answered<T> {
    /// The era; none where no answer came, or one that names none.
    pub era: Option<Era>,
    /// What it gave.
    pub result: StoreResult<T>,
}

/// The key-value store, call by call. All answers name the era in which they were given, refusals as
/// well; positions in an answer are of its era.
pub trait Store {
    /// Reads one key; no answer may be stale.
    fn read<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Answered<Option<Item>>>;

    /// Reads all keys below a prefix; `stale` allows an answer some seconds old. Pages of two eras
    /// are no listing.
    fn list<'a>(&'a self, prefix: &'a str, stale: bool) -> LocalBoxFuture<'a, Answered<Listing>>;

    /// Waits for changes below a prefix after a revision; an answer that is later than the wait by
    /// `late_ms` is given up.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait_ms: Millis,
        late_ms: Millis,
    ) -> LocalBoxFuture<'a, Answered<Changes>>;

    /// Does a transaction and gives its position.
    fn commit<'a>(&'a self, transaction: &'a Transaction)
    -> LocalBoxFuture<'a, Answered<Position>>;

    /// Grants a lease.
    fn grant(&self, life_ms: Millis) -> LocalBoxFuture<'_, Answered<Lease>>;

    /// Renews a lease by its number.
    fn keep(&self, lease: u64) -> LocalBoxFuture<'_, Answered<()>>;
}
