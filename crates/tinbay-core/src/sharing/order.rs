//! In which order requests that wait for a server are let in.

use std::cmp::Ordering;
use std::collections::HashMap;

use super::accounts::AccountsHad;
use super::weights::AccountWeights;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// What decides a waiting request's place in the order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// Its client account.
    pub account: Fingerprint,
    /// Whether it was turned away before and this is its turn.
    pub is_return: bool,
    /// Its rank, 0 first.
    pub rank: u8,
    /// When it came.
    pub came_ms: Millis,
    /// Tokens it has the server read and make.
    pub units: f64,
}

impl Place {
    /// Within an account: those whose turn it is, then the urgent, then who came first. The length counts
    /// for nothing, so that the long get in as well.
    fn compare(&self, other: &Self) -> Ordering {
        let returns = other.is_return.cmp(&self.is_return);
        returns
            .then(self.rank.cmp(&other.rank))
            .then(self.came_ms.cmp(&other.came_ms))
    }
}

/// Positions of waiting requests in the order in which they are let in.
///
/// The next is always of the account that has had least for its weight. Each is taken to have had what its
/// earlier requests count, so an account that asks for little is let in at once, however many of another
/// account wait, and an account alone gets everything.
pub fn order(
    places: &[Place],
    had: &AccountsHad,
    weights: &AccountWeights,
    now_ms: Millis,
) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..places.len()).collect();
    positions.sort_by(|left, right| places[*left].compare(&places[*right]));
    let mut reached: HashMap<Fingerprint, f64> = HashMap::new();
    let mut begins = vec![0.0; places.len()];
    for position in &positions {
        let place = &places[*position];
        let weight = weights.of(place.account);
        let reached = reached
            .entry(place.account)
            .or_insert_with(|| had.used(place.account, now_ms) / weight);
        begins[*position] = *reached;
        *reached += place.units / weight;
    }
    // The sort is stable: among accounts that have had the same the urgent and the early stay first.
    positions.sort_by(|left, right| begins[*left].total_cmp(&begins[*right]));
    positions
}
