//! Reads request bodies, buffering them for retries up to a size limit.

use std::rc::Rc;

use hyper::body::Body;

use super::{Exchange, Filter, FilterFuture, Step, memory};
use crate::crashes;
use crate::front::refusal::Refusal;
use crate::http::body::{BodyError, DigestObserver, RequestBody, read_request_body};
use crate::node::Node;

/// Longest body that is buffered whole, so that it can be sent again.
pub const MAX_BUFFERED_BYTES: usize = 131_072;

/// Reads a request's body up to `MAX_BUFFERED_BYTES`; a longer one is streamed on to the server,
/// unless servers have crashed under requests with the same start.
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
            let body = read.map_err(refusal)?;
            let body = if body.first().len() > MAX_BUFFERED_BYTES {
                identify_long(node, exchange, body, max_bytes).await?
            } else {
                exchange.inbound.set_digest(body.first());
                body
            };
            exchange.body = Some(body.held_by(exchange.held.take()));
            Ok(Step::Next)
        })
    }
}

/// Sets the digests of a request with a long body. If its start is quarantined, the whole body is
/// read first, as requests that share a start may differ later.
async fn identify_long(
    node: &Rc<Node>,
    exchange: &mut Exchange,
    body: RequestBody,
    max_bytes: usize,
) -> Result<RequestBody, Refusal> {
    let inbound = &exchange.inbound;
    // The start has a fixed length, however many bytes have arrived.
    let (start, further) = body.first().split_at(MAX_BUFFERED_BYTES);
    let mut hasher = inbound.set_start_digest(start);
    hasher.update(further);
    let hashed_bytes = body.first().len();
    if body.is_streamed() && !crashes::is_start_quarantined(node, inbound) {
        let digest = Rc::clone(&inbound.digest);
        return Ok(body.observed_by(DigestObserver { hasher, digest }));
    }
    // A reservation for the whole body replaces the one for its start.
    exchange.held = None;
    let bytes = body.size_hint().upper().unwrap_or(max_bytes as u64);
    exchange.held = Some(memory::reserve(node, inbound, bytes)?);
    let read = body.read_rest(max_bytes, exchange.held.as_mut()).await;
    let whole = read.map_err(refusal)?;
    hasher.update(&whole.first()[hashed_bytes..]);
    let _ = inbound.digest.set(hasher.digest_of_whole());
    Ok(whole)
}

fn refusal(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLong => Refusal::BodyTooLong,
        _ => Refusal::CallerBrokeOff,
    }
}
