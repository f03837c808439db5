//! Tracks how fast a caller reads its answer, and decides when to abort it.

use crate::serving::configuration::Route;
use crate::units::{MS_PER_SECOND, Millis};

/// Time without a read after which a caller counts as slow and its answer is buffered ahead of it:
/// far above the time that a caller needs between two chunks.
pub const BEHIND_AFTER_MS: Millis = 100;

/// Time without a read after which a complete answer is aborted once the request's deadline has
/// passed. A caller that reads at all shows progress within a second, as the kernel reports send
/// buffer space in steps of some ten kilobytes.
pub const LATE_UNREAD_LIMIT_MS: Millis = 1_000;

/// Maximum time past the deadline for which a complete answer is kept for a caller that still
/// reads: enough for the data buffered ahead at 30 kB/s.
pub const MAX_LATE_MS: Millis = 10_000;

/// Why an answer is aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutCause {
    /// The caller read nothing for the time that the route allows.
    Unread,
    /// The caller reads too slowly to finish by the deadline.
    TimeUp,
    /// The box is short of memory, and this answer was selected by [`cuts`](super::cuts).
    Memory,
}

impl CutCause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::Unread => "unread",
            CutCause::TimeUp => "time_up",
            CutCause::Memory => "memory",
        }
    }
}

/// How long a caller may leave its answer unread.
///
/// For a stream, it is the time for which callers themselves wait on a silent stream. A plain
/// answer is used as a whole, so that its caller may start to read at any time within the route's
/// timeout.
pub fn unread_limit_ms(route: &Route) -> Millis {
    route.first_piece_timeout_ms().unwrap_or(route.timeout_ms)
}

/// Time limits of one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderTerms {
    /// Maximum time without a read.
    pub unread_limit_ms: Millis,
    /// Deadline of the request.
    pub time_up_ms: Millis,
}

/// Progress of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken {
    /// Total bytes that the caller has read.
    pub bytes: u64,
    /// Whether the caller has read everything and waits for more.
    pub waits: bool,
}

/// Read progress of a caller over time, sampled by [`ReadTracker::look`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadTracker {
    read_bytes: u64,
    started_ms: Millis,
    last_progress_ms: Millis,
}

impl ReadTracker {
    /// Starts tracking a caller whose answer begins now.
    pub fn begin(now_ms: Millis) -> Self {
        Self {
            read_bytes: 0,
            started_ms: now_ms,
            last_progress_ms: now_ms,
        }
    }

    /// Records a sample of the caller's progress.
    pub fn look(&mut self, taken: Taken, now_ms: Millis) {
        if taken.waits || taken.bytes != self.read_bytes {
            self.last_progress_ms = now_ms;
        }
        self.read_bytes = taken.bytes;
    }

    /// Time for which the caller has read nothing although data was available.
    pub fn unread_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.last_progress_ms)
    }

    /// Average read rate since the start of the answer.
    pub fn bytes_per_s(&self, now_ms: Millis) -> u64 {
        let time_ms = now_ms.saturating_sub(self.started_ms).max(1);
        self.read_bytes.saturating_mul(MS_PER_SECOND) / time_ms
    }

    /// Whether the caller is slow, so that its answer is buffered ahead of it. That frees the
    /// server's slot sooner, and the deadline is checked even though the caller does not ask for
    /// more data.
    pub fn is_behind(&self, now_ms: Millis) -> bool {
        self.unread_ms(now_ms) >= BEHIND_AFTER_MS
    }

    /// Whether an answer is so late that it is aborted even if its caller keeps reading a little at
    /// a time.
    pub fn is_overdue(&self, terms: &ReaderTerms, now_ms: Millis) -> bool {
        now_ms >= terms.time_up_ms + MAX_LATE_MS
    }

    /// Whether to abort an answer that is buffered ahead of its caller, and why.
    ///
    /// An incomplete answer occupies a slot of the server, so that it is aborted if its caller
    /// reads nothing, or too slowly to finish by the deadline. A complete one occupies none and is
    /// kept until the deadline, and past it while the caller keeps reading.
    pub fn judge(&self, terms: &ReaderTerms, is_whole: bool, now_ms: Millis) -> Option<CutCause> {
        let unread_ms = self.unread_ms(now_ms);
        if !is_whole && unread_ms >= terms.unread_limit_ms {
            return Some(CutCause::Unread);
        }
        if now_ms < terms.time_up_ms {
            return None;
        }
        if !is_whole || self.is_overdue(terms, now_ms) {
            return Some(CutCause::TimeUp);
        }
        (unread_ms >= LATE_UNREAD_LIMIT_MS).then_some(CutCause::Unread)
    }
}
