//! Bytes held for requests and answers: in all, by client account, by caller connection.

use std::collections::HashMap;

use super::terms::MemoryTerms;

/// The short form of a client account's name.
pub type AccountPrint = u32;

/// The number of a caller's connection.
pub type ConnectionNumber = u64;

/// For whom bytes are held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The client account; none where requests need no key.
    pub account: Option<AccountPrint>,
    /// The caller's connection.
    pub connection: ConnectionNumber,
}

/// Why a request is turned away for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum MemoryShort {
    /// The box holds as much as it may.
    #[error("the box holds as much as it may")]
    Box,
    /// The request's client account holds as much as it may.
    #[error("the account holds as much as it may")]
    Account,
}

impl MemoryShort {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            MemoryShort::Box => "box",
            MemoryShort::Account => "account",
        }
    }
}

/// Bytes held for requests and answers.
#[derive(Debug, Default)]
pub struct Ledger {
    total_bytes: u64,
    by_account: HashMap<AccountPrint, u64>,
    by_connection: HashMap<ConnectionNumber, u64>,
}

impl Ledger {
    /// Counts bytes that are held from now on.
    pub fn add(&mut self, holder: Holder, bytes: u64) {
        self.total_bytes += bytes;
        if let Some(account) = holder.account {
            *self.by_account.entry(account).or_default() += bytes;
        }
        *self.by_connection.entry(holder.connection).or_default() += bytes;
    }

    /// Counts bytes that are held no longer.
    pub fn take_off(&mut self, holder: Holder, bytes: u64) {
        self.total_bytes = self.total_bytes.saturating_sub(bytes);
        if let Some(account) = holder.account {
            take_off(&mut self.by_account, account, bytes);
        }
        take_off(&mut self.by_connection, holder.connection, bytes);
    }

    /// Bytes held in all.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Bytes held for a client account.
    pub fn account_bytes(&self, account: AccountPrint) -> u64 {
        self.by_account.get(&account).copied().unwrap_or_default()
    }

    /// Bytes held for a caller's connection.
    pub fn connection_bytes(&self, connection: ConnectionNumber) -> u64 {
        let bytes = self.by_connection.get(&connection);
        bytes.copied().unwrap_or_default()
    }

    /// Whether a request with so many bytes may be taken.
    ///
    /// Load: bodies and unread answers grow towards the box's memory, from all callers or from those
    /// of one account. A request beyond the bound has not run, and another box may have room for it; a box
    /// that falls loses all that it holds. One account stops at its part, so that the others are still
    /// served while its callers fill that.
    ///
    /// # Errors
    /// What there is too little room in.
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

    /// Bytes by which slow callers have to be cut; 0 where there is room.
    pub fn excess_bytes(&self, terms: &MemoryTerms) -> u64 {
        self.total_bytes.saturating_sub(terms.cut_from_bytes)
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
