//! What all parts of a box share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tinbay_core::serving::asking::Asking;
use tinbay_core::serving::budget::SendBudget;
use tinbay_core::serving::claims::{ClaimTable, ClaimTerms, Proof};
use tinbay_core::serving::configuration::{Configuration, EngineSpec, Limits};
use tinbay_core::serving::contents::Contents;
use tinbay_core::serving::ledger::Ledger;
use tinbay_core::serving::pacing::LoadPace;
use tinbay_core::serving::placing::Placing;
use tinbay_core::serving::routes::RouteTable;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::latch::Latch;
use crate::members::{MemberRecord, Members};
use crate::metrics::Metrics;
use crate::port::dialect::Dialect;
use crate::port::store::Store;
use crate::servers::{Server, ServerKey, ServerTable};
use crate::settings::Settings;
use crate::uses::Uses;
use crate::waiters::Waiters;

/// How long a proof lasts: longer than usual outages of the store.
const PROOF_LIFE_MS: Millis = 10_000;

/// Time for orders under way and for clocks that run apart.
const CLAIM_MARGIN_MS: Millis = 500;

/// Part of the time allowed for a new version in which the older one still serves; the rest is
/// left for requests that wait at a server before they run.
const OLDER_VERSION_PART: f64 = 0.4;

/// A version of an adapter that the operators named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// When it was seen to replace another; none where it was there when this box came.
    pub changed_ms: Option<Millis>,
}

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    /// Its routes for look-ups.
    pub routes: RouteTable,
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
    pub versions: RefCell<HashMap<String, NamedVersion>>,
    /// Servers.
    pub servers: RefCell<ServerTable>,
    /// Other boxes.
    pub members: RefCell<Members>,
    /// Claims on servers.
    pub claims: RefCell<ClaimTable>,
    /// Proof that this box may order.
    pub proof: Cell<Proof>,
    /// What the servers hold whose claims this box holds.
    pub books: RefCell<HashMap<ServerKey, Rc<RefCell<Contents>>>>,
    /// This box's share of the weight store's rate, by service.
    pub paces: RefCell<HashMap<String, LoadPace>>,
    /// Which adapters callers of this box wait or waited for.
    pub asking: RefCell<Asking>,
    /// What all boxes ask of the servers held here.
    pub ledger: RefCell<Ledger>,
    /// Where adapters go that are asked of the servers held here.
    pub placing: RefCell<Placing>,
    /// Requests that wait for an adapter.
    pub waiters: Waiters,
    /// Uses of adapters that their holders do not know yet.
    pub uses: RefCell<Uses>,
    /// Told when a message to other boxes is due.
    pub frames_due: Notify,
    /// Told when other boxes must know at once what this one says about itself.
    pub hello_due: Notify,
    /// Servers held here whose contents other boxes do not know yet.
    pub changed_books: RefCell<HashSet<ServerKey>>,
    /// Boxes that are to know at once what is wanted of them.
    pub frames_to: RefCell<HashSet<String>>,
    /// Told when the box's own entry in the store is due to be written.
    pub entry_due: Notify,
    /// When the boxes in the store were last listed whole.
    pub boxes_listed_ms: Cell<Millis>,
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
            proof: Cell::default(),
            books: RefCell::default(),
            paces: RefCell::default(),
            asking: RefCell::default(),
            ledger: RefCell::default(),
            placing: RefCell::default(),
            waiters: Waiters::default(),
            uses: RefCell::default(),
            frames_due: Notify::new(),
            hello_due: Notify::new(),
            changed_books: RefCell::default(),
            frames_to: RefCell::default(),
            entry_due: Notify::new(),
            boxes_listed_ms: Cell::default(),
            is_leaving: Cell::default(),
            closing: Latch::default(),
            connections: Cell::default(),
            budgets: RefCell::default(),
        }
    }

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
            can_order: self.can_order(),
        }
    }

    /// Boxes that are up, this one included.
    pub fn box_count(&self) -> usize {
        let now_ms = self.now_ms();
        let own = &self.settings.borrow().box_id;
        let members = self.members.borrow();
        let others = members
            .others(own)
            .filter(|(_, member)| member.is_up(now_ms))
            .count();
        others + 1
    }

    /// Whether this box knows enough to serve.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.get()
            && self.in_force.borrow().is_some()
            && !self.servers.borrow().is_empty()
    }

    /// The adapter's version that the operators named last.
    pub fn named_version(&self, adapter: &str) -> Option<u64> {
        let versions = self.versions.borrow();
        versions.get(adapter).map(|named| named.version)
    }

    /// Whether an older version of an adapter may still serve.
    pub fn may_serve_older(&self, adapter: &str) -> bool {
        let allowed_ms = self.settings.borrow().bounds.version_within_ms;
        let grace_ms = (allowed_ms as f64 * OLDER_VERSION_PART) as Millis;
        let versions = self.versions.borrow();
        versions.get(adapter).is_none_or(|named| {
            named
                .changed_ms
                .is_some_and(|changed_ms| self.now_ms() < changed_ms + grace_ms)
        })
    }

    /// Spans that holders and takers of claims keep.
    pub fn claim_terms(&self) -> ClaimTerms {
        ClaimTerms {
            proof_life_ms: PROOF_LIFE_MS,
            holder_gap_ms: self.settings.borrow().bounds.holder_gap_ms,
            margin_ms: CLAIM_MARGIN_MS,
        }
    }

    /// Whether this box may give orders to the servers it holds.
    pub fn can_order(&self) -> bool {
        !self.is_leaving.get() && self.proof.get().holds(&self.claim_terms(), self.now_ms())
    }

    /// The token with which this box may order a server now.
    pub fn order_token(&self, server: &Server) -> Option<u64> {
        if !self.can_order() {
            return None;
        }
        let own_id = &self.settings.borrow().box_id;
        self.claims.borrow().token_of(&server.address_text, own_id)
    }

    /// What the engines of a service have room for.
    pub fn engine_spec(&self, service: &str) -> Option<EngineSpec> {
        let in_force = self.in_force()?;
        in_force.configuration.services.get(service)?.engine.clone()
    }

    /// Loads a second that the weight store allows over all engines of a service.
    pub fn loads_per_s(&self, service: &str) -> Option<f64> {
        let in_force = self.in_force()?;
        let engine = in_force
            .configuration
            .services
            .get(service)?
            .engine
            .as_ref()?;
        Some(engine.loads_per_s)
    }

    /// Has a message sent to a box at once.
    pub fn tell_box(&self, box_id: &str) {
        self.frames_to.borrow_mut().insert(box_id.to_string());
        self.frames_due.notify_one();
    }

    /// Services of which this box holds servers.
    pub fn held_services(&self) -> HashSet<String> {
        let servers = self.servers.borrow();
        let books = self.books.borrow();
        books
            .keys()
            .filter_map(|key| servers.by_key(*key))
            .map(|server| server.record().service.clone())
            .collect()
    }

    /// Servers of a service that are held here and take work.
    pub fn held_of_service(&self, service: &str) -> Vec<Rc<Server>> {
        let servers = self.servers.borrow();
        let books = self.books.borrow();
        let mut held = servers.ready(service);
        held.retain(|server| books.contains_key(&server.key));
        held
    }

    /// Has all boxes told what a server held here holds.
    pub fn tell_contents(&self, server: ServerKey) {
        self.changed_books.borrow_mut().insert(server);
        self.frames_due.notify_one();
    }

    /// Servers whose claims a box holds.
    pub fn servers_held_by(&self, box_id: &str) -> HashSet<ServerKey> {
        let claims = self.claims.borrow();
        let servers = self.servers.borrow();
        servers
            .all()
            .filter(|server| claims.token_of(&server.address_text, box_id).is_some())
            .map(|server| server.key)
            .collect()
    }

    /// Enters into the ledger what this box itself asks of the servers it holds.
    pub fn note_own_wants(&self) {
        let now_ms = self.now_ms();
        let books = self.books.borrow();
        let is_own = |server: ServerKey| books.contains_key(&server);
        let told = self.asking.borrow_mut().tell(&is_own, now_ms);
        let own_id = self.settings.borrow().box_id.clone();
        let mut ledger = self.ledger.borrow_mut();
        for (server, want) in &told {
            ledger.note(&own_id, *server, want, now_ms);
        }
    }

    /// The box that holds the claim on a server.
    pub fn holder_of(&self, server: &Server) -> Option<String> {
        let claims = self.claims.borrow();
        claims.holder_of(&server.address_text).map(str::to_string)
    }

    /// Whether the holder of a server can order now, as far as this box knows.
    pub fn has_live_holder(&self, server: &Server) -> bool {
        let claims = self.claims.borrow();
        let Some(holder) = claims.holder_of(&server.address_text) else {
            return false;
        };
        if holder == self.settings.borrow().box_id {
            return self.can_order();
        }
        let now_ms = self.now_ms();
        let members = self.members.borrow();
        members
            .get(holder)
            .is_some_and(|member| member.can_order(now_ms))
    }
}
