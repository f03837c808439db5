//! Sends a request to a server and returns its answer.

use std::rc::Rc;

use super::{Exchange, Filter, FilterFuture, Step};
use crate::front::deliver;
use crate::front::refusal::Refusal;
use crate::node::Node;

/// Sends a request to a server and returns its answer; the last filter of the chain.
pub struct Delivery;

impl Filter for Delivery {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let body = exchange.body.take().ok_or(Refusal::CallerBrokeOff)?;
            let answer = deliver::deliver(node, &exchange.inbound, body).await?;
            Ok(Step::Answer(answer))
        })
    }
}
