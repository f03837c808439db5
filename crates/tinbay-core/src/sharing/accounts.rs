//! What each client account has had of a server lately.

use std::collections::HashMap;

use super::weights::AccountWeights;
use crate::limits::turns::Turns;
use crate::serving::decay::DecayingValue;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// Half-life of what an account has had: about the time for which a request holds its place. Who had much
/// a while ago is not held back for it.
const USED_HALF_LIFE_MS: f64 = 2_000.0;

/// Units below which an account is forgotten.
const FORGOTTEN_UNITS: f64 = 0.01;

/// Factor by which an account must have had more than its part to be above it.
const CLEARLY_MORE: f64 = 1.25;

/// Least part of what all had that an account is taken to get next.
const LEAST_PART: f64 = 0.05;

#[derive(Debug, Clone, Copy, Default)]
struct Had {
    used: DecayingValue,
    turns: Turns,
}

/// What client accounts have had of a server lately.
#[derive(Debug, Clone, Default)]
pub struct AccountsHad {
    by_account: HashMap<Fingerprint, Had>,
}

impl AccountsHad {
    /// Notes what an account gets.
    pub fn note(&mut self, account: Fingerprint, units: f64, now_ms: Millis) {
        let had = self.by_account.entry(account).or_default();
        had.used.add(units, USED_HALF_LIFE_MS, now_ms);
    }

    /// What an account has had lately.
    pub fn used(&self, account: Fingerprint, now_ms: Millis) -> f64 {
        let had = self.by_account.get(&account);
        had.map_or(0.0, |had| had.used.at(USED_HALF_LIFE_MS, now_ms))
    }

    /// The part that an account had of what all had lately.
    pub fn part(&self, account: Fingerprint, now_ms: Millis) -> f64 {
        let all: f64 = self
            .by_account
            .values()
            .map(|had| had.used.at(USED_HALF_LIFE_MS, now_ms))
            .sum();
        let part = self.used(account, now_ms) / all.max(1.0);
        part.clamp(LEAST_PART, 1.0)
    }

    /// What an account had lately for its weight above which it has had clearly more than its part.
    pub fn most_for_weight(&self, weights: &AccountWeights, now_ms: Millis) -> f64 {
        let accounts = self.by_account.keys();
        let (used, weight) = accounts.fold((0.0, 0.0), |(used, weight), key| {
            (used + self.used(*key, now_ms), weight + weights.of(*key))
        });
        if weight <= 0.0 {
            return f64::INFINITY;
        }
        CLEARLY_MORE * used / weight
    }

    /// The turns of an account's requests that are turned away.
    pub fn turns(&mut self, account: Fingerprint) -> &mut Turns {
        &mut self.by_account.entry(account).or_default().turns
    }

    /// Forgets accounts that had nothing for long.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_account
            .retain(|_, had| had.used.at(USED_HALF_LIFE_MS, now_ms) >= FORGOTTEN_UNITS);
    }
}
