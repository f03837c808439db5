//! What a request's headers tell about the start of its stream.

use hyper::header::HeaderMap;
use tinbay_core::resumption::{AttemptDigest, attempt_digest, draw};
use tinbay_core::serving::configuration::{Route, RouteKind};

use crate::front::inbound::text;
use crate::port::dialect::HeaderNames;

/// Whether a request begins a stream that may be resumed, or resumes one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamStart {
    /// Its answer can't be resumed.
    NotResumable,
    /// It begins a stream.
    New {
        /// The caller's attempt.
        attempt: AttemptDigest,
    },
    /// It resumes a stream.
    Resumed {
        /// The attempt that brought the first event; absent if the caller does not name it.
        attempt: Option<AttemptDigest>,
    },
}

impl StreamStart {
    /// Reads the headers of a request with the id `request_id`.
    pub fn read(route: &Route, headers: &HeaderMap, names: &HeaderNames, request_id: &str) -> Self {
        if route.kind != RouteKind::Streaming || !route.resumable {
            return StreamStart::NotResumable;
        }
        if headers.contains_key(&names.resumes) {
            let is_single = headers.get_all(&names.resumes).iter().count() == 1;
            let resumed = text(headers, &names.resumes).filter(|_| is_single);
            let attempt = resumed.map(|id| attempt_digest(id.trim()));
            return StreamStart::Resumed { attempt };
        }
        if headers.contains_key(&names.last_event_id) {
            return StreamStart::Resumed { attempt: None };
        }
        StreamStart::New {
            attempt: attempt_digest(request_id.trim()),
        }
    }

    /// The attempt that brings or brought the first event, if it is known.
    pub fn attempt(self) -> Option<AttemptDigest> {
        match self {
            StreamStart::NotResumable => None,
            StreamStart::New { attempt } => Some(attempt),
            StreamStart::Resumed { attempt } => attempt,
        }
    }

    /// Number from 0 to 1 that is the same for all attempts at a stream.
    pub fn draw(self) -> Option<f64> {
        self.attempt().map(draw)
    }
}
