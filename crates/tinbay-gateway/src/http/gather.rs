//! Reads responses and bodies whole, up to a limit.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::{Body, Incoming};

use super::call::{CallError, Reply};
use super::head::ResponseHead;

/// Reads a response whole.
///
/// # Errors
/// When its head is refused, or its body is longer than `max_bytes` or ends early.
pub async fn gather_reply(
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<Reply, CallError> {
    let (parts, incoming) = response.into_parts();
    let head = ResponseHead::read(parts, incoming.is_end_stream())?;
    Ok(Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body: gather(incoming, max_bytes).await?,
    })
}

/// Reads a body whole.
///
/// # Errors
/// When it is longer than `max_bytes`, or ends early.
pub async fn gather(body: Incoming, max_bytes: usize) -> Result<Bytes, CallError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(CallError::TooLong { max_bytes }),
        Err(_) => Err(CallError::NoAnswer),
    }
}
