//! Accounts for the bytes of requests and answers, in total, by client account and by caller
//! connection.

use std::collections::HashMap;

use super::terms::MemoryTerms;

/// Hash of a client account's name.
pub type AccountHash = u32;

/// Identifies a caller's connection.
pub type ConnectionNumber = u64;

/// The account and connection that bytes are accounted to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Client account; absent where requests need no key.
    pub account: Option<AccountHash>,
    /// Connection of the caller.
    pub connection: ConnectionNumber,
}

/// A request is refused for lack of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MemoryShort {
    /// The box has reached its memory bound.
    #[error("the box holds as much as it may")]
    Box,
    /// The request's client account has reached its share of the memory.
    #[error("the account holds as much as it may")]
    Account,
}

impl MemoryShort {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryShort::Box => "box",
            MemoryShort::Account => "account",
        }
    }
}

/// Counters of the bytes held for requests and answers.
#[derive(Debug, Default)]
pub struct Ledger {
    total_bytes: u64,
    by_account: HashMap<AccountHash, u64>,
    by_connection: HashMap<ConnectionNumber, u64>,
}

impl Ledger {
    /// Adds bytes to the holder's counters.
    pub fn add(&mut self, holder: Holder, bytes: u64) {
        self.total_bytes += bytes;
        if let Some(account) = holder.account {
            *self.by_account.entry(account).or_default() += bytes;
        }
        *self.by_connection.entry(holder.connection).or_default() += bytes;
    }

    /// Subtracts bytes from the holder's counters.
    pub fn take_off(&mut self, holder: Holder, bytes: u64) {
        self.total_bytes = self.total_bytes.saturating_sub(bytes);
        if let Some(account) = holder.account {
            take_off(&mut self.by_account, account, bytes);
        }
        take_off(&mut self.by_connection, holder.connection, bytes);
    }

    /// Total bytes held.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Bytes held for a client account.
    pub fn account_bytes(&self, account: AccountHash) -> u64 {
        self.by_account.get(&account).copied().unwrap_or_default()
    }

    /// Bytes held for a caller's connection.
    pub fn connection_bytes(&self, connection: ConnectionNumber) -> u64 {
        let bytes = self.by_connection.get(&connection);
        bytes.copied().unwrap_or_default()
    }

    /// Checks whether a request with `bytes` of memory may be accepted.
    ///
    /// A refused request has not run, and another box may accept it; a box that runs out of memory
    /// would lose everything it holds. The bound per account keeps memory free for the others while
    /// the callers of one account fill its share.
    ///
    /// # Errors
    /// The bound that the request would exceed.
    pub fn admit(
        &self,
        terms: &MemoryTerms,
        holder: Holder,
        bytes: u64,
    ) -> Result<(), MemoryShort> {
        if self.total_bytes.saturating_add(bytes) > terms.bound_bytes {
            return Err(MemoryShort::Box);
        }
        let account_bytes = holder.account.map(|account| self.account_bytes(account));
        if account_bytes.is_some_and(|held| held.saturating_add(bytes) > terms.account_bytes) {
            return Err(MemoryShort::Account);
        }
        Ok(())
    }

    /// Bytes to free by aborting answers of slow callers; 0 below the threshold.
    pub fn excess_bytes(&self, terms: &MemoryTerms) -> u64 {
        self.total_bytes.saturating_sub(terms.abort_above_bytes)
    }
}

fn take_off<K: std::hash::Hash + Eq>(held: &mut HashMap<K, u64>, key: K, bytes: u64) {
    let Some(known) = held.get_mut(&key) else {
        return;
    };
    *known = known.saturating_sub(bytes);
    if *known == 0 {
        held.remove(&key);
    }
}
