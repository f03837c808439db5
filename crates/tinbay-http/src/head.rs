//! Checks the heads of responses.
//!
//! The library refuses heads with unknown transfer codings, with a length beside one, and with several
//! lengths.

use ntex::client::ClientResponse;
use ntex::http::header::{CONTENT_ENCODING, CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use ntex::http::{HeaderMap, StatusCode};

/// Why a response head is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The status is an interim one, such as of a switch of protocols, or has no meaning.
    #[error("the status of the response head is not a final one")]
    InvalidStatus,
    /// The status says that there is no body, and the headers say that there is one.
    #[error("the response head frames a body that its status rules out")]
    BodyRuledOut,
    /// The body is a coded form of the content, which no request asks for.
    #[error("the response head names a content coding")]
    ContentCoding,
    /// The response has neither a length nor chunks.
    #[error("the response head does not tell where the body ends")]
    EndNotMarked,
}

/// Checks the head of a response.
///
/// # Errors
/// Why it is refused.
pub fn check_head(response: &ClientResponse) -> Result<(), HeadError> {
    let headers = response.headers();
    if has_content_coding(headers) {
        return Err(HeadError::ContentCoding);
    }
    match response.status() {
        StatusCode::NO_CONTENT if has_body(headers) => Err(HeadError::BodyRuledOut),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED => Ok(()),
        status if !(200..600).contains(&status.as_u16()) => Err(HeadError::InvalidStatus),
        _ if !has_marked_end(headers) => Err(HeadError::EndNotMarked),
        _ => Ok(()),
    }
}

fn has_content_coding(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(CONTENT_ENCODING);
    let mut codings = codings.map(HeaderValue::as_bytes);
    codings.any(|coding| !coding.eq_ignore_ascii_case(b"identity"))
}

/// Whether the headers say that there is a body.
fn has_body(headers: &HeaderMap) -> bool {
    let length = headers.get(CONTENT_LENGTH);
    headers.contains_key(TRANSFER_ENCODING) || length.is_some_and(|length| length != "0")
}

/// Whether the end of the body is marked. The library reads other bodies as empty, or up to the close,
/// which may be that of a peer that crashed.
fn has_marked_end(headers: &HeaderMap) -> bool {
    let is_chunked = headers
        .get(TRANSFER_ENCODING)
        .is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    is_chunked || headers.contains_key(CONTENT_LENGTH)
}
