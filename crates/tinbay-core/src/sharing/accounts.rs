//! Recent use of a server by each client account.

use std::collections::HashMap;

use super::weights::AccountWeights;
use crate::limits::retry_times::RetryTimes;
use crate::serving::decay::DecayingValue;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// Half-life of an account's recorded use: about the time for which a request occupies its slot,
/// so that earlier heavy use does not hold an account back.
const USED_HALF_LIFE_MS: f64 = 2_000.0;

/// Recent use, in tokens, below which an account's entry is dropped.
const MIN_TRACKED_TOKENS: f64 = 0.01;

/// Factor by which the use of an account must exceed its fair share to count as above it.
const ABOVE_SHARE_FACTOR: f64 = 1.25;

/// Lower bound of an account's share of the total use.
const MIN_SHARE: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    used: DecayingValue,
    retry_times: RetryTimes,
}

/// Recent use of a server by client account, in tokens.
#[derive(Debug, Clone, Default)]
pub struct AccountUsage {
    by_account: HashMap<Fingerprint, Usage>,
}

impl AccountUsage {
    /// Adds the tokens of an admitted request to its account's use.
    pub fn add(&mut self, account: Fingerprint, units: f64, now_ms: Millis) {
        let usage = self.by_account.entry(account).or_default();
        usage.used.add(units, USED_HALF_LIFE_MS, now_ms);
    }

    /// Recent use of an account, in tokens.
    pub fn used(&self, account: Fingerprint, now_ms: Millis) -> f64 {
        let usage = self.by_account.get(&account);
        usage.map_or(0.0, |usage| usage.used.at(USED_HALF_LIFE_MS, now_ms))
    }

    /// An account's share of the total recent use, at least [`MIN_SHARE`] and at most 1.
    pub fn share(&self, account: Fingerprint, now_ms: Millis) -> f64 {
        let total: f64 = self
            .by_account
            .values()
            .map(|usage| usage.used.at(USED_HALF_LIFE_MS, now_ms))
            .sum();
        let share = self.used(account, now_ms) / total.max(1.0);
        share.clamp(MIN_SHARE, 1.0)
    }

    /// Use per weight above which an account counts as above its fair share.
    pub fn max_use_per_weight(&self, weights: &AccountWeights, now_ms: Millis) -> f64 {
        let accounts = self.by_account.keys();
        let (used, weight) = accounts.fold((0.0, 0.0), |(used, weight), key| {
            (used + self.used(*key, now_ms), weight + weights.of(*key))
        });
        if weight <= 0.0 {
            return f64::INFINITY;
        }
        ABOVE_SHARE_FACTOR * used / weight
    }

    /// Retry times given to an account's rejected requests.
    pub fn retry_times(&mut self, account: Fingerprint) -> &mut RetryTimes {
        &mut self.by_account.entry(account).or_default().retry_times
    }

    /// Drops the entries of accounts without recent use.
    pub fn drop_idle(&mut self, now_ms: Millis) {
        self.by_account
            .retain(|_, usage| usage.used.at(USED_HALF_LIFE_MS, now_ms) >= MIN_TRACKED_TOKENS);
    }
}
