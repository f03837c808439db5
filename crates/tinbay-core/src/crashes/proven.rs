//! Requests that are known to have succeeded.

use std::collections::{HashSet, VecDeque};

use super::digest::RequestDigest;

/// Upper bound of the requests remembered; the oldest are dropped. A box of 2,200 that share
/// 120,000 requests per second covers more than two minutes, in a third of a megabyte.
const MAX_PROVEN: usize = 8_192;

/// Requests that succeeded recently. Such a request is not suspected, even if it was running in
/// several crashes: otherwise a caller that sends the same request every second would be refused
/// after three crashes with other causes.
#[derive(Debug, Default)]
pub struct ProvenRequests {
    known: HashSet<RequestDigest>,
    by_age: VecDeque<RequestDigest>,
}

impl ProvenRequests {
    /// Records the success of a request.
    pub fn note(&mut self, digest: RequestDigest) {
        if !self.known.insert(digest) {
            return;
        }
        self.by_age.push_back(digest);
        if self.by_age.len() > MAX_PROVEN
            && let Some(oldest) = self.by_age.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    /// Whether a request is known to have succeeded.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.known.contains(&digest)
    }
}
