//! The rank of a request at its server, by account priority first and route priority second.

use std::collections::BTreeSet;

/// Number of ranks that servers distinguish.
const RANKS: usize = 10;

/// Maps pairs of account and route priority of one configuration to ranks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityRanks {
    accounts: Vec<u8>,
    routes: Vec<u8>,
}

impl PriorityRanks {
    /// Builds the mapping for the priorities in use.
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

    /// The rank of a request. Without an account it is the priority of the route. If there are more
    /// pairs than ranks, neighbouring pairs share a rank.
    pub fn rank(&self, account: Option<u8>, route: u8) -> u8 {
        let Some(account) = account else {
            return route.min(RANKS as u8 - 1);
        };
        let pairs = self.accounts.len() * self.routes.len();
        let first_pair = index_of(&self.accounts, account) * self.routes.len();
        let pair = first_pair + index_of(&self.routes, route);
        let rank = if pairs > RANKS {
            pair * RANKS / pairs
        } else {
            pair
        };
        rank.min(RANKS - 1) as u8
    }
}

fn index_of(sorted: &[u8], priority: u8) -> usize {
    sorted.partition_point(|other| *other < priority)
}
