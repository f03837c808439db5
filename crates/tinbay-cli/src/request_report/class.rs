//! Classifies requests by result and by cause.

use tinbay_core::serving::lateness::Lateness;

use super::entry::RequestEntry;

/// Logged outcome of requests that a server answered completely and successfully.
const ANSWERED_OUTCOME: &str = "answered";

/// Logged outcomes of answers that a server began and that did not succeed.
const FAILED_OUTCOMES: [&str; 2] = ["failed_by_server", "cut"];

/// Result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// Answered completely, on time or late.
    Answered(Lateness),
    /// Answered completely; the line does not tell whether it was late.
    Unjudged,
    /// Failed, or possibly run without a complete answer.
    Failed,
    /// Refused by the box.
    Refused,
}

impl RequestClass {
    /// Classifies a logged request. Outcomes that are not known here are classified by status: 500
    /// and above as failed, except 503, and all others as refused.
    pub fn of(request: &RequestEntry<'_>) -> Self {
        if request.outcome == ANSWERED_OUTCOME {
            let lateness = request.lateness.as_deref().and_then(Lateness::from_name);
            return lateness.map_or(Self::Unjudged, Self::Answered);
        }
        if FAILED_OUTCOMES.contains(&&*request.outcome) {
            return Self::Failed;
        }
        match request.status {
            503 => Self::Refused,
            500.. => Self::Failed,
            _ => Self::Refused,
        }
    }
}

/// Cause of a request's result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestCause {
    /// None: the request was answered on time.
    InTime,
    /// The first piece was late, and the time before the last send was longer than that at the
    /// server.
    BeforeSend,
    /// The first piece was late, and the time at the server was at least as long as that before the
    /// last send.
    AtServer,
    /// The longest pause was too long, and at least half of it was the server's.
    ServerPause,
    /// The longest pause was too long, and the caller's side was not reading for most of it.
    CallerPause,
    /// The answer began on time but ended late.
    LateEnd,
    /// The request was answered; the line does not tell whether on time.
    Unjudged,
    /// The outcome and cause as logged.
    Logged(String),
}

impl RequestCause {
    /// Determines the cause of the result `class` of a logged request.
    pub fn of(request: &RequestEntry<'_>, class: RequestClass) -> Self {
        match class {
            RequestClass::Answered(lateness) => Self::of_answered(request, lateness),
            RequestClass::Unjudged => Self::Unjudged,
            RequestClass::Failed | RequestClass::Refused => Self::Logged(logged_cause(request)),
        }
    }

    fn of_answered(request: &RequestEntry<'_>, lateness: Lateness) -> Self {
        match lateness {
            Lateness::InTime => Self::InTime,
            Lateness::FirstPiece | Lateness::FirstPieceAndPause => Self::of_first_piece(request),
            Lateness::Pause => Self::of_pause(request),
            Lateness::End => Self::LateEnd,
        }
    }

    fn of_first_piece(request: &RequestEntry<'_>) -> Self {
        let at_server_ms = request.at_server_ms().unwrap_or_default();
        if request.before_send_ms() > at_server_ms {
            return Self::BeforeSend;
        }
        Self::AtServer
    }

    fn of_pause(request: &RequestEntry<'_>) -> Self {
        let pause_ms = request.longest_pause_ms.unwrap_or_default();
        let untaken_ms = request.longest_pause_untaken_ms.unwrap_or_default();
        if untaken_ms > pause_ms.saturating_sub(untaken_ms) {
            return Self::CallerPause;
        }
        Self::ServerPause
    }

    /// Name in reports.
    pub fn name(&self) -> &str {
        match self {
            Self::InTime => "in time",
            Self::BeforeSend => "late: before the send",
            Self::AtServer => "late: at the server",
            Self::ServerPause => "late: pause of the server",
            Self::CallerPause => "late: pause of the caller's side",
            Self::LateEnd => "late: slow to its end",
            Self::Unjudged => "answered, not told whether late",
            Self::Logged(text) => text,
        }
    }
}

fn logged_cause(request: &RequestEntry<'_>) -> String {
    match &request.cause {
        Some(cause) => format!("{}: {cause}", request.outcome),
        None => request.outcome.to_string(),
    }
}
