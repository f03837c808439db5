//! Reads the heads of responses, and writes those that are passed on.
//!
//! A head is read once, before anything acts on the response. The head that is passed on is written
//! from that reading, so that the next recipient can't read the body in another way than this box.

use std::time::Duration;

use hyper::header::{
    CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, Version};

use super::framing::{BodyFormat, BodyFraming};
use super::hop_headers::{drop_hop_headers, keep_alive_timeout, keeps_connection};

/// Media type of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The only transfer coding that is read.
const CHUNKED: &[u8] = b"chunked";

/// The content coding of a body that is not coded.
const IDENTITY: &[u8] = b"identity";

/// Why a response head is refused. The bytes after it are then not taken for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HeadError {
    /// The status is an interim one, such as of a switch of protocols, or has no meaning.
    #[error("the status of the response head is not a final one")]
    InvalidStatus,
    /// The transfer coding is not `chunked`, or not that alone.
    #[error("the response head names a transfer coding other than chunked")]
    UnknownTransferCoding,
    /// The length is not a number, or stated more than once with different values.
    #[error("the response head states no usable length")]
    InvalidLength,
    /// The end of the body is marked in two ways.
    #[error("the response head states both a length and a transfer coding")]
    LengthAndTransferCoding,
    /// The response has neither a length nor chunks, and does not say that its connection ends with it.
    #[error("the response head does not tell where the body ends")]
    EndNotMarked,
    /// The body is a coded form of the content, which no request asks for.
    #[error("the response head names a content coding")]
    ContentCoding,
    /// A successful response does not carry the signature of its server.
    #[error("the response head of a success carries no signature of the server")]
    SignatureMissing,
    /// The status says that there is no body, and the headers say that there is one.
    #[error("the response head frames a body that its status rules out")]
    BodyRuledOut,
}

impl HeadError {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            HeadError::InvalidStatus => "invalid_status",
            HeadError::UnknownTransferCoding => "unknown_transfer_coding",
            HeadError::InvalidLength => "invalid_length",
            HeadError::LengthAndTransferCoding => "length_and_transfer_coding",
            HeadError::EndNotMarked => "end_not_marked",
            HeadError::ContentCoding => "content_coding",
            HeadError::SignatureMissing => "signature_missing",
            HeadError::BodyRuledOut => "body_ruled_out",
        }
    }
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers that may be passed on, without the length of the body.
    pub headers: HeaderMap,
    /// Format of the body.
    pub format: BodyFormat,
    /// Length of the body, if it is stated. Of a response that has no body, such as to a
    /// HEAD request, it is the length that the body would have.
    length_bytes: Option<u64>,
    /// Whether the connection may carry another response after this one.
    pub may_reuse: bool,
    /// Idle time limit of the connection, if the server stated one.
    pub idle_limit: Option<Duration>,
}

impl ResponseHead {
    /// Reads a head. A response that can't have a body, by its status or its request's method,
    /// `is_empty` whatever the headers say.
    ///
    /// A body without framing ends with its connection. The head has to say that the connection is
    /// closed, as a field whose name is corrupted leaves a body without framing, too (RFC 9112,
    /// section 9.6).
    ///
    /// # Errors
    /// When the head is malformed, or contradicts itself.
    pub fn read(parts: Parts, is_empty: bool) -> Result<Self, HeadError> {
        if !is_final(parts.status) {
            return Err(HeadError::InvalidStatus);
        }
        let mut headers = parts.headers;
        if has_content_coding(&headers) {
            return Err(HeadError::ContentCoding);
        }
        let length_bytes = read_length(&headers)?;
        let stated = read_framing(parts.status, &headers, length_bytes)?;
        let keeps_connection = keeps_connection(&headers);
        let is_last = parts.version == Version::HTTP_10 || !keeps_connection;
        let framing = match stated {
            _ if is_empty => BodyFraming::Length,
            Some(framing) => framing,
            None if is_last => BodyFraming::UntilClose,
            None => return Err(HeadError::EndNotMarked),
        };
        let format = BodyFormat {
            framing,
            is_event_stream: is_event_stream(&headers),
        };
        let may_reuse = format.allows_reuse() && keeps_connection;
        let idle_limit = keep_alive_timeout(&headers);
        drop_hop_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        Ok(Self {
            status: parts.status,
            headers,
            format,
            length_bytes,
            may_reuse,
            idle_limit,
        })
    }

    /// Whether a header has a value.
    pub fn has_value(&self, name: &HeaderName) -> bool {
        let value = self.headers.get(name);
        value.is_some_and(|value| !value.is_empty())
    }

    /// The response with this head that is passed on. Its version is this box's own: the recipient
    /// derives from it how the body is framed.
    pub fn into_response<B>(self, body: B) -> Response<B> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        if let Some(length_bytes) = self.length_bytes {
            let length = HeaderValue::from(length_bytes);
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        response
    }
}

/// Whether a status ends a request. Interim responses come before the final one, and no request asks
/// for a switch of protocols.
///
/// Source: RFC 9110, section 15.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads how the end of the body is marked, if it is. The HTTP library takes any head that states it
/// twice, and any transfer coding, for one of these.
///
/// Source: RFC 9112, section 6.3.
fn read_framing(
    status: StatusCode,
    headers: &HeaderMap,
    length_bytes: Option<u64>,
) -> Result<Option<BodyFraming>, HeadError> {
    let is_chunked = has_transfer_coding(headers)?;
    let is_framed_body = is_chunked || length_bytes.is_some_and(|bytes| bytes > 0);
    if is_framed_body && status == StatusCode::NO_CONTENT {
        return Err(HeadError::BodyRuledOut);
    }
    match (is_chunked, length_bytes) {
        (true, Some(_)) => Err(HeadError::LengthAndTransferCoding),
        (true, None) => Ok(Some(BodyFraming::Chunks)),
        (false, Some(_)) => Ok(Some(BodyFraming::Length)),
        (false, None) => Ok(None),
    }
}

/// Reads the length of the body, which may be stated several times.
///
/// Source: RFC 9110, section 8.6.
fn read_length(headers: &HeaderMap) -> Result<Option<u64>, HeadError> {
    let mut length_bytes = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        for stated in value.as_bytes().split(|byte| *byte == b',') {
            let stated = parse_length(stated.trim_ascii()).ok_or(HeadError::InvalidLength)?;
            if *length_bytes.get_or_insert(stated) != stated {
                return Err(HeadError::InvalidLength);
            }
        }
    }
    Ok(length_bytes)
}

fn parse_length(digits: &[u8]) -> Option<u64> {
    let is_number = digits.iter().all(u8::is_ascii_digit);
    let digits = std::str::from_utf8(digits).ok()?;
    digits.parse().ok().filter(|_| is_number)
}

/// Whether the body has the transfer coding `chunked`.
fn has_transfer_coding(headers: &HeaderMap) -> Result<bool, HeadError> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = values.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(CHUNKED);
    if !is_chunked || values.next().is_some() {
        return Err(HeadError::UnknownTransferCoding);
    }
    Ok(true)
}

/// Whether the body is a coded form of the content.
fn has_content_coding(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONTENT_ENCODING).iter();
    let mut codings = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    codings.any(|coding| !coding.trim_ascii().eq_ignore_ascii_case(IDENTITY))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    let start = content_type.and_then(|value| value.get(..EVENT_STREAM.len()));
    start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM))
}
