//! How long each part of requests took.

use hdrhistogram::Histogram;
use serde::Serialize;
use tinbay_core::units::Millis;

use super::entry::RequestEntry;

/// Longest time that is told apart.
const LONGEST_MS: Millis = 3_600_000;

/// Digits that times are kept to.
const DIGITS: u8 = 3;

/// A part of a request's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TimePart {
    /// Before the last send.
    BeforeSend,
    /// From the last send to the first piece.
    AtServer,
    /// To the first piece.
    FirstPiece,
    /// From the first piece to the last one.
    Pauses,
    /// The longest pause between two pieces.
    LongestPause,
    /// In which the caller's side asked for nothing.
    Untaken,
    /// To the end.
    Total,
}

impl TimePart {
    /// All of them, in the order of reports.
    pub const ALL: [Self; 7] = [
        Self::BeforeSend,
        Self::AtServer,
        Self::FirstPiece,
        Self::Pauses,
        Self::LongestPause,
        Self::Untaken,
        Self::Total,
    ];

    /// Name for reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::BeforeSend => "before_send",
            Self::AtServer => "at_server",
            Self::FirstPiece => "first_piece",
            Self::Pauses => "pauses",
            Self::LongestPause => "longest_pause",
            Self::Untaken => "untaken",
            Self::Total => "total",
        }
    }

    fn of(self, request: &RequestEntry<'_>) -> Option<Millis> {
        match self {
            Self::BeforeSend => Some(request.before_send_ms()),
            Self::AtServer => request.at_server_ms(),
            Self::FirstPiece => request.first_piece_ms,
            Self::Pauses => request.pauses_ms,
            Self::LongestPause => request.longest_pause_ms,
            Self::Untaken => request.untaken_ms,
            Self::Total => Some(request.total_ms),
        }
    }
}

/// Times of all requests by part.
#[derive(Debug, Clone)]
pub struct TimeTally {
    parts: Vec<(TimePart, Histogram<u64>)>,
}

impl TimeTally {
    /// An empty tally.
    ///
    /// # Errors
    /// When the bounds of times don't fit each other; a mistake in this file.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        let parts = TimePart::ALL.into_iter().map(|part| {
            let times = Histogram::new_with_bounds(1, LONGEST_MS, DIGITS)?;
            Ok((part, times))
        });
        Ok(Self {
            parts: parts.collect::<Result<_, _>>()?,
        })
    }

    /// Counts the times of a request.
    pub fn add(&mut self, request: &RequestEntry<'_>) {
        for (part, times) in &mut self.parts {
            if let Some(time_ms) = part.of(request) {
                times.saturating_record(time_ms);
            }
        }
    }

    /// The times of each part that any request has.
    pub fn rows(&self) -> Vec<TimeRow> {
        let present = self.parts.iter().filter(|(_, times)| !times.is_empty());
        let rows = present.map(|(part, times)| TimeRow {
            part: *part,
            requests: times.len(),
            p50_ms: times.value_at_quantile(0.5),
            p95_ms: times.value_at_quantile(0.95),
            p99_ms: times.value_at_quantile(0.99),
            max_ms: times.max(),
        });
        rows.collect()
    }
}

/// How long one part took.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimeRow {
    /// The part.
    pub part: TimePart,
    /// Requests that have it.
    pub requests: u64,
    /// Median.
    pub p50_ms: Millis,
    /// 95th percentile.
    pub p95_ms: Millis,
    /// 99th percentile.
    pub p99_ms: Millis,
    /// Longest.
    pub max_ms: Millis,
}
