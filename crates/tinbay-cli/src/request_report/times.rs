//! Distribution of the time that requests spent in each part.

use hdrhistogram::Histogram;
use serde::Serialize;
use tinbay_core::units::Millis;

use super::entry::RequestEntry;

/// Longest time that the histograms distinguish; longer times count as this.
const MAX_TIME_MS: Millis = 3_600_000;

/// Significant decimal digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A part of a request's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TimePart {
    /// Until the last send.
    BeforeSend,
    /// From the last send to the first piece.
    AtServer,
    /// Until the first piece.
    FirstPiece,
    /// From the first piece to the last.
    Pauses,
    /// The longest pause between two pieces.
    LongestPause,
    /// While the caller's side was not reading.
    Untaken,
    /// Until the end.
    Total,
}

impl TimePart {
    /// All variants, in the order of the report.
    pub const ALL: [Self; 7] = [
        Self::BeforeSend,
        Self::AtServer,
        Self::FirstPiece,
        Self::Pauses,
        Self::LongestPause,
        Self::Untaken,
        Self::Total,
    ];

    /// Name in reports.
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

    fn time_of(self, request: &RequestEntry<'_>) -> Option<Millis> {
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

/// Histograms of the times of all requests, by part.
#[derive(Debug, Clone)]
pub struct TimeTally {
    parts: Vec<(TimePart, Histogram<u64>)>,
}

impl TimeTally {
    /// Creates an empty tally.
    ///
    /// # Errors
    /// Returns an error if the histogram bounds are invalid, which would be a programming error.
    pub fn new() -> Result<Self, hdrhistogram::CreationError> {
        let parts = TimePart::ALL.into_iter().map(|part| {
            let histogram = Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS)?;
            Ok((part, histogram))
        });
        Ok(Self {
            parts: parts.collect::<Result<_, _>>()?,
        })
    }

    /// Records the times of a request.
    pub fn add(&mut self, request: &RequestEntry<'_>) {
        for (part, histogram) in &mut self.parts {
            if let Some(time_ms) = part.time_of(request) {
                histogram.saturating_record(time_ms);
            }
        }
    }

    /// Quantiles of each part that at least one request has.
    pub fn rows(&self) -> Vec<TimeRow> {
        let present = self
            .parts
            .iter()
            .filter(|(_, histogram)| !histogram.is_empty());
        let rows = present.map(|(part, histogram)| TimeRow {
            part: *part,
            requests: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.5),
            p95_ms: histogram.value_at_quantile(0.95),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        });
        rows.collect()
    }
}

/// Quantiles of one part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimeRow {
    /// The part.
    pub part: TimePart,
    /// Number of requests that have this part.
    pub requests: u64,
    /// Median.
    pub p50_ms: Millis,
    /// 95th percentile.
    pub p95_ms: Millis,
    /// 99th percentile.
    pub p99_ms: Millis,
    /// Maximum.
    pub max_ms: Millis,
}
