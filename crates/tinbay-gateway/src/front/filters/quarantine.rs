//! Refuses a request under which servers crash.

use std::rc::Rc;

use super::{Exchange, Filter, Filtering, Step};
use crate::crashes;
use crate::front::refusal::Refusal;
use crate::node::Node;

/// Refuses a request under which servers crash, at once: no server would live to answer it, and each
/// one that tries takes some tens of other requests with it.
pub struct Quarantine;

impl Filter for Quarantine {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> Filtering<'a> {
        Box::pin(async move {
            match exchange.question.digest.get() {
                Some(digest) if crashes::is_refused(node, *digest) => Err(Refusal::CrashesServers),
                _ => Ok(Step::Next),
            }
        })
    }
}
