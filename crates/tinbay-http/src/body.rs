//! Reads request bodies up to a limit.

use ntex::http::Payload;
use ntex::util::BytesMut;
use serde::de::DeserializeOwned;

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("body is over {limit_bytes} bytes")]
    TooLarge {
        /// What is allowed.
        limit_bytes: usize,
    },
    /// The connection broke.
    #[error("body could not be read")]
    Broken,
    /// It is not the JSON expected.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Reads a whole body.
///
/// # Errors
/// [`BodyError::TooLarge`] or [`BodyError::Broken`].
pub async fn read_body(mut payload: Payload, limit_bytes: usize) -> Result<BytesMut, BodyError> {
    let mut body = BytesMut::new();
    while let Some(piece) = payload.recv().await {
        let piece = piece.map_err(|_| BodyError::Broken)?;
        if body.len() + piece.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit_bytes });
        }
        body.extend_from_slice(&piece);
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
