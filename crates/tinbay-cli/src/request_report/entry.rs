//! One line of a box's log, as far as the report needs it.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::error::Category;
use tinbay_core::units::Millis;

/// Name of the event that ends a request's story.
const REQUEST_EVENT: &str = "request";

/// Why a line can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BadLine {
    /// It holds no JSON object.
    #[error("no JSON object")]
    Garbage,
    /// It ends within its JSON object.
    #[error("cut off")]
    Cut,
    /// It is longer than any line of a box.
    #[error("too long")]
    TooLong,
    /// A field is missing or holds what it can't.
    #[error("wrong field: {reason}")]
    WrongField {
        /// The parser's words.
        reason: String,
    },
}

impl From<serde_json::Error> for BadLine {
    fn from(error: serde_json::Error) -> Self {
        match error.classify() {
            Category::Eof => BadLine::Cut,
            Category::Syntax | Category::Io => BadLine::Garbage,
            Category::Data => BadLine::WrongField {
                reason: error.to_string(),
            },
        }
    }
}

/// What a line of a log holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry<'a> {
    /// Name of the box, where one stands before the line.
    pub box_name: Option<Cow<'a, str>>,
    /// Lines that the box dropped before this one.
    pub dropped_lines: u64,
    /// The end of a request; none where the line is of something else.
    pub request: Option<RequestEntry<'a>>,
}

/// What every line has.
#[derive(Debug, Deserialize)]
struct Envelope<'a> {
    #[serde(borrow, default)]
    event: Option<Cow<'a, str>>,
    #[serde(default)]
    dropped_lines: u64,
}

/// The end of one request, as its line tells it. Times count from its arrival at the box.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
pub struct RequestEntry<'a> {
    /// When it ended, by the box's clock.
    #[serde(borrow, default)]
    pub time: Option<Cow<'a, str>>,
    /// Name of the route.
    #[serde(borrow)]
    pub route: Cow<'a, str>,
    /// Name of the service.
    #[serde(borrow)]
    pub service: Cow<'a, str>,
    /// Name of the client account.
    #[serde(borrow, default)]
    pub account: Option<Cow<'a, str>>,
    /// The server that answered.
    #[serde(borrow, default)]
    pub server: Option<Cow<'a, str>>,
    /// Status of the answer.
    pub status: u16,
    /// How it ended.
    #[serde(borrow)]
    pub outcome: Cow<'a, str>,
    /// Why it ended so, where it did not end well.
    #[serde(borrow, default)]
    pub cause: Option<Cow<'a, str>>,
    /// Whether the answer was late, and by which part.
    #[serde(borrow, default)]
    pub lateness: Option<Cow<'a, str>>,
    /// Time before the last send.
    #[serde(default)]
    sent_after_ms: Option<Millis>,
    /// Time from the last send to the first piece.
    #[serde(default)]
    at_server_ms: Option<Millis>,
    #[serde(default)]
    head_ms: Option<Millis>,
    /// Time to the first piece.
    #[serde(default)]
    pub first_piece_ms: Option<Millis>,
    /// Time from the first piece to the last one.
    #[serde(default)]
    pub pauses_ms: Option<Millis>,
    /// Longest pause between two pieces.
    #[serde(default)]
    pub longest_pause_ms: Option<Millis>,
    /// Part of that pause in which the caller's side asked for nothing.
    #[serde(default)]
    pub longest_pause_untaken_ms: Option<Millis>,
    /// Time in which the caller's side asked for nothing.
    #[serde(default)]
    pub untaken_ms: Option<Millis>,
    /// Time to the end.
    pub total_ms: Millis,
}

impl RequestEntry<'_> {
    /// Time before the last send; all of it where nothing was sent.
    pub fn before_send_ms(&self) -> Millis {
        self.sent_after_ms.unwrap_or(self.total_ms)
    }

    /// Time from the last send to the first piece, or to the end where none came; none where nothing
    /// was sent.
    pub fn at_server_ms(&self) -> Option<Millis> {
        let sent_after_ms = self.sent_after_ms?;
        let until_ms = self
            .first_piece_ms
            .or(self.head_ms)
            .unwrap_or(self.total_ms);
        let between_ms = until_ms.saturating_sub(sent_after_ms);
        Some(self.at_server_ms.unwrap_or(between_ms))
    }
}

/// Signs that programs which gather logs put around a name.
const SIGNS_AROUND_NAMES: [char; 4] = ['[', ']', ':', '|'];

/// The first word of what stands before a line.
fn box_name(prefix: &[u8]) -> Option<Cow<'_, str>> {
    let word = prefix
        .split(u8::is_ascii_whitespace)
        .find(|word| !word.is_empty())?;
    let word = String::from_utf8_lossy(word);
    let name = word.trim_matches(SIGNS_AROUND_NAMES);
    (!name.is_empty()).then(|| Cow::Owned(name.to_owned()))
}

/// Reads a line; the box's name may stand before its JSON object.
///
/// # Errors
/// What is wrong with it.
pub fn read_entry(line: &[u8]) -> Result<Entry<'_>, BadLine> {
    let begin = line
        .windows(2)
        .position(|pair| pair == br#"{""#)
        .ok_or(BadLine::Garbage)?;
    let object = &line[begin..];
    let envelope: Envelope<'_> = serde_json::from_slice(object)?;
    let is_request = envelope.event.as_deref() == Some(REQUEST_EVENT);
    let request = if is_request {
        Some(serde_json::from_slice(object)?)
    } else {
        None
    };
    Ok(Entry {
        box_name: box_name(&line[..begin]),
        dropped_lines: envelope.dropped_lines,
        request,
    })
}
