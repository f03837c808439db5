//! Reads logs line by line and counts their requests.

use std::io::{self, BufRead};

use hdrhistogram::CreationError;
use serde::Serialize;

use super::class::{RequestCause, RequestClass};
use super::entry::{BadLine, RequestEntry, parse_entry};
use super::lines::{LineRead, Lines};
use super::seconds::{TimeSeries, TimeSeriesReport};
use super::tally::{Counts, KeyedTally, Name, OTHERS, Row, ServiceRoute, printable};
use super::times::{TimeRow, TimeTally};

/// Maximum number of bad lines that are reported individually.
const MAX_BAD_EXAMPLES: usize = 5;

/// Maximum length of the reported reason of a bad line; longer reasons are cut off.
const MAX_REASON_CHARS: usize = 160;

/// Name in the report for requests without an account or without a server.
const NO_NAME: &str = "(none)";

/// Counts of lines by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LineCounts {
    /// All lines except blank ones.
    pub lines: u64,
    /// Lines of finished requests.
    pub requests: u64,
    /// Lines of other events.
    pub others: u64,
    /// Lines that the boxes report as dropped.
    pub dropped: u64,
    /// Lines that cannot be parsed.
    pub bad: BadCounts,
    /// The first lines that cannot be parsed.
    pub bad_examples: Vec<BadExample>,
}

/// Counts of lines that cannot be parsed, by reason.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BadCounts {
    /// Lines without a valid JSON object.
    pub garbage: u64,
    /// Lines whose JSON object is truncated.
    pub cut: u64,
    /// Lines that are too long.
    pub too_long: u64,
    /// Lines with a missing or invalid field.
    pub wrong_field: u64,
}

impl BadCounts {
    /// Total over all reasons.
    pub fn total(&self) -> u64 {
        self.garbage + self.cut + self.too_long + self.wrong_field
    }
}

/// A line that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BadExample {
    /// Name of the log.
    pub log: String,
    /// Line number in the log, from 1.
    pub line: u64,
    /// Reason why it cannot be parsed.
    pub reason: String,
}

/// Accumulates the counts of one or more logs.
#[derive(Debug, Clone)]
pub struct Analysis {
    lines: LineCounts,
    total: Counts,
    times: TimeTally,
    by_service: KeyedTally<ServiceRoute>,
    by_account: KeyedTally<Name>,
    by_server: KeyedTally<Name>,
    by_box: KeyedTally<Name>,
    by_cause: KeyedTally<Name>,
    by_second: TimeSeries,
}

impl Analysis {
    /// Creates an empty analysis whose time series has at most `max_steps` steps.
    ///
    /// # Errors
    /// Returns the errors of [`TimeTally::new`].
    pub fn new(max_steps: usize) -> Result<Self, CreationError> {
        Ok(Self {
            lines: LineCounts::default(),
            total: Counts::default(),
            times: TimeTally::new()?,
            by_service: KeyedTally::new(ServiceRoute::new(OTHERS, OTHERS)),
            by_account: KeyedTally::new(Name::new(OTHERS)),
            by_server: KeyedTally::new(Name::new(OTHERS)),
            by_box: KeyedTally::new(Name::new(OTHERS)),
            by_cause: KeyedTally::new(Name::new(OTHERS)),
            by_second: TimeSeries::new(max_steps),
        })
    }

    /// Reads a log to its end. `log` names it in reports of bad lines, and stands in for the box's
    /// name on lines without one.
    ///
    /// # Errors
    /// Returns the errors of the reader; the lines read until then still count.
    pub fn read_log(&mut self, log: &str, reader: impl BufRead) -> io::Result<()> {
        let mut lines = Lines::new(reader);
        let mut number = 0;
        while let Some(line) = lines.next_line()? {
            number += 1;
            if let Err(bad) = self.process_line(log, line) {
                self.count_bad_line(log, number, &bad);
            }
        }
        Ok(())
    }

    fn process_line(&mut self, log: &str, line: LineRead<'_>) -> Result<(), BadLine> {
        let line = match line {
            LineRead::Complete(line) if line.trim_ascii().is_empty() => return Ok(()),
            LineRead::Complete(line) => line,
            LineRead::TooLong => {
                self.lines.lines += 1;
                return Err(BadLine::TooLong);
            }
        };
        self.lines.lines += 1;
        let entry = parse_entry(line)?;
        self.lines.dropped = self.lines.dropped.saturating_add(entry.dropped_lines);
        match entry.request {
            Some(request) => {
                let box_name = entry.box_name.as_deref().unwrap_or(log);
                self.count_request(box_name, &request);
            }
            None => self.lines.others += 1,
        }
        Ok(())
    }

    fn count_request(&mut self, box_name: &str, request: &RequestEntry<'_>) {
        self.lines.requests += 1;
        let class = RequestClass::of(request);
        let cause = RequestCause::of(request, class);
        let service = ServiceRoute::new(&request.service, &request.route);
        let account = request.account.as_deref().unwrap_or(NO_NAME);
        let server = request.server.as_deref().unwrap_or(NO_NAME);
        self.total.add(request, class);
        self.times.add(request);
        self.by_service.add(service, request, class);
        self.by_account.add(Name::new(account), request, class);
        self.by_server.add(Name::new(server), request, class);
        self.by_box.add(Name::new(box_name), request, class);
        self.by_cause.add(Name::new(cause.name()), request, class);
        self.by_second.add(request, class);
    }

    fn count_bad_line(&mut self, log: &str, line: u64, bad: &BadLine) {
        let counts = &mut self.lines.bad;
        match bad {
            BadLine::NotJson => counts.garbage += 1,
            BadLine::Truncated => counts.cut += 1,
            BadLine::TooLong => counts.too_long += 1,
            BadLine::InvalidField { .. } => counts.wrong_field += 1,
        }
        if self.lines.bad_examples.len() < MAX_BAD_EXAMPLES {
            self.lines.bad_examples.push(BadExample {
                log: log.to_string(),
                line,
                reason: printable(&bad.to_string(), MAX_REASON_CHARS),
            });
        }
    }

    /// Summary of all lines read so far.
    pub fn report(&self) -> Report {
        Report {
            lines: self.lines.clone(),
            total: self.total.clone(),
            times: self.times.rows(),
            by_cause: self.by_cause.largest_first(),
            by_service: self.by_service.rows(),
            by_account: self.by_account.worst_first(),
            by_server: self.by_server.worst_first(),
            by_box: self.by_box.worst_first(),
            by_second: self.by_second.report(),
        }
    }
}

/// Summary of the requests in logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Counts of lines.
    pub lines: LineCounts,
    /// All requests.
    pub total: Counts,
    /// Distribution of the time in each part.
    pub times: Vec<TimeRow>,
    /// By cause, most frequent first.
    pub by_cause: Vec<Row<Name>>,
    /// By service and route.
    pub by_service: Vec<Row<ServiceRoute>>,
    /// By client account, most requests not on time first.
    pub by_account: Vec<Row<Name>>,
    /// By the backend server that answered, most requests not on time first.
    pub by_server: Vec<Row<Name>>,
    /// By the box named in front of the line, else by log, most requests not on time first.
    pub by_box: Vec<Row<Name>>,
    /// Over time.
    pub by_second: TimeSeriesReport,
}
