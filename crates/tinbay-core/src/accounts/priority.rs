//! The rank of a request at its server: that of its account goes before that of its route.

use std::collections::BTreeSet;

/// Ranks that servers know, 0 first.
const RANKS: usize = 10;

/// Ranks of all pairs of an account's and a route's priority in one configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityRanks {
    accounts: Vec<u8>,
    routes: Vec<u8>,
}

impl PriorityRanks {
    /// Ranks of the priorities that occur.
    pub fn new(
        accounts: impl Iterator<Item = u8>,
        routes: impl Iterator<Item = u8>,
    ) -> PriorityRanks {
        let sorted = |priorities: BTreeSet<u8>| priorities.into_iter().collect();
        Self {
            accounts: sorted(accounts.collect()),
            routes: sorted(routes.collect()),
        }
    }

    /// The rank of a request. Without an account it is that of the route alone; pairs that are
    /// more than the ranks a server knows share them in order.
    pub fn rank(&self, account: Option<u8>, route: u8) -> u8 {
        let Some(account) = account else {
            return route.min(RANKS as u8 - 1);
        };
        let pairs = self.accounts.len() * self.routes.len();
        let above = position(&self.accounts, account) * self.routes.len();
        let pair = above + position(&self.routes, route);
        let rank = if pairs > RANKS {
            pair * RANKS / pairs
        } else {
            pair
        };
        rank.min(RANKS - 1) as u8
    }
}

fn position(sorted: &[u8], priority: u8) -> usize {
    sorted.partition_point(|other| *other < priority)
}
