//! What one request was told of room at servers, for its line and its next try.

use std::cell::{Cell, RefCell};

use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

/// What let a request in while its server had too little room, or turned it away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomOutcome {
    /// The server's holder let it in.
    Holder,
    /// The holder did not answer, and this box had nothing running there.
    OwnPart,
    /// The holder turned it away.
    TurnedAway,
    /// The holder did not answer, and this box had something running there.
    NoAnswer,
}

impl RoomOutcome {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            RoomOutcome::Holder => "holder",
            RoomOutcome::OwnPart => "own_part",
            RoomOutcome::TurnedAway => "turned_away",
            RoomOutcome::NoAnswer => "no_answer",
        }
    }
}

/// What one request was told of room at servers.
#[derive(Debug, Default)]
pub struct RoomTaken {
    outcome: Cell<Option<RoomOutcome>>,
    wait_ms: Cell<Option<Millis>>,
    without: RefCell<Vec<ServerKey>>,
}

impl RoomTaken {
    /// Notes how a question for room ended, and how long that took.
    pub fn note(&self, outcome: RoomOutcome, took_ms: Millis) {
        self.outcome.set(Some(outcome));
        let before_ms = self.wait_ms.get().unwrap_or_default();
        self.wait_ms.set(Some(before_ms + took_ms));
    }

    /// Notes a server without room for it.
    pub fn note_without(&self, server: ServerKey) {
        self.without.borrow_mut().push(server);
    }

    /// Whether a server had no room for it.
    pub fn is_without(&self, server: ServerKey) -> bool {
        self.without.borrow().contains(&server)
    }

    /// Servers that had no room for it.
    pub fn without_count(&self) -> usize {
        self.without.borrow().len()
    }

    /// How the last question ended; none where none was asked.
    pub fn outcome(&self) -> Option<RoomOutcome> {
        self.outcome.get()
    }

    /// How long it waited in all; none where none was asked.
    pub fn wait_ms(&self) -> Option<Millis> {
        self.wait_ms.get()
    }
}
