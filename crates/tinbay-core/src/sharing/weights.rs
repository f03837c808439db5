//! How much of scarce room each client account may have, against the others.

use std::collections::HashMap;

use crate::accounts::account::{Account, LimitUnit};
use crate::serving::servers::Fingerprint;

/// Weight of an account where limits say nothing.
const USUAL_WEIGHT: f64 = 1.0;

/// Weights of client accounts, by the short form of their names.
///
/// What operators allow an account says how much it is meant to have: its limit is its weight. Limits that
/// count different things can't be compared, and without a limit there is nothing to go by: then all weigh
/// the same.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AccountWeights {
    by_account: HashMap<Fingerprint, f64>,
}

impl AccountWeights {
    /// The weights of accounts, each with the short form of its name.
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
        weight.copied().unwrap_or(USUAL_WEIGHT)
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
