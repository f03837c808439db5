//! Parts that are known not to crash servers.

use std::collections::{HashMap, VecDeque};

use crate::serving::prompt::PartId;
use crate::units::Millis;

/// How long after a proof crashes don't count against a part. While the servers of an account crash
/// one after the other, none of its requests may be answered for some seconds.
pub const PROOF_HOLD_MS: Millis = 60_000;

/// How long an answer must have been written for its parts to count as proven: a server that crashes
/// of a part does so as it begins to write.
pub const PROVING_WRITE_MS: Millis = 500;

/// Upper bound of the parts remembered; the oldest are dropped. A box with 55 requests per second of
/// two shared parts each covers more than [`PROOF_HOLD_MS`], in half a megabyte.
const MAX_PROVEN: usize = 8_192;

/// When a request with each part was last answered.
#[derive(Debug, Default)]
pub struct ProvenParts {
    proven_ms: HashMap<PartId, Millis>,
    /// Parts in the order of their proofs; those that were proven again since are listed again.
    by_age: VecDeque<(PartId, Millis)>,
}

impl ProvenParts {
    /// Records that a request with a part was answered at a time.
    pub fn record(&mut self, part: PartId, proven_ms: Millis) {
        let last_ms = self.proven_ms.entry(part).or_insert(proven_ms);
        *last_ms = proven_ms.max(*last_ms);
        self.by_age.push_back((part, *last_ms));
        if self.by_age.len() > 2 * MAX_PROVEN {
            self.compact();
        }
        while self.proven_ms.len() > MAX_PROVEN
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.remove_if_latest(oldest);
        }
    }

    /// When a request with a part was last answered.
    pub fn proven_ms(&self, part: PartId) -> Option<Millis> {
        self.proven_ms.get(&part).copied()
    }

    /// Drops what is listed again later.
    fn compact(&mut self) {
        let proven_ms = &self.proven_ms;
        let is_latest = |(part, at_ms): &(PartId, Millis)| {
            proven_ms.get(part).is_some_and(|last| last == at_ms)
        };
        self.by_age.retain(is_latest);
    }

    fn remove_if_latest(&mut self, (part, at_ms): (PartId, Millis)) {
        if self.proven_ms(part) == Some(at_ms) {
            self.proven_ms.remove(&part);
        }
    }
}
