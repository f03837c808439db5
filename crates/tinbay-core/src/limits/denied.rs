//! Requests that a limit turned away, so that they are known when they come back.
//!
//! Load it answers: an account that asks for many times its limit, whose callers come back each some
//! seconds later, late by then. Units that go to these are missing for new requests, which could still
//! be in time.

use std::collections::{HashMap, VecDeque};

use crate::units::Millis;

/// Most that are remembered of one limit: some seconds of an account that asks for a thousand requests
/// a second beyond it.
const MOST_REMEMBERED: usize = 4_096;

/// How long they are remembered: longer than callers wait before they come back.
const REMEMBERED_MS: Millis = 15_000;

/// One try of a caller, as far as it matters for the order in which they get units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerTry {
    /// Tells one request from another; the same one has the same digest each time it comes.
    pub digest: u64,
    /// Time after its first try by which its answer is late.
    pub objective_ms: Millis,
}

/// Requests that a limit turned away.
#[derive(Debug, Clone, Default)]
pub struct DeniedTries {
    first_ms: HashMap<u64, Millis>,
    in_order: VecDeque<(Millis, u64)>,
}

impl DeniedTries {
    /// Notes a try that is turned away; the first time counts.
    pub fn note(&mut self, of: CallerTry, now_ms: Millis) {
        self.forget(now_ms);
        if self.first_ms.contains_key(&of.digest) {
            return;
        }
        if self.in_order.len() >= MOST_REMEMBERED {
            self.drop_oldest();
        }
        self.first_ms.insert(of.digest, now_ms);
        self.in_order.push_back((now_ms, of.digest));
    }

    /// Whether a try is one of a request that was turned away so long ago that it is late by now.
    pub fn is_late(&self, of: CallerTry, now_ms: Millis) -> bool {
        let first_ms = self.first_ms.get(&of.digest);
        first_ms.is_some_and(|first_ms| {
            let age_ms = now_ms.saturating_sub(*first_ms);
            (of.objective_ms..REMEMBERED_MS).contains(&age_ms)
        })
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.first_ms.len()
    }

    /// Whether none is.
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
