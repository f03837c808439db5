//! Refuses requests before their bodies are read when memory is short.

use std::rc::Rc;

use hyper::body::{Body, Incoming};

use super::body::MAX_BUFFERED_BYTES;
use super::{Exchange, Filter, FilterFuture, Step};
use crate::front::inbound::InboundRequest;
use crate::front::refusal::Refusal;
use crate::memory::Reservation;
use crate::node::Node;

/// Presumed size of a body without a content length.
const PRESUMED_BODY_BYTES: u64 = 16_384;

/// Admits a request if there is memory for its body. It runs once the client account is known, so
/// that one account's bodies and unread answers leave memory for the others.
pub struct Memory;

impl Filter for Memory {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move { admit(node, exchange) })
    }
}

fn admit(node: &Node, exchange: &mut Exchange) -> Result<Step, Refusal> {
    let bytes = exchange.incoming.as_ref().map_or(0, buffered_bytes);
    exchange.held = Some(reserve(node, &exchange.inbound, bytes)?);
    Ok(Step::Next)
}

/// Reserves memory for a request's body.
///
/// # Errors
/// When there is not enough.
pub fn reserve(node: &Node, inbound: &InboundRequest, bytes: u64) -> Result<Reservation, Refusal> {
    node.memory.admit(inbound.holder(), bytes).map_err(|short| {
        let refusals = &node.metrics.memory_refusals;
        refusals.with_label_values(&[short.name()]).inc();
        Refusal::MemoryShort { short }
    })
}

/// Bytes of a body that will be buffered, by its content length if there is one.
fn buffered_bytes(incoming: &Incoming) -> u64 {
    let declared_bytes = incoming.size_hint().upper();
    let bytes = declared_bytes.unwrap_or(PRESUMED_BODY_BYTES);
    bytes.min(MAX_BUFFERED_BYTES as u64)
}
