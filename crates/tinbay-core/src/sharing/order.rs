//! The order in which waiting requests are admitted to a server.

use std::cmp::Ordering;
use std::collections::HashMap;

use super::accounts::AccountUsage;
use super::weights::AccountWeights;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// The properties of a waiting request that decide when it is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEntry {
    /// Client account of its caller.
    pub account: Fingerprint,
    /// Whether it was rejected before and comes back at its retry time.
    pub is_retry: bool,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// When it first asked for admission.
    pub arrived_ms: Millis,
    /// Prompt and completion tokens.
    pub units: f64,
}

impl QueueEntry {
    /// Order within an account: due retries first, then by rank, then by arrival. The length of a
    /// request plays no part, so that long ones are not starved.
    fn compare(&self, other: &Self) -> Ordering {
        let retries_first = other.is_retry.cmp(&self.is_retry);
        retries_first
            .then(self.rank.cmp(&other.rank))
            .then(self.arrived_ms.cmp(&other.arrived_ms))
    }
}

/// Indices into `entries` in the order of admission, by weighted fair queueing.
///
/// The next request is always one of the account with the least use per weight, where the
/// account's requests ahead of it count as used. An account that asks for little is therefore
/// admitted at once, however many requests of another account wait, and a single account gets
/// all of the capacity.
pub fn order(
    entries: &[QueueEntry],
    usage: &AccountUsage,
    weights: &AccountWeights,
    now_ms: Millis,
) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..entries.len()).collect();
    positions.sort_by(|left, right| entries[*left].compare(&entries[*right]));
    let mut virtual_time: HashMap<Fingerprint, f64> = HashMap::new();
    let mut virtual_starts = vec![0.0; entries.len()];
    for position in &positions {
        let entry = &entries[*position];
        let weight = weights.of(entry.account);
        let virtual_time = virtual_time
            .entry(entry.account)
            .or_insert_with(|| usage.used(entry.account, now_ms) / weight);
        virtual_starts[*position] = *virtual_time;
        *virtual_time += entry.units / weight;
    }
    // The sort is stable: between accounts with equal use the first sort decides.
    positions.sort_by(|left, right| virtual_starts[*left].total_cmp(&virtual_starts[*right]));
    positions
}
