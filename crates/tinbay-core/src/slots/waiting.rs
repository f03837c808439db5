//! Requests that wait for a slot of one server.

use super::home::{LeaseId, SlotRequest};
use crate::units::Millis;

/// Time after which a waiting request is dropped if its box has not repeated it: the caller or the
/// box is gone.
const ABANDONED_AFTER_MS: Millis = 450;

/// Upper bound of the requests waiting for one server, which has some tens of slots at most.
const MAX_WAITING: usize = 128;

#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: LeaseId,
    rank: u8,
    asked_ms: Millis,
    until_ms: Millis,
    last_asked_ms: Millis,
}

/// The requests that wait, most urgent first and then by arrival.
#[derive(Debug, Clone, Default)]
pub struct WaitingRequests {
    by_order: Vec<Waiting>,
}

impl WaitingRequests {
    /// Adds a request or notes that its box repeated it; returns false if too many wait.
    pub fn add(&mut self, request: &SlotRequest, now_ms: Millis) -> bool {
        let known = self
            .by_order
            .iter_mut()
            .find(|known| known.id == request.id);
        if let Some(known) = known {
            known.last_asked_ms = now_ms;
            return true;
        }
        if self.by_order.len() >= MAX_WAITING {
            return false;
        }
        let position = self
            .by_order
            .partition_point(|waiting| waiting.rank <= request.rank);
        let waiting = Waiting {
            id: request.id,
            rank: request.rank,
            asked_ms: now_ms,
            until_ms: now_ms.saturating_add(request.max_wait_ms),
            last_asked_ms: now_ms,
        };
        self.by_order.insert(position, waiting);
        true
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.by_order.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.by_order.is_empty()
    }

    /// Whether a request waits.
    pub fn contains(&self, id: LeaseId) -> bool {
        self.by_order.iter().any(|waiting| waiting.id == id)
    }

    /// Removes a request whose caller has left.
    pub fn remove(&mut self, id: LeaseId) {
        self.by_order.retain(|waiting| waiting.id != id);
    }

    /// Takes the request that goes next.
    pub fn take_first(&mut self) -> Option<LeaseId> {
        (!self.by_order.is_empty()).then(|| self.by_order.remove(0).id)
    }

    /// Drops requests that were abandoned, and takes those that don't get a slot in time if one
    /// becomes free each `interval_ms`. Returns them with whether they could have waited at all.
    pub fn take_late(&mut self, interval_ms: f64, now_ms: Millis) -> Vec<(LeaseId, bool)> {
        self.by_order
            .retain(|waiting| now_ms < waiting.last_asked_ms + ABANDONED_AFTER_MS);
        let mut late = Vec::new();
        let mut kept = Vec::with_capacity(self.by_order.len());
        for waiting in self.by_order.drain(..) {
            let starts_in_ms = (kept.len() + 1) as f64 * interval_ms;
            if now_ms + starts_in_ms as Millis > waiting.until_ms {
                late.push((waiting.id, waiting.until_ms > waiting.asked_ms));
            } else {
                kept.push(waiting);
            }
        }
        self.by_order = kept;
        late
    }
}
