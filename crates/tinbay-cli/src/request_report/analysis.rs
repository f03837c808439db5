//! Takes the lines of logs and sums them up.

use std::io::{self, BufRead};

use hdrhistogram::CreationError;
use serde::Serialize;

use super::class::{RequestCause, RequestClass};
use super::entry::{BadLine, RequestEntry, read_entry};
use super::lines::{LineRead, Lines};
use super::seconds::{SecondsReport, SecondsTally};
use super::tally::{Counts, KeyedTally, Name, OTHERS, Row, ServiceRoute, printable};
use super::times::{TimeRow, TimeTally};

/// Bad lines that are named one by one.
const MOST_EXAMPLES: usize = 5;

/// Longest reason of a bad line that is shown, in characters.
const LONGEST_REASON_CHARS: usize = 160;

/// Name where a request has no account or no server.
const NONE: &str = "(none)";

/// Lines by what they were.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct LineCounts {
    /// All lines but blank ones.
    pub lines: u64,
    /// Lines that end a request.
    pub requests: u64,
    /// Lines of something else.
    pub others: u64,
    /// Lines that the boxes say they dropped.
    pub dropped: u64,
    /// Lines that can't be read.
    pub bad: BadCounts,
    /// The first of those.
    pub bad_examples: Vec<BadExample>,
}

/// Lines that can't be read, by why.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct BadCounts {
    /// Lines without a JSON object.
    pub garbage: u64,
    /// Lines that end too early.
    pub cut: u64,
    /// Lines that are too long.
    pub too_long: u64,
    /// Lines of requests with a wrong field.
    pub wrong_field: u64,
}

impl BadCounts {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.garbage + self.cut + self.too_long + self.wrong_field
    }
}

/// One line that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BadExample {
    /// The log it is in.
    pub log: String,
    /// Its number there, from 1.
    pub line: u64,
    /// What is wrong.
    pub reason: String,
}

/// Sums up lines of logs.
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
    seconds: SecondsTally,
}

impl Analysis {
    /// An analysis that has read nothing; time is told in `most_steps` steps at most.
    ///
    /// # Errors
    /// As [`TimeTally::new`].
    pub fn new(most_steps: usize) -> Result<Self, CreationError> {
        Ok(Self {
            lines: LineCounts::default(),
            total: Counts::default(),
            times: TimeTally::new()?,
            by_service: KeyedTally::new(ServiceRoute::new(OTHERS, OTHERS)),
            by_account: KeyedTally::new(Name::new(OTHERS)),
            by_server: KeyedTally::new(Name::new(OTHERS)),
            by_box: KeyedTally::new(Name::new(OTHERS)),
            by_cause: KeyedTally::new(Name::new(OTHERS)),
            seconds: SecondsTally::new(most_steps),
        })
    }

    /// Reads a log to its end; `log` names it where a line is bad.
    ///
    /// # Errors
    /// As the reader; what was read until then is kept.
    pub fn read_log(&mut self, log: &str, reader: impl BufRead) -> io::Result<()> {
        let mut lines = Lines::new(reader);
        let mut number = 0;
        while let Some(line) = lines.next_line()? {
            number += 1;
            if let Err(bad) = self.take_line(log, line) {
                self.count_bad(log, number, &bad);
            }
        }
        Ok(())
    }

    fn take_line(&mut self, log: &str, line: LineRead<'_>) -> Result<(), BadLine> {
        let line = match line {
            LineRead::Whole(line) if line.trim_ascii().is_empty() => return Ok(()),
            LineRead::Whole(line) => line,
            LineRead::TooLong => {
                self.lines.lines += 1;
                return Err(BadLine::TooLong);
            }
        };
        self.lines.lines += 1;
        let entry = read_entry(line)?;
        self.lines.dropped = self.lines.dropped.saturating_add(entry.dropped_lines);
        match entry.request {
            Some(request) => {
                let box_name = entry.box_name.as_deref().unwrap_or(log);
                self.count(box_name, &request);
            }
            None => self.lines.others += 1,
        }
        Ok(())
    }

    fn count(&mut self, box_name: &str, request: &RequestEntry<'_>) {
        self.lines.requests += 1;
        let class = RequestClass::of(request);
        let cause = RequestCause::of(request, class);
        let service = ServiceRoute::new(&request.service, &request.route);
        let account = request.account.as_deref().unwrap_or(NONE);
        let server = request.server.as_deref().unwrap_or(NONE);
        self.total.add(request, class);
        self.times.add(request);
        self.by_service.add(service, request, class);
        self.by_account.add(Name::new(account), request, class);
        self.by_server.add(Name::new(server), request, class);
        self.by_box.add(Name::new(box_name), request, class);
        self.by_cause.add(Name::new(cause.name()), request, class);
        self.seconds.add(request, class);
    }

    fn count_bad(&mut self, log: &str, line: u64, bad: &BadLine) {
        let counts = &mut self.lines.bad;
        match bad {
            BadLine::Garbage => counts.garbage += 1,
            BadLine::Cut => counts.cut += 1,
            BadLine::TooLong => counts.too_long += 1,
            BadLine::WrongField { .. } => counts.wrong_field += 1,
        }
        if self.lines.bad_examples.len() < MOST_EXAMPLES {
            self.lines.bad_examples.push(BadExample {
                log: log.to_string(),
                line,
                reason: printable(&bad.to_string(), LONGEST_REASON_CHARS),
            });
        }
    }

    /// What was read until now.
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
            by_second: self.seconds.report(),
        }
    }
}

/// What became of the requests of logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The lines.
    pub lines: LineCounts,
    /// All requests.
    pub total: Counts,
    /// Where their time went.
    pub times: Vec<TimeRow>,
    /// By cause, the most frequent first.
    pub by_cause: Vec<Row<Name>>,
    /// By service and route.
    pub by_service: Vec<Row<ServiceRoute>>,
    /// By client account, the one with most requests not in time first.
    pub by_account: Vec<Row<Name>>,
    /// By the server that answered, the one with most requests not in time first.
    pub by_server: Vec<Row<Name>>,
    /// By the box whose line it is, or else by the log, the one with most requests not in time first.
    pub by_box: Vec<Row<Name>>,
    /// By time.
    pub by_second: SecondsReport,
}
