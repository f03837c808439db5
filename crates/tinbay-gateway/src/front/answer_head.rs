//! Reads the heads of answers to callers' requests.

use hyper::Response;
use hyper::body::{Body, Incoming};

use crate::http::head::{HeadError, ResponseHead};
use crate::node::Node;

/// Reads the head of an answer, of a server or of another box that passes one on. Nothing that a head
/// says is believed if it is refused, so that the request may have run.
///
/// # Errors
/// Why the head is refused.
pub fn read_answer_head(
    node: &Node,
    response: Response<Incoming>,
) -> Result<(ResponseHead, Incoming), HeadError> {
    let (parts, incoming) = response.into_parts();
    let head = ResponseHead::read(parts, incoming.is_end_stream());
    let checked = head.and_then(|head| check_signature(node, head));
    match checked {
        Ok(head) => Ok((head, incoming)),
        Err(error) => {
            node.metrics.count_invalid_head(error);
            Err(error)
        }
    }
}

/// Checks that a success carries the signature of its server, without which callers can't accept it.
fn check_signature(node: &Node, head: ResponseHead) -> Result<ResponseHead, HeadError> {
    let signature = &node.dialect.headers().signature;
    if head.status.is_success() && !head.has_value(signature) {
        return Err(HeadError::SignatureMissing);
    }
    Ok(head)
}
