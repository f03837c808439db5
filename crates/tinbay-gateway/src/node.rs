//! What all parts of a box share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tinbay_core::serving::budget::SendBudget;
use tinbay_core::serving::claims::ClaimTable;
use tinbay_core::serving::configuration::{Configuration, Limits};
use tinbay_core::serving::routes::RouteTable;
use tinbay_core::serving::servers::ServerRecord;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::latch::Latch;
use crate::members::{MemberRecord, Members};
use crate::metrics::Metrics;
use crate::port::dialect::Dialect;
use crate::port::store::Store;
use crate::servers::{ServerChange, ServerTable};
use crate::settings::Settings;

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    /// Its routes for look-ups.
    pub routes: RouteTable,
    /// Since when it is in force.
    pub since_ms: Millis,
}

/// What all parts of a box share; all of it lives on one thread.
pub struct Node {
    /// What the box was told.
    pub settings: RefCell<Settings>,
    /// Spellings of the surrounding.
    pub dialect: Box<dyn Dialect>,
    /// The key-value store.
    pub store: Box<dyn Store>,
    /// The monotonic clock.
    pub clock: Clock,
    /// Measures.
    pub metrics: Metrics,
    /// The configuration in force.
    pub in_force: RefCell<Option<Rc<InForce>>>,
    /// Named versions of adapters, by `model/name`.
    pub versions: RefCell<HashMap<String, u64>>,
    /// Servers.
    pub servers: RefCell<ServerTable>,
    /// Other boxes.
    pub members: RefCell<Members>,
    /// Claims on servers.
    pub claims: RefCell<ClaimTable>,
    /// Told when loads may have to be ordered.
    pub wanted: Notify,
    /// Whether a planned stop has begun.
    pub is_leaving: Cell<bool>,
    /// Set when callers' connections must end.
    pub closing: Latch,
    /// Connections of callers that are open.
    pub connections: Cell<usize>,
    /// Second sends by service.
    pub budgets: RefCell<HashMap<String, SendBudget>>,
}

impl Node {
    /// A box that knows nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        store: Box<dyn Store>,
        metrics: Metrics,
    ) -> Self {
        Self {
            settings: RefCell::new(settings),
            dialect,
            store,
            clock: Clock::start(),
            metrics,
            in_force: RefCell::default(),
            versions: RefCell::default(),
            servers: RefCell::default(),
            members: RefCell::default(),
            claims: RefCell::default(),
            wanted: Notify::new(),
            is_leaving: Cell::default(),
            closing: Latch::default(),
            connections: Cell::default(),
            budgets: RefCell::default(),
        }
    }

    /// Takes note of a server's entry.
    pub fn note_server(&self, _record: &ServerRecord, _change: ServerChange) {}

    /// Takes note that a server is gone.
    pub fn forget_server(&self, _id: &str) {}

    /// Milliseconds on the monotonic clock.
    pub fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Bounds on what callers send.
    pub fn limits(&self) -> Limits {
        match self.in_force() {
            Some(in_force) => in_force.configuration.limits.clone(),
            None => Limits::default(),
        }
    }

    /// What this box says about itself.
    pub fn own_record(&self) -> MemberRecord {
        let settings = self.settings.borrow();
        MemberRecord {
            front: settings.front,
            peer: settings.peer,
            zone: settings.zone.clone(),
            is_leaving: self.is_leaving.get(),
        }
    }

    /// Boxes that are up, this one included.
    pub fn box_count(&self) -> usize {
        let now_ms = self.now_ms();
        let own = &self.settings.borrow().box_id;
        let members = self.members.borrow();
        let others = members
            .all()
            .filter(|(id, member)| *id != own && member.is_up(now_ms))
            .count();
        others + 1
    }

    /// Whether this box knows enough to serve.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.get() && self.in_force.borrow().is_some() && !self.servers.borrow().is_empty()
    }

    /// The adapter's version that the operators named last.
    pub fn named_version(&self, adapter: &str) -> Option<u64> {
        self.versions.borrow().get(adapter).copied()
    }
}
