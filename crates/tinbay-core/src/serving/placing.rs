//! On which of the servers that one box holds an adapter goes.
//!
//! Boxes send what they ask for to the holder of the adapter's first server, which all of them
//! work out alike; the holder alone chooses among its own, so that no two boxes bring an
//! adapter to two servers.

use std::collections::HashMap;

use super::contents::{AdapterKey, Holding};
use super::servers::ServerKey;

/// A server that may take an adapter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The server.
    pub server: ServerKey,
    /// How it holds the adapter.
    pub holding: Holding,
    /// Whether it had the adapter lately, so that it loads fast.
    pub had: bool,
    /// How full it is: requests and adapters against their places.
    pub load: f64,
}

/// What is placed: an adapter, or a copy of one.
pub type Placed = (AdapterKey, bool);

/// Where adapters were placed that are not there yet.
#[derive(Debug, Default)]
pub struct Placing {
    chosen: HashMap<Placed, ServerKey>,
}

impl Placing {
    /// Where an adapter was placed before.
    pub fn chosen(&self, placed: Placed) -> Option<ServerKey> {
        self.chosen.get(&placed).copied()
    }

    /// Places an adapter on one of `candidates`, and a copy only where it is not held.
    pub fn place(&mut self, placed: Placed, candidates: &[Candidate]) -> Option<ServerKey> {
        let (_, is_copy) = placed;
        let rank = |candidate: &&Candidate| {
            let holding = match candidate.holding {
                Holding::Current => 0,
                Holding::None => 1,
                // A busy old version can't be replaced; better beside it.
                Holding::Stale => 2,
            };
            (holding, u8::from(!candidate.had))
        };
        let best = candidates
            .iter()
            .filter(|candidate| !(is_copy && candidate.holding != Holding::None))
            .min_by(|left, right| {
                let by_rank = rank(left).cmp(&rank(right));
                by_rank.then(left.load.total_cmp(&right.load))
            })?;
        self.chosen.insert(placed, best.server);
        Some(best.server)
    }

    /// Forgets where an adapter was placed, as it is there now.
    pub fn forget(&mut self, placed: Placed) {
        self.chosen.remove(&placed);
    }

    /// Forgets what was placed on servers that take nothing any more, and what nobody asks for.
    pub fn keep(&mut self, is_kept: &dyn Fn(Placed, ServerKey) -> bool) {
        self.chosen
            .retain(|placed, server| is_kept(*placed, *server));
    }
}
