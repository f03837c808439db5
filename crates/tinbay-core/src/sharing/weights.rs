//! Weights of client accounts in the sharing of a server at capacity.

use std::collections::HashMap;

use crate::accounts::account::{Account, LimitUnit};
use crate::serving::servers::Fingerprint;

/// Weight of an account without a comparable limit.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Weights of client accounts, by the fingerprints of their names.
///
/// The weight of an account is its configured rate limit. If any account has no limit, or limits
/// count different units, they can't be compared and all accounts weigh the same.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountWeights {
    by_account: HashMap<Fingerprint, f64>,
}

impl AccountWeights {
    /// Derives the weights of accounts, each given with the fingerprint of its name.
    pub fn new(accounts: &[(Fingerprint, &Account)]) -> Self {
        if !are_comparable(accounts) {
            return Self::default();
        }
        let by_account = accounts
            .iter()
            .filter_map(|(key, account)| Some((*key, account.limit?.per_s)))
            .filter(|(_, weight)| weight.is_finite() && *weight > 0.0)
            .collect();
        Self { by_account }
    }

    /// The weight of an account.
    pub fn of(&self, account: Fingerprint) -> f64 {
        let weight = self.by_account.get(&account);
        weight.copied().unwrap_or(DEFAULT_WEIGHT)
    }
}

fn are_comparable(accounts: &[(Fingerprint, &Account)]) -> bool {
    let counts_tokens = |account: &Account| matches!(account.unit, LimitUnit::Tokens { .. });
    let by_tokens = accounts
        .iter()
        .filter(|(_, account)| counts_tokens(account))
        .count();
    let are_limited = accounts.iter().all(|(_, account)| account.limit.is_some());
    are_limited && (by_tokens == 0 || by_tokens == accounts.len())
}
