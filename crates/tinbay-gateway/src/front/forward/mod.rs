//! Forwards requests to another box while this box's links don't reach the servers of a service.
//!
//! The box that took the request from its caller has checked its key and limits; the other box
//! chooses a server and sends it there. A request is forwarded once at most.

mod accept;
mod exchange;
mod headers;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::Response;
use rand::RngExt;
use tinbay_core::links::targets::{Candidate, choose_targets};
use tinbay_core::units::Millis;

pub use accept::{decline, mark_result, read, reject_if_unable};
use exchange::{ForwardResult, forward_to};

use super::inbound::InboundRequest;
use super::refusal::{NotRunReason, Refusal};
use crate::clock::Clock;
use crate::http::body::{AnswerBody, RequestBody};
use crate::http::pool::Pool;
use crate::http::reuse::ReuseLedger;
use crate::node::Node;

/// Time for which a box that declined a request is offered no other.
const DECLINED_PAUSE_MS: Millis = 1_000;

/// Name of the boxes in the log of connections that can't be reused.
const BOXES: &str = "boxes";

/// `Retry-After` while neither this box nor another one reaches the servers of a service. Links are
/// checked again within this time.
const RETRY_AFTER_UNREACHED_MS: Millis = 500;

/// Connections to other boxes, and which of them take no requests.
#[derive(Debug)]
pub struct Forwarding {
    clock: Clock,
    ledger: Rc<ReuseLedger>,
    pools: RefCell<HashMap<SocketAddr, Rc<Pool>>>,
    /// Boxes that declined a request, with the time until which they are offered none.
    declined: RefCell<HashMap<String, Millis>>,
}

/// A box to which a request may be forwarded.
#[derive(Debug, Clone)]
struct Target {
    id: String,
    address: SocketAddr,
}

impl Forwarding {
    /// No connections yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            ledger: Rc::new(ReuseLedger::new(BOXES, clock, None)),
            pools: RefCell::default(),
            declined: RefCell::default(),
        }
    }

    fn pool(&self, address: SocketAddr) -> Rc<Pool> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(address).or_insert_with(|| {
            let ledger = Rc::clone(&self.ledger);
            Rc::new(Pool::new(pool_key(address), address, self.clock, ledger))
        });
        Rc::clone(pool)
    }

    fn record_declined(&self, box_id: &str) {
        let until_ms = self.clock.now_ms() + DECLINED_PAUSE_MS;
        let mut declined = self.declined.borrow_mut();
        declined.insert(box_id.to_string(), until_ms);
    }

    /// Drops expired connections, pools without any, and boxes that may be asked again.
    pub fn tidy(&self) {
        let now_ms = self.clock.now_ms();
        let mut pools = self.pools.borrow_mut();
        pools.retain(|_, pool| {
            pool.tidy();
            pool.has_open()
        });
        let mut declined = self.declined.borrow_mut();
        declined.retain(|_, until_ms| *until_ms > now_ms);
    }
}

fn pool_key(address: SocketAddr) -> u64 {
    xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes())
}

/// Forwards a request if this box's links don't reach its service and another box takes it. `None`
/// if this box has to send it itself; the body is then still there.
pub async fn try_forward(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    body: &mut Option<RequestBody>,
) -> Option<Result<Response<AnswerBody>, Refusal>> {
    if inbound.is_forwarded || node.links.reaches(&inbound.service) {
        return None;
    }
    for target in targets(node) {
        let sent = body.take()?;
        *body = sent.repeat();
        let result = forward_to(node, inbound, &target, sent).await;
        let counter = &node.metrics.forwarded;
        counter.with_label_values(&[result.name()]).inc();
        match result {
            ForwardResult::Answered(response) => return Some(Ok(response)),
            ForwardResult::Refused(refusal) => return Some(Err(refusal)),
            ForwardResult::NotSent { unsent } => {
                *body = Some(unsent);
                node.forwarding.record_declined(&target.id);
            }
            ForwardResult::Declined => node.forwarding.record_declined(&target.id),
        }
    }
    if body.is_none() || node.links.is_cut_off_from(&inbound.service) {
        return Some(Err(Refusal::NotRun {
            reason: NotRunReason::NotReached,
            retry_after_ms: RETRY_AFTER_UNREACHED_MS,
        }));
    }
    None
}

/// The boxes to which a request is offered, the first one first.
fn targets(node: &Node) -> Vec<Target> {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let declined = node.forwarding.declined.borrow();
    let has_declined = |id: &str| declined.get(id).is_some_and(|until_ms| now_ms < *until_ms);
    let candidates: Vec<Candidate<'_>> = members
        .others(&settings.box_id)
        .filter(|(_, member)| member.listed && member.is_up(now_ms))
        .map(|(id, member)| Candidate {
            id,
            is_same_zone: member.record.zone == settings.zone,
            capacity: member.record.capacity,
            has_declined: has_declined(id),
        })
        .collect();
    let mut rng = rand::rng();
    let chosen = choose_targets(&settings.box_id, &candidates, || rng.random_range(0.0..1.0));
    let target = |id: &str| {
        let member = members.get(id)?;
        Some(Target {
            id: id.to_string(),
            address: member.record.peer,
        })
    };
    chosen.into_iter().filter_map(target).collect()
}
