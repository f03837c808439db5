//! Tracks the outcomes of reusing idle connections and derives for each service after which idle
//! time a connection is still safe for a request that must not run twice.

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

/// A close within this time after a request was sent means that the server had already dropped the
/// idle connection: a round trip plus the delay of a busy box in noticing it. A server that closes
/// later had begun to process the request.
const FORGOTTEN_WITHIN_MS: Millis = 50;

/// Outcomes of connection reuse for one service, shared by the pools of its servers.
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
    /// Creates an empty ledger; `measure` counts connections by outcome, if given.
    pub fn new(service: &str, clock: Clock, measure: Option<IntCounterVec>) -> Self {
        Self {
            service: service.to_string(),
            clock,
            trusted: RefCell::default(),
            measure,
        }
    }

    /// Longest idle time after which a connection may carry a request that must not run twice.
    pub fn trusted_ms(&self) -> Millis {
        self.trusted.borrow().trusted_ms()
    }

    /// Counts a newly opened connection.
    pub fn count_opened(&self) {
        self.count("opened");
    }

    /// Records that an idle connection was found closed by its server.
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
        let is_less = self
            .trusted
            .borrow_mut()
            .record(&reuse, self.clock.now_ms());
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

/// One reuse of an idle connection whose outcome is not known yet. Nothing is recorded if it is
/// dropped without an outcome.
#[derive(Debug)]
pub struct Reuse {
    ledger: Rc<ReuseLedger>,
    server: ServerKey,
    rested_ms: Millis,
    is_at_risk: bool,
    /// When a connection of the server last gave no response; those idle since before are not
    /// trusted.
    silent_ms: Rc<Cell<Millis>>,
}

impl Reuse {
    /// Begins a reuse after `rested_ms` of idle time; `runs_once` if the request must not run
    /// twice.
    pub(super) fn begin(
        ledger: &Rc<ReuseLedger>,
        server: ServerKey,
        rested_ms: Millis,
        runs_once: bool,
        silent_ms: &Rc<Cell<Millis>>,
    ) -> Self {
        let is_at_risk = runs_once && ledger.trusted.borrow_mut().record_at_risk(rested_ms);
        Self {
            ledger: Rc::clone(ledger),
            server,
            rested_ms,
            is_at_risk,
            silent_ms: Rc::clone(silent_ms),
        }
    }

    /// Records that the response head arrived.
    pub fn note_answered(self) {
        self.note(ReuseOutcome::Answered);
    }

    /// Records that the connection was found closed before the request was sent.
    pub fn note_found_closed(self) {
        self.note(ReuseOutcome::FoundClosed);
    }

    /// Records a close `after_ms` after the request was sent; only an early one counts against
    /// reuse.
    pub fn note_closed(self, after_ms: Millis) {
        if after_ms <= FORGOTTEN_WITHIN_MS {
            self.note(ReuseOutcome::Broken);
        }
    }

    /// Records that no response came in time. The server's connections that are idle now are no
    /// longer trusted.
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
        if self.is_at_risk {
            self.ledger.trusted.borrow_mut().release();
        }
    }
}
