//! Outcomes of the admission requests that were made for one caller's request at scarce backend
//! servers, for its log line and its retries.

use std::cell::{Cell, RefCell};

use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

/// Outcome of an admission request at a scarce server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The server's holder admitted the request.
    Holder,
    /// The holder did not answer; admitted as this box had no request running there.
    WithoutHolder,
    /// The holder rejected the request.
    Rejected,
    /// The holder did not answer; rejected as this box had requests running there.
    NoAnswer,
}

impl AdmissionOutcome {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionOutcome::Holder => "holder",
            AdmissionOutcome::WithoutHolder => "own_part",
            AdmissionOutcome::Rejected => "turned_away",
            AdmissionOutcome::NoAnswer => "no_answer",
        }
    }
}

/// Outcomes of the admission requests that were made for one caller's request.
#[derive(Debug, Default)]
pub struct AdmissionOutcomes {
    outcome: Cell<Option<AdmissionOutcome>>,
    wait_ms: Cell<Option<Millis>>,
    full_servers: RefCell<Vec<ServerKey>>,
}

impl AdmissionOutcomes {
    /// Records the outcome of an admission request and how long it took.
    pub fn record(&self, outcome: AdmissionOutcome, took_ms: Millis) {
        self.outcome.set(Some(outcome));
        let before_ms = self.wait_ms.get().unwrap_or_default();
        self.wait_ms.set(Some(before_ms + took_ms));
    }

    /// Records a server that had no capacity for the request.
    pub fn record_full(&self, server: ServerKey) {
        self.full_servers.borrow_mut().push(server);
    }

    /// Whether a server had no capacity for the request.
    pub fn is_full(&self, server: ServerKey) -> bool {
        self.full_servers.borrow().contains(&server)
    }

    /// Number of servers that had no capacity for the request.
    pub fn full_count(&self) -> usize {
        self.full_servers.borrow().len()
    }

    /// Outcome of the last admission request; `None` if there was none.
    pub fn outcome(&self) -> Option<AdmissionOutcome> {
        self.outcome.get()
    }

    /// Total time spent waiting for decisions; `None` if there was no admission request.
    pub fn wait_ms(&self) -> Option<Millis> {
        self.wait_ms.get()
    }
}
