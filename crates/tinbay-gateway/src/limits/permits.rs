//! Permits for sending requests within the rate limits that backend servers announce, and within the
//! slots of brittle ones.

use std::rc::Rc;

use tinbay_core::limits::share::GRANT_LIFE_MS;
use tinbay_core::slots::home::LeaseEnd;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use super::limited::Limited;
use crate::node::Node;
use crate::servers::Server;
use crate::slots::asking::{self, SlotParams, SlotsFull};
use crate::slots::lease::SlotLease;

/// Longest retry delay given to callers while all servers of a service are at their limits. Callers
/// accept up to a third of their remaining time, which is some seconds.
const MAX_RETRY_AFTER_MS: Millis = 5_000;

/// Longest time for which a brittle server without a free slot is passed over while others may have
/// one.
const MAX_FULL_MS: Millis = 200;

/// Permission to send one request to a server.
#[derive(Debug, Clone)]
pub struct Permit {
    /// Expiry of the unit taken from a limit. A permit without a unit is valid while the server has
    /// no limit.
    unit_until_ms: Option<Millis>,
    /// Slot of a brittle server. A permit without one is valid while the server is not brittle.
    slot: Option<Rc<SlotLease>>,
}

/// Why a request may not be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoPermit {
    /// The server's rate limit has no capacity.
    AtLimit,
    /// The server is brittle, and none of its slots becomes free in time.
    SlotsFull(SlotsFull),
}

impl Permit {
    /// Whether the permit is still valid. The server may have announced a limit in the meantime, or
    /// that it is brittle, and a request sent on an expired unit or slot would come on top of those
    /// granted by now.
    pub fn is_valid(&self, server: &Server, now_ms: Millis) -> bool {
        let has_unit = match self.unit_until_ms {
            Some(until_ms) => now_ms < until_ms,
            None => server.limit_per_s().is_none(),
        };
        let has_slot = match &self.slot {
            Some(slot) => slot.may_send(now_ms),
            None => server.brittleness(now_ms).is_none(),
        };
        has_unit && has_slot
    }

    /// Slot of a brittle server that the request uses.
    pub fn slot(&self) -> Option<Rc<SlotLease>> {
        self.slot.clone()
    }

    /// Records how a brittle server treated the request.
    pub fn record_end(&self, end: LeaseEnd) {
        if let Some(slot) = &self.slot {
            slot.record_end(end);
        }
    }

    /// Returns the unit of a permit for which nothing was sent.
    pub fn give_back(&self, node: &Node, server: &Server) {
        let is_unit_valid = self
            .unit_until_ms
            .is_some_and(|until_ms| node.now_ms() < until_ms);
        if let Some(limited) = Limited::of_server(node, server).filter(|_| is_unit_valid) {
            super::give_back(node, &limited, 1.0);
        }
    }
}

/// Acquires a permit to send one request to a server.
///
/// # Errors
/// When its limit has no capacity now, or it is brittle and none of its slots becomes free in time;
/// the server is then skipped until it may have some.
///
/// The load on an overloaded server is the sum over all boxes, which no single box can see. If each
/// box sent requests until the server announced its limit to that box, all boxes together would
/// exceed the limit several times over.
pub async fn acquire(
    node: &Node,
    server: &Rc<Server>,
    slot_params: SlotParams,
) -> Result<Permit, NoPermit> {
    let slot = acquire_slot(node, server, slot_params).await?;
    let unit_until_ms = acquire_unit(node, server).await?;
    Ok(Permit {
        unit_until_ms,
        slot,
    })
}

/// Leases a slot of a server; `None` if it is not brittle.
async fn acquire_slot(
    node: &Node,
    server: &Rc<Server>,
    params: SlotParams,
) -> Result<Option<Rc<SlotLease>>, NoPermit> {
    let leased = asking::lease(node, server, params).await;
    let outcome = match &leased {
        Ok(None) => return Ok(None),
        Ok(Some(_)) => "leased",
        Err(_) => "full",
    };
    let sends = &node.metrics.brittle_sends;
    sends.with_label_values(&[outcome]).inc();
    let slot = leased.map_err(|full| {
        server.mark_full(node.now_ms() + full.retry_after_ms.min(MAX_FULL_MS));
        NoPermit::SlotsFull(full)
    })?;
    Ok(slot.map(Rc::new))
}

/// Takes a unit of a server's rate limit and returns its expiry; `None` if it has no limit.
async fn acquire_unit(node: &Node, server: &Rc<Server>) -> Result<Option<Millis>, NoPermit> {
    let Some(limited) = Limited::of_server(node, server) else {
        return Ok(None);
    };
    let admitted = super::admit(node, &limited, 1.0, None).await;
    let has_limit_ended = server.limit_per_s().is_none();
    let outcome = admitted.map_or("refused", |by| by.name());
    node.metrics.count_server_limit(outcome);
    let now_ms = node.now_ms();
    match admitted {
        Ok(_) => Ok(Some(now_ms + GRANT_LIFE_MS)),
        Err(_) if has_limit_ended => Ok(None),
        Err(retry_after_ms) => {
            let retry_after_ms = retry_after_ms.min(limited.terms.longest_away_ms);
            server.skip_until(now_ms + retry_after_ms);
            Err(NoPermit::AtLimit)
        }
    }
}

/// Returns the retry delay for a caller while all servers of a service are at their limits; `None`
/// if a server has capacity. Successive callers rejected by this box get increasing delays, spaced
/// by this box's share of the rate that all boxes may send.
pub fn caller_retry_after_ms(node: &Node, service: &str) -> Option<Millis> {
    let retry_after_ms = node.available_in_ms(service)?;
    let limits_per_s = node.servers.borrow().limits_per_s(service);
    if limits_per_s <= 0.0 {
        return Some(retry_after_ms);
    }
    let boxes = node.box_count.get().unwrap_or(1);
    let gap_ms = boxes as f64 * MS_PER_SECOND as f64 / limits_per_s;
    let now_ms = node.now_ms();
    let mut retry_times = node.limits.retry_times.borrow_mut();
    let retry_times = retry_times.entry(service.to_string()).or_default();
    let first_ms = now_ms + retry_after_ms;
    Some(retry_times.next_ms(first_ms, gap_ms as Millis, MAX_RETRY_AFTER_MS, now_ms))
}
