//! Refuses requests under which servers crash.

use std::rc::Rc;

use super::{Exchange, Filter, FilterFuture, Step};
use crate::crashes;
use crate::node::Node;

/// Refuses a request that has repeatedly crashed servers, or whose prompt has a part that does. No
/// server would survive to answer it, and each one that crashes loses some tens of other requests.
pub struct Quarantine;

impl Filter for Quarantine {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move {
            match crashes::refusal(node, &exchange.inbound) {
                Some(refusal) => Err(refusal),
                None => Ok(Step::Next),
            }
        })
    }
}
