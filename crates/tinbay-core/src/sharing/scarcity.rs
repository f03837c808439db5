//! Decides whether a server is at capacity, with hysteresis.

use crate::units::Millis;

/// Fraction of the slots below which a server has spare capacity. It is below 1, so that a single
/// slot that is free for a moment does not end the scarcity.
const SPARE_FRACTION: f64 = 0.75;

/// Fraction of the shortest latency objective that the prefill backlog may take; the rest is for a
/// new request's own prefill and first tokens.
const MAX_BACKLOG_FRACTION: f64 = 0.5;

/// How long a server must have spare capacity before it is no longer scarce: about the duration of
/// a few requests.
const SPARE_FOR_MS: Millis = 500;

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests running or admitted.
    pub running: usize,
    /// Requests that the server runs concurrently.
    pub slots: usize,
    /// Prefill work ahead of a new request, as time.
    pub backlog_ms: f64,
    /// Shortest latency objective among the routes of its service.
    pub objective_ms: Millis,
}

impl ServerLoad {
    fn is_full(&self) -> bool {
        self.running >= self.slots.max(1) || self.backlog_ms > self.max_backlog_ms()
    }

    fn has_spare_capacity(&self) -> bool {
        let max_running = self.slots.max(1) as f64 * SPARE_FRACTION;
        (self.running as f64) < max_running && self.backlog_ms <= self.max_backlog_ms() / 2.0
    }

    /// Upper bound of the prefill backlog of a server that is not scarce.
    pub fn max_backlog_ms(&self) -> f64 {
        self.objective_ms as f64 * MAX_BACKLOG_FRACTION
    }
}

/// Whether a server is at capacity.
///
/// It counts as such as soon as all slots are taken or the prefill backlog exceeds its bound,
/// before requests queue at the server itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Scarcity {
    is_scarce: bool,
    /// Start of the current period of spare capacity.
    spare_since_ms: Option<Millis>,
}

impl Scarcity {
    /// Updates the state with the server's load. Waiting requests keep the server scarce.
    pub fn update(&mut self, load: ServerLoad, has_waiting: bool, now_ms: Millis) {
        if load.is_full() || has_waiting {
            self.is_scarce = true;
        }
        if !load.has_spare_capacity() || has_waiting {
            self.spare_since_ms = None;
            return;
        }
        let since_ms = *self.spare_since_ms.get_or_insert(now_ms);
        if now_ms >= since_ms + SPARE_FOR_MS {
            self.is_scarce = false;
        }
    }

    /// Whether the server is at capacity.
    pub fn is_scarce(&self) -> bool {
        self.is_scarce
    }
}
