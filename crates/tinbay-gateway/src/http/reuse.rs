//! What becomes of kept connections that are used again, and what a service's connections are
//! trusted with because of it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use log::Level;
use prometheus::IntCounterVec;
use serde::Serialize;
use tinbay_core::serving::idle_reuse::{self, IdleReuseLimit, ReuseOutcome};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use crate::clock::Clock;
use crate::events::{self, part};

/// Longest time from a send to the reset by a server that had forgotten the connection: a round
/// trip, and what a busy box takes to see it. Servers that break off later had begun to work.
const FORGOTTEN_WITHIN_MS: Millis = 50;

/// What is known of the kept connections of one service.
#[derive(Debug)]
pub struct ReuseLedger {
    service: String,
    clock: Clock,
    trusted: RefCell<IdleReuseLimit>,
    measure: Option<IntCounterVec>,
}

#[derive(Serialize)]
struct TrustedRestEvent<'a> {
    service: &'a str,
    cause: &'static str,
    rested_ms: Millis,
    trusted_ms: Millis,
}

impl ReuseLedger {
    /// A ledger of a service, with the clock of the process and where connections are counted.
    pub fn new(service: &str, clock: Clock, measure: Option<IntCounterVec>) -> Self {
        Self {
            service: service.to_string(),
            clock,
            trusted: RefCell::default(),
            measure,
        }
    }

    /// Longest rest that is trusted with a request that may run only once.
    pub fn trusted_ms(&self) -> Millis {
        self.trusted.borrow().trusted_ms()
    }

    /// Counts a connection that was opened.
    pub fn count_opened(&self) {
        self.count("opened");
    }

    /// Counts a resting connection that the server had closed.
    pub fn note_found_closed(&self, server: ServerKey, rested_ms: Millis) {
        self.note(server, rested_ms, ReuseOutcome::FoundClosed);
    }

    fn count(&self, outcome: &str) {
        if let Some(measure) = &self.measure {
            measure.with_label_values(&[outcome]).inc();
        }
    }

    fn note(&self, server: ServerKey, rested_ms: Millis, end: ReuseOutcome) {
        self.count(end.name());
        let reuse = idle_reuse::Reuse {
            server,
            rested_ms,
            end,
        };
        let is_less = self.trusted.borrow_mut().note(&reuse, self.clock.now_ms());
        if is_less {
            let event = TrustedRestEvent {
                service: &self.service,
                cause: end.name(),
                rested_ms,
                trusted_ms: self.trusted_ms(),
            };
            events::emit(part::SERVERS, Level::Warn, "trusted_rest", &event);
        }
    }
}

/// A kept connection that is used again, until it is known how it took the request; dropped, it
/// tells nothing.
#[derive(Debug)]
pub struct Reuse {
    ledger: Rc<ReuseLedger>,
    server: ServerKey,
    rested_ms: Millis,
    is_at_stake: bool,
    /// Connections that have rested since before then are not trusted.
    silent_ms: Rc<Cell<Millis>>,
}

impl Reuse {
    /// The use of a connection that rested so long, for a request that may run only once or not.
    pub(super) fn begin(
        ledger: &Rc<ReuseLedger>,
        server: ServerKey,
        rested_ms: Millis,
        runs_once: bool,
        silent_ms: &Rc<Cell<Millis>>,
    ) -> Self {
        let is_at_stake = runs_once && ledger.trusted.borrow_mut().note_at_risk(rested_ms);
        Self {
            ledger: Rc::clone(ledger),
            server,
            rested_ms,
            is_at_stake,
            silent_ms: Rc::clone(silent_ms),
        }
    }

    /// The head of the answer came.
    pub fn note_answered(self) {
        self.note(ReuseOutcome::Answered);
    }

    /// It was seen to be closed before the request went out.
    pub fn note_found_closed(self) {
        self.note(ReuseOutcome::FoundClosed);
    }

    /// It was closed so long after the request went out.
    pub fn note_closed(self, after_ms: Millis) {
        if after_ms <= FORGOTTEN_WITHIN_MS {
            self.note(ReuseOutcome::Broken);
        }
    }

    /// Nothing came where an answer was due: no connection of that server which rests now is
    /// trusted any more.
    pub fn note_silent(self) {
        self.silent_ms.set(self.ledger.clock.now_ms());
        self.note(ReuseOutcome::Silent);
    }

    fn note(&self, end: ReuseOutcome) {
        self.ledger.note(self.server, self.rested_ms, end);
    }
}

impl Drop for Reuse {
    fn drop(&mut self) {
        if self.is_at_stake {
            self.ledger.trusted.borrow_mut().release();
        }
    }
}
