//! Sends a request to a server and returns its answer.

use std::rc::Rc;

use super::{Exchange, Filter, FilterFuture, Step};
use crate::front::deliver;
use crate::front::inbound::InboundRequest;
use crate::front::refusal::Refusal;
use crate::node::Node;

/// Sends a request to a server and returns its answer; the last filter of the chain.
pub struct Delivery;

impl Filter for Delivery {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let body = exchange.body.take().ok_or(Refusal::CallerBrokeOff)?;
            record_first_send(node, &exchange.inbound);
            let answer = deliver::deliver(node, &exchange.inbound, body).await?;
            Ok(Step::Answer(answer))
        })
    }
}

/// Adds to the retry budget, which is proportional to the number of first sends.
fn record_first_send(node: &Node, inbound: &InboundRequest) {
    let now_ms = node.now_ms();
    let mut budgets = node.budgets.borrow_mut();
    let budget = budgets.entry(inbound.service.clone()).or_default();
    let terms = node.settings.borrow().bounds.second_sends;
    budget.record_first_attempt(&terms, now_ms);
}
