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

/// A close within this time after a request was sent means that the server had already closed the
/// idle connection: a round trip plus the time that a busy box takes to notice it. A server that
/// closes later had begun to process the request.
const STALE_CLOSE_MS: Millis = 50;

/// Outcomes of connection reuse for one service, shared by the pools of its servers.
#[derive(Debug)]
pub struct ReuseLedger {
    service: String,
    clock: Clock,
    limit: RefCell<IdleReuseLimit>,
    connections: Option<IntCounterVec>,
}

#[derive(Serialize)]
struct LimitReducedEvent<'a> {
    service: &'a str,
    cause: &'static str,
    rested_ms: Millis,
    trusted_ms: Millis,
}

impl ReuseLedger {
    /// Creates an empty ledger; `connections` counts connections by outcome, if given.
    pub fn new(service: &str, clock: Clock, connections: Option<IntCounterVec>) -> Self {
        Self {
            service: service.to_string(),
            clock,
            limit: RefCell::default(),
            connections,
        }
    }

    /// Longest idle time after which a connection may carry a request that must not run twice.
    pub fn limit_ms(&self) -> Millis {
        self.limit.borrow().trusted_ms()
    }

    /// Counts a newly opened connection.
    pub fn count_opened(&self) {
        self.count("opened");
    }

    /// Records that an idle connection was found closed by its server.
    pub fn record_found_closed(&self, server: ServerKey, rested_ms: Millis) {
        self.record(server, rested_ms, ReuseOutcome::FoundClosed);
    }

    fn count(&self, outcome: &str) {
        if let Some(connections) = &self.connections {
            connections.with_label_values(&[outcome]).inc();
        }
    }

    fn record(&self, server: ServerKey, rested_ms: Millis, end: ReuseOutcome) {
        self.count(end.name());
        let reuse = idle_reuse::Reuse {
            server,
            rested_ms,
            end,
        };
        let is_reduced = self.limit.borrow_mut().record(&reuse, self.clock.now_ms());
        if is_reduced {
            let event = LimitReducedEvent {
                service: &self.service,
                cause: end.name(),
                rested_ms,
                trusted_ms: self.limit_ms(),
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
    /// reused for requests that must not run twice.
    last_silent_ms: Rc<Cell<Millis>>,
}

impl Reuse {
    /// Begins a reuse after `rested_ms` of idle time; `runs_once` if the request must not run
    /// twice.
    pub(super) fn begin(
        ledger: &Rc<ReuseLedger>,
        server: ServerKey,
        rested_ms: Millis,
        runs_once: bool,
        last_silent_ms: &Rc<Cell<Millis>>,
    ) -> Self {
        let is_at_risk = runs_once && ledger.limit.borrow_mut().record_at_risk(rested_ms);
        Self {
            ledger: Rc::clone(ledger),
            server,
            rested_ms,
            is_at_risk,
            last_silent_ms: Rc::clone(last_silent_ms),
        }
    }

    /// Records that the response head arrived.
    pub fn record_answered(self) {
        self.record(ReuseOutcome::Answered);
    }

    /// Records that the connection was found closed before the request was sent.
    pub fn record_found_closed(self) {
        self.record(ReuseOutcome::FoundClosed);
    }

    /// Records a close `after_ms` after the request was sent; only an early one counts against
    /// reuse.
    pub fn record_closed(self, after_ms: Millis) {
        if after_ms <= STALE_CLOSE_MS {
            self.record(ReuseOutcome::Broken);
        }
    }

    /// Records that no response came in time. The server's connections that are idle now carry no
    /// more requests that must not run twice.
    pub fn record_silent(self) {
        self.last_silent_ms.set(self.ledger.clock.now_ms());
        self.record(ReuseOutcome::Silent);
    }

    fn record(&self, end: ReuseOutcome) {
        self.ledger.record(self.server, self.rested_ms, end);
    }
}

impl Drop for Reuse {
    fn drop(&mut self) {
        if self.is_at_risk {
            self.ledger.limit.borrow_mut().release();
        }
    }
}
