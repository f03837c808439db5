//! One caller and how it reads its answer.

use crate::serving::configuration::Route;
use crate::units::{MS_PER_SECOND, Millis};

/// Time without a byte taken after which a caller is taken not to keep up, and its answer is read
/// ahead of it: far above what one that reads takes between two pieces.
pub const BEHIND_AFTER_MS: Millis = 100;

/// Time past its own in which a caller takes some of a whole answer that is ready, or is cut. One that
/// reads at all shows that within a second, as the kernel tells of room in some ten kilobytes.
pub const LATE_PATIENCE_MS: Millis = 1_000;

/// Longest time past its own for which a whole answer that is ready is held for a caller who still
/// reads: what is read ahead goes out in that time at 30 kB a second.
pub const LONGEST_LATE_MS: Millis = 10_000;

/// Why an answer is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutCause {
    /// Its caller took nothing for as long as the route allows.
    Unread,
    /// Its caller reads too slowly to have it by its time.
    TimeUp,
    /// The box holds too much, and this one holds most and is read slowest.
    Memory,
}

impl CutCause {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::Unread => "unread",
            CutCause::TimeUp => "time_up",
            CutCause::Memory => "memory",
        }
    }
}

/// How long a caller may take nothing of its answer.
///
/// Load: callers who opened an answer and stopped reading. On a stream they are given what callers give
/// a silent stream. A plain answer is of use as a whole, so its caller may begin to read at any time
/// within the route's time-out.
pub fn unread_limit_ms(route: &Route) -> Millis {
    route.stream_patience_ms().unwrap_or(route.timeout_ms)
}

/// What binds one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderTerms {
    /// How long its caller may take nothing.
    pub unread_limit_ms: Millis,
    /// When the request's time is up.
    pub time_up_ms: Millis,
}

/// How far an answer has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Taken {
    /// Bytes that its caller has taken.
    pub bytes: u64,
    /// Whether the caller's side waits for more.
    pub waits: bool,
}

/// What was seen of a caller, look by look.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReaderSight {
    taken_bytes: u64,
    began_ms: Millis,
    progress_ms: Millis,
}

impl ReaderSight {
    /// A caller whose answer begins now.
    pub fn begin(now_ms: Millis) -> Self {
        Self {
            taken_bytes: 0,
            began_ms: now_ms,
            progress_ms: now_ms,
        }
    }

    /// Notes how far the answer has come.
    pub fn look(&mut self, taken: Taken, now_ms: Millis) {
        if taken.waits || taken.bytes != self.taken_bytes {
            self.progress_ms = now_ms;
        }
        self.taken_bytes = taken.bytes;
    }

    /// For how long the caller has taken nothing though there was something to take.
    pub fn unread_ms(&self, now_ms: Millis) -> Millis {
        now_ms.saturating_sub(self.progress_ms)
    }

    /// Bytes a second that the caller has taken so far.
    pub fn bytes_per_s(&self, now_ms: Millis) -> u64 {
        let time_ms = now_ms.saturating_sub(self.began_ms).max(1);
        self.taken_bytes.saturating_mul(MS_PER_SECOND) / time_ms
    }

    /// Whether the caller does not keep up, so that its answer is read ahead of it.
    ///
    /// Load: a caller pauses while its server goes on. The server's place is freed sooner, and the
    /// request's time is looked at though nothing asks for more.
    pub fn is_behind(&self, now_ms: Millis) -> bool {
        self.unread_ms(now_ms) >= BEHIND_AFTER_MS
    }

    /// Whether an answer is so late that it is cut however its caller reads.
    ///
    /// Load: callers who always take a little, so that they never stand still for long.
    pub fn is_overdue(&self, terms: &ReaderTerms, now_ms: Millis) -> bool {
        now_ms >= terms.time_up_ms + LONGEST_LATE_MS
    }

    /// Whether an answer that is read ahead of its caller is cut, and why.
    ///
    /// Load: callers who read nothing, and callers who read a little each second and would hold a
    /// server's place for as long as they like. A whole answer that is ready takes no server's place: it
    /// is there until its caller's time, and past that as long as the caller takes some.
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
        (unread_ms >= LATE_PATIENCE_MS).then_some(CutCause::Unread)
    }
}
