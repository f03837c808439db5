//! Judges response bodies with neither a length nor chunks, which end with their connection.
//!
//! A server that breaks such a body off closes the connection in the same way as one that has sent
//! all of it. What the body holds and the time of its end tell some of these apart.
//!
//! Source: RFC 9112, sections 6.3 and 8.

use crate::units::Millis;

/// A body whose connection was closed without an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClosedBody {
    /// Its events; `None` if it is not a stream of events.
    pub events: Option<ReceivedEvents>,
    /// Whether the server was asked to stop sending and may have done so.
    pub may_be_stopped: bool,
}

/// The events of a stream that were received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedEvents {
    /// Number of complete events.
    pub complete: u64,
    /// Bytes of an event that is not complete.
    pub partial_bytes: u64,
}

/// Why a body whose connection was closed is not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EarlyClose {
    /// An event is not complete.
    #[error("inside an event")]
    InsideEvent,
    /// A stream holds no event at all. One that continues another may have had none left, which looks
    /// the same.
    #[error("before the first event")]
    BeforeFirstEvent,
    /// The server was asked to stop sending, and how it did so is not known.
    #[error("after it may have been stopped")]
    MayBeStopped,
    /// The server stops working on the request by this time.
    #[error("at the deadline that it was given")]
    AtDeadline,
    /// The server no longer runs.
    #[error("as it stopped running")]
    ServerGone,
    /// It is not known whether the server still runs.
    #[error("and can't be reached since")]
    ServerUnreached,
    /// It comes from another box, and boxes mark the end of all responses.
    #[error("without marking the end")]
    NotMarked,
}

impl EarlyClose {
    /// Name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            EarlyClose::InsideEvent => "inside_event",
            EarlyClose::BeforeFirstEvent => "before_first_event",
            EarlyClose::MayBeStopped => "may_be_stopped",
            EarlyClose::AtDeadline => "at_deadline",
            EarlyClose::ServerGone => "server_gone",
            EarlyClose::ServerUnreached => "server_unreached",
            EarlyClose::NotMarked => "not_marked",
        }
    }
}

/// Returns why a closed body is not complete, as far as the body and the time tell; `deadline_ms` is
/// the time by which its server stops working on the request.
pub fn find_early_close(
    body: &ClosedBody,
    deadline_ms: Millis,
    now_ms: Millis,
) -> Option<EarlyClose> {
    if let Some(events) = body.events {
        if events.partial_bytes > 0 {
            return Some(EarlyClose::InsideEvent);
        }
        if events.complete == 0 {
            return Some(EarlyClose::BeforeFirstEvent);
        }
    }
    if body.may_be_stopped {
        return Some(EarlyClose::MayBeStopped);
    }
    (now_ms >= deadline_ms).then_some(EarlyClose::AtDeadline)
}
