//! Remembers requests that a limit rejected, so that their retries are recognised.
//!
//! When an account exceeds its limit many times over, its callers retry seconds later, when their
//! answers are late already. Units spent on these retries are missing for new requests, which could
//! still be answered in time.

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
    /// Time from the first attempt after which the answer is late.
    pub objective_ms: Millis,
}

/// Requests that a limit rejected, with the time of their first rejection.
#[derive(Debug, Clone, Default)]
pub struct DeniedRequests {
    first_ms: HashMap<u64, Millis>,
    in_order: VecDeque<(Millis, u64)>,
}

impl DeniedRequests {
    /// Records the rejection of an attempt. For one request the first rejection counts.
    pub fn note(&mut self, of: CallerTry, now_ms: Millis) {
        self.forget(now_ms);
        if self.first_ms.contains_key(&of.digest) {
            return;
        }
        if self.in_order.len() >= MAX_REMEMBERED {
            self.drop_oldest();
        }
        self.first_ms.insert(of.digest, now_ms);
        self.in_order.push_back((now_ms, of.digest));
    }

    /// Whether an attempt belongs to a request that was first rejected so long ago that its answer
    /// would be late.
    pub fn is_late(&self, of: CallerTry, now_ms: Millis) -> bool {
        let first_ms = self.first_ms.get(&of.digest);
        first_ms.is_some_and(|first_ms| {
            let age_ms = now_ms.saturating_sub(*first_ms);
            (of.objective_ms..REMEMBERED_MS).contains(&age_ms)
        })
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.first_ms.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.first_ms.is_empty()
    }

    fn forget(&mut self, now_ms: Millis) {
        let is_over = |noted_ms: Millis| now_ms >= noted_ms + REMEMBERED_MS;
        while self
            .in_order
            .front()
            .is_some_and(|(noted_ms, _)| is_over(*noted_ms))
        {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, digest)) = self.in_order.pop_front() {
            self.first_ms.remove(&digest);
        }
    }
}
