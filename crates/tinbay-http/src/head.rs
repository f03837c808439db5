//! Checks the heads of responses.
//!
//! The library refuses heads with unknown transfer codings, with a length beside one, and with several
//! lengths.

use ntex::client::ClientResponse;
use ntex::http::StatusCode;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// Why a head is not that of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The response has neither a length nor chunks.
    #[error("the response head does not tell where the body ends")]
    EndNotMarked,
}

/// Checks the head of a response.
///
/// # Errors
/// When it is not that of a response whose end can be told from that of its connection.
pub fn check_head(response: &ClientResponse) -> Result<(), HeadError> {
    if may_have_body(response.status()) && !has_marked_end(response) {
        return Err(HeadError::EndNotMarked);
    }
    Ok(())
}

fn may_have_body(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED
}

/// Whether the end of the body is marked. The library reads other bodies as empty, or up to the close,
/// which may be that of a peer that crashed.
fn has_marked_end(response: &ClientResponse) -> bool {
    let headers = response.headers();
    let is_chunked = headers
        .get(TRANSFER_ENCODING)
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    is_chunked || headers.contains_key(CONTENT_LENGTH)
}
