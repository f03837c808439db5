//! The borders to the platform: the key-value service and the list of boxes.

mod box_list;
mod etcd;

pub use box_list::HttpBoxList;
pub use etcd::EtcdJson;

use futures_util::future::LocalBoxFuture;
use tinbay_core::units::Revision;
use tinbay_wire::box_list::ListedBox;

/// Why the platform gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("the service cannot be reached")]
    Unreachable,
    /// A write may have taken effect.
    #[error("the reply was lost")]
    ReplyLost,
    /// The answer makes no sense.
    #[error("the answer is not understood")]
    NotUnderstood,
}

/// A stored pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last write.
    pub revision: Revision,
}

/// Pairs and the store's revision when they were read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The pairs, by key.
    pub pairs: Vec<Pair>,
    /// The store's revision.
    pub revision: Revision,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Store a value, on a lease where one is given.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease.
        lease: Option<LeaseId>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A condition of a transaction: the key's last write was at this revision, 0 for "none".
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guard {
    /// The key.
    pub key: String,
    /// Its revision.
    pub revision: Revision,
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TxnEnd {
    /// The writes took effect at this revision.
    Done(Revision),
    /// A guard did not hold.
    GuardFailed,
}

/// A lease of the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseId(pub i64);

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchedChange {
    /// The key.
    pub key: String,
    /// The value; none after a deletion.
    pub value: Option<Vec<u8>>,
    /// The revision.
    pub revision: Revision,
}

/// Changes in the order of their revisions.
pub trait Watch {
    /// The next changes; an error ends the watch.
    fn next(&mut self) -> LocalBoxFuture<'_, Result<Vec<WatchedChange>, PlatformError>>;
}

/// The platform's key-value service.
pub trait KvService: Send + Sync {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> LocalBoxFuture<'a, Result<Option<Pair>, PlatformError>>;

    /// Reads every key with a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalBoxFuture<'a, Result<Listing, PlatformError>>;

    /// Writes if every guard holds.
    fn txn<'a>(
        &'a self,
        guards: &'a [Guard],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<TxnEnd, PlatformError>>;

    /// Watches a prefix from a revision on.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> LocalBoxFuture<'a, Result<Box<dyn Watch>, PlatformError>>;

    /// Begins a lease.
    fn grant_lease(&self, ttl_s: i64) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>>;

    /// Renews a lease; `false` when it has lapsed.
    fn keep_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<bool, PlatformError>>;
}

/// The platform's lagging list of boxes.
pub trait BoxListService: Send + Sync {
    /// Reads the list.
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedBox>, PlatformError>>;
}

/// Keys in the key-value service.
pub mod keys {
    use tinbay_core::config::ConfigKey;
    use tinbay_core::ids::{BoxId, EngineId};

    /// Prefix of the configuration's objects.
    pub const CONFIG: &str = "/tinbay/config/";
    /// Written with every change, so that one read tells the newest revision.
    pub const CONFIG_HEAD: &str = "/tinbay/config-head";
    /// Prefix of the audit trail.
    pub const AUDIT: &str = "/tinbay/audit/";

    /// Key of an object.
    pub fn config(key: &ConfigKey) -> String {
        format!("{CONFIG}{key}")
    }

    /// Key of an audited change.
    pub fn audit(change_id: &str) -> String {
        format!("{AUDIT}{change_id}")
    }

    /// Key of an engine's ownership.
    pub fn owner(engine: &EngineId) -> String {
        format!("/tinbay/owner/{engine}")
    }

    /// Key that shows a box's lease to be alive.
    pub fn lease(id: &BoxId) -> String {
        format!("/tinbay/lease/{id}")
    }
}
