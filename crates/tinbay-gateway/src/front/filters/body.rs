//! Reads request bodies, buffering them for retries up to a size limit.

use std::rc::Rc;

use super::{Exchange, Filter, FilterFuture, Step};
use crate::front::refusal::Refusal;
use crate::http::body::{BodyError, read_request_body};
use crate::node::Node;

/// Longest body that is buffered whole, so that it can be sent again.
pub const MAX_BUFFERED_BYTES: usize = 131_072;

/// Reads a request's body up to `MAX_BUFFERED_BYTES`; a longer one is streamed on to the server.
pub struct ReadBody;

impl Filter for ReadBody {
    fn apply<'a>(&'a self, node: &'a Rc<Node>, exchange: &'a mut Exchange) -> FilterFuture<'a> {
        Box::pin(async move {
            let Some(incoming) = exchange.incoming.take() else {
                return Ok(Step::Next);
            };
            let max_bytes = node.limits().body_bytes;
            let held = exchange.held.as_mut();
            let read = read_request_body(incoming, MAX_BUFFERED_BYTES, max_bytes, held).await;
            let body = read.map_err(|error| match error {
                BodyError::TooLong => Refusal::BodyTooLong,
                _ => Refusal::CallerBrokeOff,
            })?;
            exchange.inbound.set_digest(body.first());
            exchange.body = Some(body.held_by(exchange.held.take()));
            Ok(Step::Next)
        })
    }
}
