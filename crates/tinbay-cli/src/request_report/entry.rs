//! Parses the parts of a box's log line that the report uses.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::error::Category;
use tinbay_core::units::Millis;

/// Event of the line that a box writes when a request ends.
const REQUEST_EVENT: &str = "request";

/// Reason why a log line cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadLine {
    /// The line contains no valid JSON object.
    #[error("no valid JSON object")]
    NotJson,
    /// The line ends before its JSON object does.
    #[error("truncated JSON object")]
    Truncated,
    /// The line is longer than [`MAX_LINE_BYTES`](super::lines::MAX_LINE_BYTES).
    #[error("line too long")]
    TooLong,
    /// A field is missing or has an invalid value.
    #[error("invalid field: {reason}")]
    InvalidField {
        /// The parser's message.
        reason: String,
    },
}

impl From<serde_json::Error> for BadLine {
    fn from(error: serde_json::Error) -> Self {
        match error.classify() {
            Category::Eof => BadLine::Truncated,
            Category::Syntax | Category::Io => BadLine::NotJson,
            Category::Data => BadLine::InvalidField {
                reason: error.to_string(),
            },
        }
    }
}

/// The contents of one log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogEntry<'a> {
    /// Name of the box, if a log collector put one in front of the line.
    pub box_name: Option<Cow<'a, str>>,
    /// Number of lines that the box dropped before this one.
    pub dropped_lines: u64,
    /// The finished request; `None` for lines of other events.
    pub request: Option<RequestEntry<'a>>,
}

/// Fields that any line may have.
#[derive(Debug, Deserialize)]
struct CommonFields<'a> {
    #[serde(borrow, default)]
    event: Option<Cow<'a, str>>,
    #[serde(default)]
    dropped_lines: u64,
}

/// A finished request as logged by its box. Times count from its arrival at the box.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct RequestEntry<'a> {
    /// Time of its end by the box's clock.
    #[serde(borrow, default)]
    pub time: Option<Cow<'a, str>>,
    /// Name of its route.
    #[serde(borrow)]
    pub route: Cow<'a, str>,
    /// Name of its service.
    #[serde(borrow)]
    pub service: Cow<'a, str>,
    /// Name of its client account.
    #[serde(borrow, default)]
    pub account: Option<Cow<'a, str>>,
    /// Backend server that answered.
    #[serde(borrow, default)]
    pub server: Option<Cow<'a, str>>,
    /// HTTP status of the answer.
    pub status: u16,
    /// Outcome of the request.
    #[serde(borrow)]
    pub outcome: Cow<'a, str>,
    /// Cause of the outcome, unless the request succeeded.
    #[serde(borrow, default)]
    pub cause: Option<Cow<'a, str>>,
    /// Whether the answer was late, and in which part.
    #[serde(borrow, default)]
    pub lateness: Option<Cow<'a, str>>,
    /// Time until it was last sent to a server.
    #[serde(default)]
    sent_after_ms: Option<Millis>,
    /// Time from the last send to the first piece of the answer.
    #[serde(default)]
    at_server_ms: Option<Millis>,
    #[serde(default)]
    head_ms: Option<Millis>,
    /// Time until the first piece.
    #[serde(default)]
    pub first_piece_ms: Option<Millis>,
    /// Time from the first piece to the last.
    #[serde(default)]
    pub pauses_ms: Option<Millis>,
    /// Longest pause between two pieces.
    #[serde(default)]
    pub longest_pause_ms: Option<Millis>,
    /// Part of the longest pause in which the caller's side was not reading.
    #[serde(default)]
    pub longest_pause_untaken_ms: Option<Millis>,
    /// Total time in which the caller's side was not reading.
    #[serde(default)]
    pub untaken_ms: Option<Millis>,
    /// Time until the end.
    pub total_ms: Millis,
}

impl RequestEntry<'_> {
    /// Time before the last send; the total time if the request was never sent.
    pub fn before_send_ms(&self) -> Millis {
        self.sent_after_ms.unwrap_or(self.total_ms)
    }

    /// Time from the last send to the first piece of the answer.
    ///
    /// If the line does not have it, it is computed up to the first piece, else the head of the
    /// answer, else the end. `None` if the request was never sent.
    pub fn at_server_ms(&self) -> Option<Millis> {
        let sent_after_ms = self.sent_after_ms?;
        let until_ms = self
            .first_piece_ms
            .or(self.head_ms)
            .unwrap_or(self.total_ms);
        let computed_ms = until_ms.saturating_sub(sent_after_ms);
        Some(self.at_server_ms.unwrap_or(computed_ms))
    }
}

/// Characters that log collectors put around the name of a log's source.
const NAME_DELIMITERS: [char; 4] = ['[', ']', ':', '|'];

/// Returns the first word of the text in front of the JSON object, without delimiters.
fn box_name(prefix: &[u8]) -> Option<Cow<'_, str>> {
    let word = prefix
        .split(u8::is_ascii_whitespace)
        .find(|word| !word.is_empty())?;
    let word = String::from_utf8_lossy(word);
    let name = word.trim_matches(NAME_DELIMITERS);
    (!name.is_empty()).then(|| Cow::Owned(name.to_owned()))
}

/// Parses a line, which may have the box's name in front of its JSON object.
///
/// # Errors
/// Returns a [`BadLine`] if the line contains no complete JSON object or a request has a missing or
/// invalid field.
pub fn parse_entry(line: &[u8]) -> Result<LogEntry<'_>, BadLine> {
    let start = line
        .windows(2)
        .position(|pair| pair == br#"{""#)
        .ok_or(BadLine::NotJson)?;
    let object = &line[start..];
    let common: CommonFields<'_> = serde_json::from_slice(object)?;
    let is_request = common.event.as_deref() == Some(REQUEST_EVENT);
    let request = if is_request {
        Some(serde_json::from_slice(object)?)
    } else {
        None
    };
    Ok(LogEntry {
        box_name: box_name(&line[..start]),
        dropped_lines: common.dropped_lines,
        request,
    })
}
