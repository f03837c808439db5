//! Reads response bodies whole, up to a limit.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;

use super::call::CallError;

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
