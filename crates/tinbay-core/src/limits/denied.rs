//! Remembers requests that a limit rejected, so that their retries are recognised.
//!
//! When an account exceeds its limit many times over, its callers retry seconds later, when the
//! latency objective has passed already. Units granted to these retries are missing for new
//! requests, which could still be answered in time.

use std::collections::{HashMap, VecDeque};

use crate::units::Millis;

/// Upper bound of the requests remembered per limit: about 4 s of an account that exceeds its
/// limit by 1,000 requests per second.
const MAX_REMEMBERED: usize = 4_096;

/// How long a request is remembered; longer than callers wait before they retry.
const REMEMBERED_MS: Millis = 15_000;

/// One attempt of a caller at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTry {
    /// Digest of the request; the same for each attempt.
    pub digest: u64,
    /// Latency objective, counted from the first attempt; an answer after it is late.
    pub objective_ms: Millis,
}

/// Requests that a limit rejected, with the time of their first rejection.
#[derive(Debug, Clone, Default)]
pub struct RejectedRequests {
    first_rejected_ms: HashMap<u64, Millis>,
    by_age: VecDeque<(Millis, u64)>,
}

impl RejectedRequests {
    /// Records the rejection of an attempt. For one request the first rejection counts.
    pub fn record(&mut self, attempt: CallerTry, now_ms: Millis) {
        self.drop_expired(now_ms);
        if self.first_rejected_ms.contains_key(&attempt.digest) {
            return;
        }
        if self.by_age.len() >= MAX_REMEMBERED {
            self.drop_oldest();
        }
        self.first_rejected_ms.insert(attempt.digest, now_ms);
        self.by_age.push_back((now_ms, attempt.digest));
    }

    /// Whether an attempt belongs to a request that was first rejected so long ago that its answer
    /// would be late.
    pub fn is_late(&self, attempt: CallerTry, now_ms: Millis) -> bool {
        let first_rejected_ms = self.first_rejected_ms.get(&attempt.digest);
        first_rejected_ms.is_some_and(|first_rejected_ms| {
            let age_ms = now_ms.saturating_sub(*first_rejected_ms);
            (attempt.objective_ms..REMEMBERED_MS).contains(&age_ms)
        })
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.first_rejected_ms.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.first_rejected_ms.is_empty()
    }

    fn drop_expired(&mut self, now_ms: Millis) {
        let is_expired = |rejected_ms: Millis| now_ms >= rejected_ms + REMEMBERED_MS;
        while self
            .by_age
            .front()
            .is_some_and(|(rejected_ms, _)| is_expired(*rejected_ms))
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, digest)) = self.by_age.pop_front() {
            self.first_rejected_ms.remove(&digest);
        }
    }
}
