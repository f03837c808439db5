//! How long a kept connection may have rested and still take a request that may run only once.
//!
//! Load it answers: many boxes before many servers, so that one box and one server meet only every
//! few seconds. A server may forget a resting connection earlier than it says, and a link may drop
//! one in silence; the request that finds out is lost, as nobody can tell whether it ran. One
//! learner serves all connections of a service: what one server forgets, the others may forget.
//!
//! The bound that it keeps: of requests that may run only once and go out on a connection that
//! rested longer than [`START_MS`], at most two are lost in a thousand reuses, beyond those that
//! were under way when the first one was lost, of which there are at most [`MOST_AT_STAKE`].

use super::servers::ServerKey;
use crate::units::Millis;

/// Rest that is trusted before anything was learnt.
pub const START_MS: Millis = 500;

/// Rest that is always trusted: no server forgets between two requests of one burst, so that what
/// breaks then breaks for other reasons.
pub const LEAST_MS: Millis = 100;

/// Longest rest that is ever trusted.
pub const MOST_MS: Millis = 8_000;

/// Requests that may run only once and are under way on connections that rested longer than
/// [`START_MS`], unanswered: as many are lost if all connections go silent at once.
pub const MOST_AT_STAKE: usize = 4;

/// Reuses that went well after a loss before longer rests are tried again.
pub const REUSES_A_LOSS: u32 = 1_000;

/// Reuses near the trusted rest that went well before it is doubled.
const WELL_TO_GROW: u32 = 4;

/// Connections of two servers that fall silent within this time did not fall silent for reasons of
/// one server.
const SILENCE_WINDOW_MS: Millis = 2_000;

/// How a reused connection took a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReuseEnd {
    /// The head of the answer came.
    Answered,
    /// It was closed at once, without an answer.
    Broken,
    /// It was seen to be closed before anything was sent.
    FoundClosed,
    /// Nothing came where an answer was due.
    Silent,
}

impl ReuseEnd {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            ReuseEnd::Answered => "answered",
            ReuseEnd::Broken => "broken",
            ReuseEnd::FoundClosed => "found_closed",
            ReuseEnd::Silent => "silent",
        }
    }
}

/// What became of one reused connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reuse {
    /// Whose connection.
    pub server: ServerKey,
    /// How long it had rested.
    pub rested_ms: Millis,
    /// How it took the request.
    pub end: ReuseEnd,
}

/// What was learnt of the connections of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrustedRest {
    trusted_ms: Millis,
    /// Where growth ends until enough reuses went well.
    ceiling_ms: Millis,
    /// Reuses near the trusted rest that went well, since it last changed.
    well: u32,
    /// Reuses that went well since the last loss.
    well_since_loss: u32,
    at_stake: usize,
    silent: Option<(ServerKey, Millis)>,
}

impl Default for TrustedRest {
    fn default() -> Self {
        Self {
            trusted_ms: START_MS,
            ceiling_ms: MOST_MS,
            well: 0,
            well_since_loss: REUSES_A_LOSS,
            at_stake: 0,
            silent: None,
        }
    }
}

impl TrustedRest {
    /// Longest rest that is trusted with a request that may run only once.
    pub fn trusted_ms(&self) -> Millis {
        if self.at_stake < MOST_AT_STAKE {
            self.trusted_ms
        } else {
            self.trusted_ms.min(START_MS)
        }
    }

    /// Notes that a request that may run only once goes out on a connection that rested so long;
    /// whether it is at stake, and [`TrustedRest::release`] is due when its fate is known.
    pub fn stake(&mut self, rested_ms: Millis) -> bool {
        let is_at_stake = rested_ms > START_MS;
        self.at_stake += usize::from(is_at_stake);
        is_at_stake
    }

    /// The fate of a request at stake is known.
    pub fn release(&mut self) {
        self.at_stake = self.at_stake.saturating_sub(1);
    }

    /// Learns from one reused connection; whether less is trusted from now on.
    pub fn note(&mut self, reuse: &Reuse, now_ms: Millis) -> bool {
        let before_ms = self.trusted_ms;
        match reuse.end {
            ReuseEnd::Answered => self.note_well(reuse.rested_ms),
            ReuseEnd::FoundClosed => self.well = 0,
            ReuseEnd::Broken => self.note_loss(reuse.rested_ms),
            ReuseEnd::Silent => self.note_silent(reuse, now_ms),
        }
        self.trusted_ms < before_ms
    }

    fn note_well(&mut self, rested_ms: Millis) {
        self.well_since_loss = self.well_since_loss.saturating_add(1);
        if self.well_since_loss >= REUSES_A_LOSS {
            self.ceiling_ms = MOST_MS;
        }
        if rested_ms < self.trusted_ms / 2 {
            return;
        }
        self.well += 1;
        if self.well >= WELL_TO_GROW {
            self.well = 0;
            self.trusted_ms = (self.trusted_ms * 2).min(self.ceiling_ms);
        }
    }

    fn note_loss(&mut self, rested_ms: Millis) {
        if rested_ms <= LEAST_MS {
            return;
        }
        let is_first = self.well_since_loss >= REUSES_A_LOSS;
        let safe_ms = if is_first { rested_ms / 2 } else { LEAST_MS };
        self.trusted_ms = self.trusted_ms.min(safe_ms).max(LEAST_MS);
        self.ceiling_ms = self.trusted_ms;
        self.well = 0;
        self.well_since_loss = 0;
    }

    /// One server alone may have died; what its connections say of others is nothing.
    fn note_silent(&mut self, reuse: &Reuse, now_ms: Millis) {
        let before = self.silent.replace((reuse.server, now_ms));
        let is_shared = before.is_some_and(|(server, silent_ms)| {
            server != reuse.server && now_ms < silent_ms + SILENCE_WINDOW_MS
        });
        if is_shared {
            self.note_loss(reuse.rested_ms);
        }
    }
}
