//! Learns how long a pooled connection may have been idle and still carry a request that may run
//! only once.
//!
//! With many boxes before many servers, one box and one server meet only every few seconds. A
//! server may close an idle connection earlier than it announces, and a link may drop one silently;
//! the request that is sent on such a connection is lost, as nobody can tell whether it ran. All
//! connections of a service share one limit, as servers of a service tend to close idle connections
//! alike.
//!
//! Guarantee: of the requests that may run only once and are sent on a connection that was idle
//! longer than [`INITIAL_IDLE_LIMIT_MS`], at most two are lost per thousand reuses, besides those
//! already in flight at the first loss, of which there are at most [`MAX_AT_RISK`].

use super::servers::ServerKey;
use crate::units::Millis;

/// Initial idle limit.
pub const INITIAL_IDLE_LIMIT_MS: Millis = 500;

/// Lower bound of the idle limit: no server closes a connection between two requests of one burst,
/// so failures of connections with less idle time have other causes.
pub const MIN_IDLE_LIMIT_MS: Millis = 100;

/// Upper bound of the idle limit.
pub const MAX_IDLE_LIMIT_MS: Millis = 8_000;

/// Upper bound of the requests without an answer yet that may run only once and were sent on
/// connections idle for longer than [`INITIAL_IDLE_LIMIT_MS`]. If all connections break silently at
/// once, this many are lost.
pub const MAX_AT_RISK: usize = 4;

/// Successful reuses after a loss before the idle limit may grow again.
pub const REUSES_PER_LOSS: u32 = 1_000;

/// Successful reuses near the idle limit before it is doubled.
const SUCCESSES_TO_GROW: u32 = 4;

/// Window within which silent connections of two servers count as a common failure rather than one
/// of a single server.
const SILENCE_WINDOW_MS: Millis = 2_000;

/// Outcome of a request on a reused connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// The head of the answer arrived.
    Answered,
    /// The connection was closed without an answer.
    Broken,
    /// The connection was found closed before anything was sent.
    FoundClosed,
    /// No answer arrived in time.
    Silent,
}

impl ReuseOutcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ReuseOutcome::Answered => "answered",
            ReuseOutcome::Broken => "broken",
            ReuseOutcome::FoundClosed => "found_closed",
            ReuseOutcome::Silent => "silent",
        }
    }
}

/// One reuse of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reuse {
    /// Server of the connection.
    pub server: ServerKey,
    /// How long the connection had been idle.
    pub rested_ms: Millis,
    /// Outcome of the request.
    pub end: ReuseOutcome,
}

/// Idle limit for the connections of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleReuseLimit {
    /// Idle time up to which connections are reused while not too many requests are at risk.
    trusted_ms: Millis,
    /// Bound on growth until enough reuses have succeeded.
    ceiling_ms: Millis,
    /// Successful reuses near the limit since it last changed.
    near_successes: u32,
    /// Successful reuses since the last loss.
    successes_since_loss: u32,
    /// Requests at risk whose outcome is not known yet.
    at_risk: usize,
    /// Server of the connection that last fell silent, and when.
    last_silent: Option<(ServerKey, Millis)>,
}

impl Default for IdleReuseLimit {
    fn default() -> Self {
        Self {
            trusted_ms: INITIAL_IDLE_LIMIT_MS,
            ceiling_ms: MAX_IDLE_LIMIT_MS,
            near_successes: 0,
            successes_since_loss: REUSES_PER_LOSS,
            at_risk: 0,
            last_silent: None,
        }
    }
}

impl IdleReuseLimit {
    /// Longest idle time of a connection that may carry a request that may run only once.
    pub fn trusted_ms(&self) -> Millis {
        if self.at_risk < MAX_AT_RISK {
            self.trusted_ms
        } else {
            self.trusted_ms.min(INITIAL_IDLE_LIMIT_MS)
        }
    }

    /// Records that a request that may run only once is sent on a connection that was idle for
    /// `rested_ms`. Returns whether it counts as at risk; if so, [`IdleReuseLimit::release`] must
    /// be called when its outcome is known.
    pub fn record_at_risk(&mut self, rested_ms: Millis) -> bool {
        let is_at_risk = rested_ms > INITIAL_IDLE_LIMIT_MS;
        self.at_risk += usize::from(is_at_risk);
        is_at_risk
    }

    /// Records that the outcome of a request at risk is known.
    pub fn release(&mut self) {
        self.at_risk = self.at_risk.saturating_sub(1);
    }

    /// Adjusts the limit after one reuse; returns whether it was reduced.
    pub fn record(&mut self, reuse: &Reuse, now_ms: Millis) -> bool {
        let before_ms = self.trusted_ms;
        match reuse.end {
            ReuseOutcome::Answered => self.record_success(reuse.rested_ms),
            ReuseOutcome::FoundClosed => self.near_successes = 0,
            ReuseOutcome::Broken => self.record_loss(reuse.rested_ms),
            ReuseOutcome::Silent => self.record_silent(reuse, now_ms),
        }
        self.trusted_ms < before_ms
    }

    fn record_success(&mut self, rested_ms: Millis) {
        self.successes_since_loss = self.successes_since_loss.saturating_add(1);
        if self.successes_since_loss >= REUSES_PER_LOSS {
            self.ceiling_ms = MAX_IDLE_LIMIT_MS;
        }
        if rested_ms < self.trusted_ms / 2 {
            return;
        }
        self.near_successes += 1;
        if self.near_successes >= SUCCESSES_TO_GROW {
            self.near_successes = 0;
            self.trusted_ms = (self.trusted_ms * 2).min(self.ceiling_ms);
        }
    }

    fn record_loss(&mut self, rested_ms: Millis) {
        if rested_ms <= MIN_IDLE_LIMIT_MS {
            return;
        }
        let is_first = self.successes_since_loss >= REUSES_PER_LOSS;
        let safe_ms = if is_first {
            rested_ms / 2
        } else {
            MIN_IDLE_LIMIT_MS
        };
        self.trusted_ms = self.trusted_ms.min(safe_ms).max(MIN_IDLE_LIMIT_MS);
        self.ceiling_ms = self.trusted_ms;
        self.near_successes = 0;
        self.successes_since_loss = 0;
    }

    /// A silent connection counts as a loss only if another server's connection fell silent as
    /// well: a single server may have crashed, which says nothing about the others.
    fn record_silent(&mut self, reuse: &Reuse, now_ms: Millis) {
        let before = self.last_silent.replace((reuse.server, now_ms));
        let is_shared = before.is_some_and(|(server, silent_ms)| {
            server != reuse.server && now_ms < silent_ms + SILENCE_WINDOW_MS
        });
        if is_shared {
            self.record_loss(reuse.rested_ms);
        }
    }
}
