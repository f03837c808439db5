//! What became of a request, and by what.

use tinbay_core::serving::lateness::Lateness;

use super::entry::RequestEntry;

/// Outcome of requests that a server answered whole and well.
const ANSWERED: &str = "answered";

/// Outcomes of answers that a server began and that are no success.
const FAILED_ANSWERS: [&str; 2] = ["failed_by_server", "cut"];

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestClass {
    /// Answered whole; late or not.
    Answered(Lateness),
    /// Answered whole; its line does not tell whether late.
    Unjudged,
    /// It failed, or may have run without a whole answer.
    Failed,
    /// It was refused by the box.
    Refused,
}

impl RequestClass {
    /// What became of the request of a line.
    pub fn of(request: &RequestEntry<'_>) -> Self {
        if request.outcome == ANSWERED {
            let lateness = request.lateness.as_deref().and_then(Lateness::from_name);
            return lateness.map_or(Self::Unjudged, Self::Answered);
        }
        if FAILED_ANSWERS.contains(&&*request.outcome) {
            return Self::Failed;
        }
        match request.status {
            503 => Self::Refused,
            500.. => Self::Failed,
            _ => Self::Refused,
        }
    }
}

/// By what a request became what it did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestCause {
    /// Nothing went wrong.
    InTime,
    /// Most of the time to the first piece passed before the send.
    BeforeSend,
    /// Most of the time to the first piece passed after the send.
    AtServer,
    /// The server made most of the longest pause.
    ServerPause,
    /// The caller's side took nothing for most of the longest pause.
    UntakenPause,
    /// The answer began in time and took too long to its end.
    SlowEnd,
    /// Not told.
    Unjudged,
    /// As the line tells it.
    Told(String),
}

impl RequestCause {
    /// The cause for the request of a line that is of `class`.
    pub fn of(request: &RequestEntry<'_>, class: RequestClass) -> Self {
        match class {
            RequestClass::Answered(lateness) => Self::of_answer(request, lateness),
            RequestClass::Unjudged => Self::Unjudged,
            RequestClass::Failed | RequestClass::Refused => Self::Told(told(request)),
        }
    }

    fn of_answer(request: &RequestEntry<'_>, lateness: Lateness) -> Self {
        match lateness {
            Lateness::InTime => Self::InTime,
            Lateness::FirstPiece | Lateness::FirstPieceAndPause => Self::of_first_piece(request),
            Lateness::Pause => Self::of_pause(request),
            Lateness::End => Self::SlowEnd,
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
            return Self::UntakenPause;
        }
        Self::ServerPause
    }

    /// Name for reports.
    pub fn name(&self) -> &str {
        match self {
            Self::InTime => "in time",
            Self::BeforeSend => "late: before the send",
            Self::AtServer => "late: at the server",
            Self::ServerPause => "late: pause of the server",
            Self::UntakenPause => "late: pause of the caller's side",
            Self::SlowEnd => "late: slow to its end",
            Self::Unjudged => "answered, not told whether late",
            Self::Told(text) => text,
        }
    }
}

fn told(request: &RequestEntry<'_>) -> String {
    match &request.cause {
        Some(cause) => format!("{}: {cause}", request.outcome),
        None => request.outcome.to_string(),
    }
}
