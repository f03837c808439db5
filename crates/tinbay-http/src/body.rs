//! Reads request bodies up to a limit.

use ntex::http::Payload;
use ntex::util::BytesMut;
use serde::de::DeserializeOwned;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("body is over {limit_bytes} bytes")]
    TooLarge {
        /// The longest allowed body.
        limit_bytes: usize,
    },
    /// The connection failed before the end of the body.
    #[error("body could not be read")]
    Broken,
    /// The body is not the expected JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a whole body.
///
/// # Errors
/// [`BodyError::TooLarge`] or [`BodyError::Broken`].
pub async fn read_body(mut payload: Payload, limit_bytes: usize) -> Result<BytesMut, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// Reads a whole body as JSON.
///
/// # Errors
/// Any [`BodyError`].
pub async fn read_json<T: DeserializeOwned>(
    payload: Payload,
    limit_bytes: usize,
) -> Result<T, BodyError> {
    let body = read_body(payload, limit_bytes).await?;
    Ok(serde_json::from_slice(&body)?)
}
