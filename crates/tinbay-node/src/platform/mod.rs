//! Interfaces to the platform: the key-value service and the list of boxes.

mod box_list;
mod etcd;

pub use box_list::HttpBoxList;
pub use etcd::EtcdJson;

use futures_util::future::LocalBoxFuture;
use tinbay_core::units::Revision;
use tinbay_wire::box_list::ListedBox;

/// Why a call to a platform service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The service could not be reached; the call had no effect.
    #[error("the service cannot be reached")]
    Unreachable,
    /// The call was sent and no reply arrived; a write may have taken effect.
    #[error("the reply was lost")]
    ReplyLost,
    /// The response could not be decoded.
    #[error("the answer is not understood")]
    NotUnderstood,
}

/// A stored key-value pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last write.
    pub revision: Revision,
}

/// A consistent snapshot of the pairs under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// The pairs, ordered by key.
    pub pairs: Vec<Pair>,
    /// The store's revision at which the pairs were read.
    pub revision: Revision,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Store a value, attached to a lease if one is given.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// Lease whose expiry deletes the key; without one the key stays until it is deleted.
        lease: Option<LeaseId>,
    },
    /// Delete a key.
    Delete {
        /// The key.
        key: String,
    },
}

/// A condition of a transaction: the key was last written at this revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guard {
    /// The key.
    pub key: String,
    /// Revision of the key's last write; 0 requires that the key does not exist.
    pub revision: Revision,
}

/// How a transaction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TxnEnd {
    /// The writes took effect at this revision.
    Done(Revision),
    /// A guard did not hold; nothing was written.
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
    /// The new value; `None` after a deletion.
    pub value: Option<Vec<u8>>,
    /// Store revision at which the change was made.
    pub revision: Revision,
}

/// A stream of changes in the order of their revisions.
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

    /// Applies all writes atomically if every guard holds.
    fn txn<'a>(
        &'a self,
        guards: &'a [Guard],
        writes: &'a [Write],
    ) -> LocalBoxFuture<'a, Result<TxnEnd, PlatformError>>;

    /// Watches the keys with a prefix, starting at a revision (inclusive).
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> LocalBoxFuture<'a, Result<Box<dyn Watch>, PlatformError>>;

    /// Grants a lease with a time to live in seconds.
    fn grant_lease(&self, ttl_s: i64) -> LocalBoxFuture<'_, Result<LeaseId, PlatformError>>;

    /// Renews a lease; returns `false` if it has expired.
    fn keep_lease(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<bool, PlatformError>>;
}

/// The platform's list of boxes, which lags behind the boxes' actual state.
pub trait BoxListService: Send + Sync {
    /// Reads the whole list.
    fn read(&self) -> LocalBoxFuture<'_, Result<Vec<ListedBox>, PlatformError>>;
}

/// Keys in the key-value service.
pub mod keys {
    use tinbay_core::config::ConfigKey;
    use tinbay_core::ids::{BoxId, EngineId};

    /// Prefix of the configuration objects.
    pub const CONFIG: &str = "/tinbay/config/";
    /// Written with every configuration change, so that reading this one key yields the newest
    /// revision.
    pub const CONFIG_HEAD: &str = "/tinbay/config-head";
    /// Prefix of the audit trail.
    pub const AUDIT: &str = "/tinbay/audit/";

    /// Key of a configuration object.
    pub fn config(key: &ConfigKey) -> String {
        format!("{CONFIG}{key}")
    }

    /// Key of a change's entry in the audit trail.
    pub fn audit(change_id: &str) -> String {
        format!("{AUDIT}{change_id}")
    }

    /// Key that records which box owns an engine.
    pub fn owner(engine: &EngineId) -> String {
        format!("/tinbay/owner/{engine}")
    }

    /// Key attached to a box's lease; it exists as long as the lease is alive.
    pub fn lease(id: &BoxId) -> String {
        format!("/tinbay/lease/{id}")
    }
}
