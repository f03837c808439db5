//! Reads the heads of responses, and writes those that are passed on.
//!
//! A head is read once, before anything acts on the response. The head that is passed on is written
//! from that reading, so that the next recipient can't read the body in another way than this box.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::http::response::Parts;

use super::framing::BodyFormat;
use super::hop_headers::{drop_hop_headers, keep_alive_timeout, keeps_connection};

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The headers that may be passed on, without the length of the body.
    pub headers: HeaderMap,
    /// Format of the body.
    pub format: BodyFormat,
    /// Length of the body in bytes, if it is stated. Of a response that has no body, such as to a
    /// HEAD request, it is the length that the body would have.
    length: Option<HeaderValue>,
    /// Whether the connection may carry another response after this one.
    pub may_reuse: bool,
    /// Idle time limit of the connection, if the server stated one.
    pub idle_limit: Option<Duration>,
}

impl ResponseHead {
    /// Reads a head. A response that can't have a body, by its status or its request's method,
    /// `is_empty` whatever the headers say.
    pub fn read(parts: Parts, is_empty: bool) -> Self {
        let mut headers = parts.headers;
        let format = BodyFormat::of(&headers, is_empty);
        let may_reuse = format.allows_reuse() && keeps_connection(&headers);
        let idle_limit = keep_alive_timeout(&headers);
        drop_hop_headers(&mut headers);
        let length = headers.remove(CONTENT_LENGTH);
        Self {
            status: parts.status,
            headers,
            format,
            length,
            may_reuse,
            idle_limit,
        }
    }

    /// The response with this head that is passed on. Its version is this box's own: the recipient
    /// derives from it how the body is framed.
    pub fn into_response<B>(self, body: B) -> Response<B> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        if let Some(length) = self.length {
            response.headers_mut().insert(CONTENT_LENGTH, length);
        }
        response
    }
}
