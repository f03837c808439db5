//! Whether a server has too little room, without changing its mind at each request.

use crate::units::Millis;

/// Part of the places below which a server is no longer scarce: one place that becomes free for a moment
/// ends nothing.
const PLENTY_PART: f64 = 0.75;

/// Part of the shortest objective that a new request may have to wait for what is read before it: the rest
/// is for its own reading and its first tokens.
const MOST_BACKLOG_PART: f64 = 0.5;

/// How long there must be plenty before a server is no longer scarce: about the time of some requests.
const PLENTY_FOR_MS: Millis = 500;

/// How full a server is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fullness {
    /// Requests that run there or were let in.
    pub running: usize,
    /// Requests it works on at once.
    pub slots: usize,
    /// What it has to read before it begins a new request, as time.
    pub backlog_ms: f64,
    /// The shortest objective among the routes of its service.
    pub objective_ms: Millis,
}

impl Fullness {
    fn is_full(&self) -> bool {
        self.running >= self.slots.max(1) || self.backlog_ms > self.most_backlog_ms()
    }

    fn is_plenty(&self) -> bool {
        let most_running = self.slots.max(1) as f64 * PLENTY_PART;
        (self.running as f64) < most_running && self.backlog_ms <= self.most_backlog_ms() / 2.0
    }

    /// Most that the server may have to read without being scarce.
    pub fn most_backlog_ms(&self) -> f64 {
        self.objective_ms as f64 * MOST_BACKLOG_PART
    }
}

/// Whether a server has too little room.
///
/// It begins as soon as all places are taken, before anything waits at the server itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Scarcity {
    is_scarce: bool,
    /// Since when there has been plenty.
    plenty_since_ms: Option<Millis>,
}

impl Scarcity {
    /// Notes how full the server is; whether requests wait keeps it scarce.
    pub fn note(&mut self, fullness: Fullness, has_waiting: bool, now_ms: Millis) {
        if fullness.is_full() || has_waiting {
            self.is_scarce = true;
        }
        if !fullness.is_plenty() || has_waiting {
            self.plenty_since_ms = None;
            return;
        }
        let since_ms = *self.plenty_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + PLENTY_FOR_MS {
            self.is_scarce = false;
        }
    }

    /// Whether it has too little room.
    pub fn is_scarce(&self) -> bool {
        self.is_scarce
    }
}
