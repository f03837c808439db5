//! Turns away requests whose bodies there is no memory for, before they are read.

use std::rc::Rc;

use hyper::body::{Body, Incoming};

use super::body::MOST_KEPT_BYTES;
use super::{Exchange, Filter, Filtering, Step};
use crate::front::refusal::Refusal;
use crate::node::Node;

/// What a body in chunks is taken to hold until it is read.
const UNTOLD_BYTES: u64 = 16_384;

/// Takes a request for whose body there is memory. It runs after the client account is known, so that
/// one account's bodies and unread answers leave room for the others.
pub struct Memory;

impl Filter for Memory {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> Filtering<'a> {
        Box::pin(async move { admit(node, exchange) })
    }
}

fn admit(node: &Node, exchange: &mut Exchange) -> Result<Step, Refusal> {
    let bytes = exchange.incoming.as_ref().map_or(0, kept_bytes);
    match node.memory.admit(exchange.question.holder(), bytes) {
        Ok(held) => {
            exchange.held = Some(held);
            Ok(Step::Next)
        }
        Err(short) => {
            let refusals = &node.metrics.memory_refusals;
            refusals.with_label_values(&[short.name()]).inc();
            Err(Refusal::MemoryShort { short })
        }
    }
}

/// What will be kept of a body, as far as it tells its length.
fn kept_bytes(incoming: &Incoming) -> u64 {
    let told_bytes = incoming.size_hint().upper();
    let bytes = told_bytes.unwrap_or(UNTOLD_BYTES);
    bytes.min(MOST_KEPT_BYTES as u64)
}
