//! The state of one box that its tasks share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use tinbay_core::accounts::account::Account;
use tinbay_core::accounts::priority::PriorityRanks;
use tinbay_core::memory::terms::MemoryTerms;
use tinbay_core::resumption::fingerprint;
use tinbay_core::serving::claims::{
    ClaimTable, ClaimTerms, OwnProcess, ProcessId, Proof, RecordOutcome,
};
use tinbay_core::serving::configuration::{Configuration, EngineProperties, Limits};
use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::pacing::LoadQuotaCounter;
use tinbay_core::serving::position::Era;
use tinbay_core::serving::prefill::PrefillRate;
use tinbay_core::serving::routes::RouteTable;
use tinbay_core::serving::servers::{Fingerprint, ServerKey, ServerRecord};
use tinbay_core::serving::versions::PublishedVersions;
use tinbay_core::serving::wanted_loads::WantedLoad;
use tinbay_core::sharing::weights::AccountWeights;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::crashes::Crashes;
use crate::front::forward::Forwarding;
use crate::front::inbound::InboundRequest;
use crate::front::retry_budget::RetryBudgets;
use crate::front::slow_callers::SlowCallers;
use crate::handover::split::Splits;
use crate::http::call::HttpClient;
use crate::http::pump::AnswerWatch;
use crate::latch::Latch;
use crate::limits::Limits as BoxLimits;
use crate::links::Links;
use crate::members::{MemberRecord, Members, box_fingerprint};
use crate::memory::BoxMemory;
use crate::metrics::Metrics;
use crate::orders::claiming;
use crate::orders::held_server::{HeldServer, LoadSnapshot};
use crate::orders::undelivered::{ORDER_DELIVERY_MS, UndeliveredOrders};
use crate::peers::frame::{FramePart, LoadRequestPart};
use crate::peers::outbox::Outbox;
use crate::port::dialect::Dialect;
use crate::port::store::{Item, Store};
use crate::resumption::Resumption;
use crate::servers::view::ViewEntry;
use crate::servers::{RunningRequest, Server, ServerTable};
use crate::settings::Settings;
use crate::sharing::Sharing;
use crate::slots::Slots;
use crate::waiters::Waiters;
use crate::watch::access::StoreAccess;
use crate::watch::boxes::{MEMBER_PREFIX, PREFIX as BOXES_PREFIX};
use crate::watch::replica::Replica;
use crate::watch::source::StoreReadLimiters;

/// How long a proof that this box may order its servers is valid. It outlasts common store outages
/// of 4 to 8 s, plus the age that a proof from the watch already has when the outage begins. Its
/// price: the servers of a box that has failed for good are taken over later by as much.
const PROOF_LIFE_MS: Millis = 12_000;

/// Safety margin for clock drift between boxes and for the time between a check and a send.
const CLAIM_MARGIN_MS: Millis = 500;

/// Fraction of the time limit for a version change during which requests may still be sent with
/// the older version; the rest is left for requests that queue at a server before they run.
const OLDER_VERSION_FRACTION: f64 = 0.4;

/// Weight of a server's usual time to first byte in its load, beside the running requests and the
/// prompt backlog: slow servers are less preferred.
const DELAY_WEIGHT: f64 = 0.5;

/// How long a box counts as registered after it last saw its own entry in the store: a few watch
/// intervals.
const ENTRY_SEEN_LIFE_MS: Millis = 4_000;

/// Assumed time of an adapter load from the weight store at full speed, until the claim holder
/// reports one.
const DEFAULT_LOAD_MS: f64 = 250.0;

/// The configuration in force, with lookup tables derived from it.
#[derive(Debug)]
pub struct InForce {
    /// The configuration.
    pub configuration: Configuration,
    /// The routes, indexed for lookups.
    pub routes: RouteTable,
    /// Priority ranks with which requests are sent to servers.
    pub ranks: PriorityRanks,
    /// Weights by which client accounts share scarce capacity.
    pub weights: AccountWeights,
    accounts: HashMap<Fingerprint, Rc<Account>>,
    /// The shortest latency objective among the routes of each service.
    objectives_ms: HashMap<String, Millis>,
}

impl InForce {
    /// Builds the lookup tables of a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let accounts = configuration.accounts.all().map(|account| account.priority);
        let routes = configuration.routes.iter().map(|route| route.priority);
        let named = configuration.accounts.all();
        let named = named.map(|account| (box_fingerprint(&account.name), &**account));
        let named: Vec<(Fingerprint, &Account)> = named.collect();
        Self {
            ranks: PriorityRanks::new(accounts, routes),
            accounts: configuration
                .accounts
                .all()
                .map(|account| (box_fingerprint(&account.name), Rc::clone(account)))
                .collect(),
            weights: AccountWeights::new(&named),
            objectives_ms: shortest_objectives_ms(&configuration),
            routes: RouteTable::new(&configuration),
            configuration,
        }
    }

    /// The client account whose name has this fingerprint.
    pub fn account_of(&self, fingerprint: Fingerprint) -> Option<Rc<Account>> {
        self.accounts.get(&fingerprint).cloned()
    }

    /// The shortest latency objective among the routes of a service.
    pub fn shortest_objective_ms(&self, service: &str) -> Option<Millis> {
        self.objectives_ms.get(service).copied()
    }
}

fn shortest_objectives_ms(configuration: &Configuration) -> HashMap<String, Millis> {
    let mut objectives_ms = HashMap::new();
    for route in &configuration.routes {
        for target in &route.targets {
            let shortest_ms = objectives_ms
                .entry(target.service.clone())
                .or_insert(route.objective_ms);
            *shortest_ms = route.objective_ms.min(*shortest_ms);
        }
    }
    objectives_ms
}

/// The shared state of a box; all of it is used from one thread.
pub struct Node {
    /// The settings that the box was started with.
    pub settings: RefCell<Settings>,
    /// Names and formats of the platform that the box runs on.
    pub dialect: Box<dyn Dialect>,
    /// The key-value store.
    pub store: StoreAccess,
    /// Whether this box has asked other boxes, since it started, for items missing from the store.
    pub has_asked_for_missing_items: Cell<bool>,
    /// Items written by operators that the store lost when it was restored from a backup, by key.
    pub kept_items: RefCell<HashMap<String, Item>>,
    /// Local copy of the store, as last seen, which is also passed on to other boxes.
    pub replica: Replica,
    /// Boxes that failed as relays of the store, with the time until which they are not asked.
    pub failed_relays: RefCell<HashMap<String, Millis>>,
    /// Rate limits of this box's own reads of the store, which other boxes normally relay to it.
    pub store_read_limiters: StoreReadLimiters,
    /// Connections to boxes that relay the store.
    pub relay_callers: RefCell<HashMap<SocketAddr, Rc<HttpClient>>>,
    /// Clock for all ages and deadlines.
    pub clock: Clock,
    /// Prometheus metrics of this box.
    pub metrics: Metrics,
    /// The configuration in force.
    pub in_force: RefCell<Option<Rc<InForce>>>,
    /// Named versions of adapters, by `model/name`.
    pub versions: RefCell<HashMap<String, PublishedVersions>>,
    /// Known backend servers.
    pub servers: RefCell<ServerTable>,
    /// Known boxes, with their liveness.
    pub members: RefCell<Members>,
    /// Which box holds the claim on each server.
    pub claims: RefCell<ClaimTable>,
    /// Proof that this box may give orders to the servers whose claims it holds; it expires.
    pub proof: Cell<Proof>,
    /// Contents and state of the servers whose claims this box holds.
    pub held_servers: RefCell<HashMap<ServerKey, Rc<HeldServer>>>,
    /// Orders that may still arrive at servers.
    pub undelivered_orders: Rc<UndeliveredOrders>,
    /// This box's share of the weight store's rate, by service.
    pub load_quotas: RefCell<HashMap<String, LoadQuotaCounter>>,
    /// Requests that wait for an adapter.
    pub waiters: Waiters,
    /// Messages waiting to be sent to other boxes.
    pub outbox: Outbox,
    /// Notified when the box's own entry in the store has to be written.
    pub entry_due: Notify,
    /// When the boxes in the store were last listed completely.
    pub boxes_listed_ms: Cell<Millis>,
    /// When this process first wrote its entry to the store; none before.
    pub entry_since_ms: Cell<Option<Millis>>,
    /// Number of claims whose transactions have no answer yet.
    pub claims_being_written: Cell<usize>,
    /// Whether a planned stop has begun.
    pub is_leaving: Cell<bool>,
    /// Set when callers' connections must be closed.
    pub closing: Latch,
    /// Number of open connections from callers.
    pub connections: Cell<usize>,
    /// Prefill rate of the engines, by service.
    pub prefill_rates: RefCell<HashMap<String, PrefillRate>>,
    /// Requests that servers crashed on.
    pub crashes: Crashes,
    /// Software versions, and the streams that they began.
    pub resumption: Resumption,
    /// Limits enforced across all boxes.
    pub limits: BoxLimits,
    /// State of this box's links to the servers.
    pub links: Links,
    /// Connections to the boxes to which it forwards requests.
    pub forwarding: Forwarding,
    /// Engines of each service by role, where some prefill prompts for others.
    pub splits: Splits,
    /// Requests that compete for scarce capacity.
    pub sharing: Sharing,
    /// Slots of brittle servers that this box uses or leases out.
    pub slots: Rc<Slots>,
    /// Budgets for retries and hedges.
    pub budgets: RetryBudgets,
    /// Memory accounting for requests and answers.
    pub memory: Rc<BoxMemory>,
    /// Answers being sent to callers.
    pub answers: Rc<AnswerWatch>,
    /// Number of boxes that were up at the last count, this one included; `None` until the store's
    /// list of boxes has been read.
    pub box_count: Cell<Option<usize>>,
    /// Number of boxes that may be sending requests to servers, counted at the same time.
    senders: Cell<Option<usize>>,
}

/// Names this process, by a number other than 0, which stands for a process that is not named.
fn name_process(settings: &Settings) -> OwnProcess {
    OwnProcess {
        id: rand::rng().random_range(1..=ProcessId::MAX),
        machine: Some(settings.peer.ip()),
    }
}

impl Node {
    /// A box that has not read the store yet.
    pub fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        store: Box<dyn Store>,
        metrics: Metrics,
    ) -> Self {
        let members = Members::new(&settings.zone);
        let own_process = name_process(&settings);
        let clock = Clock::start();
        let servers =
            ServerTable::new(clock).with_connection_metric(metrics.server_connections.clone());
        let memory_terms = MemoryTerms::of_memory(settings.resources.memory_mb);
        let memory = Rc::new(BoxMemory::new(memory_terms, metrics.held_bytes.clone()));
        let cuts = Box::new(SlowCallers::new(metrics.slow_caller_cuts.clone()));
        let answers = Rc::new(AnswerWatch::new(clock, Rc::clone(&memory), cuts));
        Self {
            settings: RefCell::new(settings),
            dialect,
            store: StoreAccess::new(store, clock),
            has_asked_for_missing_items: Cell::default(),
            kept_items: RefCell::default(),
            replica: Replica::default(),
            failed_relays: RefCell::default(),
            store_read_limiters: StoreReadLimiters::default(),
            relay_callers: RefCell::default(),
            clock,
            metrics,
            in_force: RefCell::default(),
            versions: RefCell::default(),
            servers: RefCell::new(servers),
            members: RefCell::new(members),
            claims: RefCell::new(ClaimTable::of_process(own_process)),
            proof: Cell::default(),
            held_servers: RefCell::default(),
            undelivered_orders: Rc::new(UndeliveredOrders::new(clock)),
            load_quotas: RefCell::default(),
            waiters: Waiters::default(),
            outbox: Outbox::default(),
            entry_due: Notify::new(),
            boxes_listed_ms: Cell::default(),
            entry_since_ms: Cell::default(),
            claims_being_written: Cell::default(),
            is_leaving: Cell::default(),
            closing: Latch::default(),
            connections: Cell::default(),
            prefill_rates: RefCell::default(),
            crashes: Crashes::default(),
            resumption: Resumption::default(),
            limits: BoxLimits::default(),
            links: Links::default(),
            forwarding: Forwarding::new(clock),
            splits: Splits::default(),
            sharing: Sharing::default(),
            slots: Rc::default(),
            budgets: RetryBudgets::default(),
            memory,
            answers,
            box_count: Cell::default(),
            senders: Cell::default(),
        }
    }

    /// Current time on the box's clock.
    pub fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    /// The configuration in force.
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Time since this box's copy of the operators' configuration was last known to be complete.
    pub fn configuration_age_ms(&self) -> Millis {
        let complete_ms = self.replica.complete_ms(&self.dialect.keys().operator);
        complete_ms.map_or(Millis::MAX, |complete_ms| {
            self.now_ms().saturating_sub(complete_ms)
        })
    }

    /// Limits on requests from callers; the defaults while no configuration is in force.
    pub fn limits(&self) -> Limits {
        match self.in_force() {
            Some(in_force) => in_force.configuration.limits.clone(),
            None => Limits::default(),
        }
    }

    /// The record that this box publishes about itself.
    pub fn own_record(&self) -> MemberRecord {
        let settings = self.settings.borrow();
        MemberRecord {
            front: settings.front,
            peer: settings.peer,
            control: settings.metrics,
            zone: settings.zone.clone(),
            is_leaving: self.is_leaving.get(),
            capacity: settings.resources.capacity(),
        }
    }

    /// Whether this box sees its own entry in the store, in which case other boxes see it too.
    pub fn is_registered(&self) -> bool {
        let own_key = format!("{MEMBER_PREFIX}{}", self.settings.borrow().box_id);
        self.replica.item(BOXES_PREFIX, &own_key).is_some()
    }

    /// Whether this box has recently seen its own entry in the store.
    pub fn is_surely_registered(&self) -> bool {
        let seen_ms = self.replica.confirmed_ms(BOXES_PREFIX).unwrap_or_default();
        self.is_registered() && self.now_ms() < seen_ms + ENTRY_SEEN_LIFE_MS
    }

    /// Number of boxes that may be sending requests to servers at the last count, this one included;
    /// `None` until this box has had a current copy of the store's list of boxes, as the first one it
    /// reads may be some seconds old.
    pub fn sender_count(&self) -> Option<usize> {
        let confirmed_ms = self.replica.confirmed_ms(BOXES_PREFIX).unwrap_or_default();
        self.senders.get().filter(|_| confirmed_ms > 0)
    }

    /// Updates `box_count` and `sender_count`, once the boxes are known.
    pub fn count_boxes(&self) {
        if self.boxes_listed_ms.get() == 0 {
            return;
        }
        let now_ms = self.now_ms();
        let own = &self.settings.borrow().box_id;
        let members = self.members.borrow();
        let others = members
            .others(own)
            .filter(|(_, member)| member.is_up(now_ms))
            .count();
        self.box_count.set(Some(others + 1));
        self.senders.set(Some(members.count_senders(own, now_ms)));
    }

    /// Records that a server with this entry is or was listed until now.
    pub fn observe_version(&self, record: &ServerRecord) {
        let service = fingerprint(&record.service);
        let version = fingerprint(record.software_version.as_str());
        let mut history = self.resumption.history.borrow_mut();
        history.observe(service, version, self.now_ms());
    }

    /// Whether this box can serve: it has a configuration and servers, and is not stopping.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.get()
            && self.in_force.borrow().is_some()
            && !self.servers.borrow().is_empty()
    }

    /// The adapter's version that the operators named last.
    pub fn named_version(&self, adapter: &str) -> Option<u64> {
        self.versions.borrow().get(adapter)?.newest()
    }

    /// Time since this box learnt of the adapter's newest named version; `None` if it was named
    /// before the box started.
    pub fn named_age_ms(&self, adapter: &str) -> Option<Millis> {
        let learnt_ms = self.versions.borrow().get(adapter)?.learnt_ms()?;
        Some(self.now_ms().saturating_sub(learnt_ms))
    }

    /// Time by which a request on a version of an adapter must have begun; `None` while that is the
    /// newest one.
    pub fn begin_by_ms(&self, adapter: &str, version: u64) -> Option<Millis> {
        self.versions.borrow().get(adapter)?.begin_by_ms(version)
    }

    /// Whether a request may be sent with a version of an adapter that is not the newest one.
    pub fn may_serve_older(&self, adapter: &str, version: u64) -> bool {
        let allowed_ms = self.settings.borrow().bounds.version_within_ms;
        let reserved_ms = (allowed_ms as f64 * (1.0 - OLDER_VERSION_FRACTION)) as Millis;
        let begin_by_ms = self.begin_by_ms(adapter, version);
        begin_by_ms.is_none_or(|begin_by_ms| self.now_ms() + reserved_ms < begin_by_ms)
    }

    /// Moves the claims to the store's current era; to be called before claims of that era are
    /// used.
    pub fn sync_era(&self) {
        let Some(era) = self.store.era() else {
            return;
        };
        let mut claims = self.claims.borrow_mut();
        if claims.era() != Some(era) {
            let proof_end_ms = self.proof.get().end_ms(&self.claim_terms());
            let is_first = claims.era().is_none();
            claims.begin_era(era, proof_end_ms, self.now_ms());
            if is_first && self.settings.borrow().is_first_start {
                claims.record_settled(era);
            }
        }
    }

    /// The era of the store, unless it is marked as settled there.
    pub fn unsettled_era(&self) -> Option<Era> {
        let era = self.store.era()?;
        let settled = self.claims.borrow().settled_era();
        (settled != Some(era)).then_some(era)
    }

    /// How long ago this box first saw the store in its present era.
    pub fn era_age_ms(&self) -> Millis {
        let seen_ms = self.claims.borrow().era_seen_ms().unwrap_or_default();
        self.now_ms().saturating_sub(seen_ms)
    }

    /// Records a claim as read from the store.
    pub fn record_claim(&self, address: &str, item: &Item) {
        self.sync_era();
        let mut claims = self.claims.borrow_mut();
        let outcome = claims.record(address, &item.value, item.position, self.now_ms());
        if outcome == RecordOutcome::Unreadable {
            let unreadable = &self.metrics.unreadable;
            unreadable.with_label_values(&["claim"]).inc();
            claiming::log_unreadable(address, item.position);
        }
    }

    /// Timing rules for holding and taking over claims.
    pub fn claim_terms(&self) -> ClaimTerms {
        ClaimTerms {
            proof_life_ms: PROOF_LIFE_MS,
            delivery_ms: ORDER_DELIVERY_MS,
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
        self.sync_era();
        let claims = self.claims.borrow();
        claims.token_of(&server.address_text, own_id, self.now_ms())
    }

    /// Capacity of the engines of a service.
    pub fn engine_properties(&self, service: &str) -> Option<EngineProperties> {
        let in_force = self.in_force()?;
        in_force.configuration.services.get(service)?.engine.clone()
    }

    /// Adapter loads per second that the weight store allows across all engines of a service.
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

    /// Time until a server of a service accepts work again; `None` if one is ready now.
    pub fn available_in_ms(&self, service: &str) -> Option<Millis> {
        let servers = self.servers.borrow();
        if !servers.ready(service).is_empty() {
            return None;
        }
        let end_ms = servers.first_available_ms(service)?;
        Some(end_ms.saturating_sub(self.now_ms()))
    }

    /// State of a server whose claim this box holds.
    pub fn held_server(&self, server: ServerKey) -> Option<Rc<HeldServer>> {
        self.held_servers.borrow().get(&server).cloned()
    }

    /// Asks the box that holds the server's claim to load an adapter there.
    pub fn request_load(&self, server: &Server, wanted_load: WantedLoad) {
        let now_ms = self.now_ms();
        if let Some(held) = self.held_server(server.key) {
            let own_id = self.settings.borrow().box_id.clone();
            held.record_load_request(&own_id, wanted_load, now_ms);
            server.order_due.notify_one();
            return;
        }
        let Some(holder) = self.holder_of(server) else {
            return;
        };
        server.view.borrow_mut().record_request(now_ms);
        let part = LoadRequestPart {
            server: server.fingerprint(),
            adapter: wanted_load.adapter,
            version: wanted_load.version,
            is_copy: wanted_load.is_copy,
        };
        self.outbox.post(&holder, FramePart::LoadRequest(part));
    }

    /// Asks the claim holder for the server's status.
    pub fn request_status(&self, server: &Server) {
        if let Some(holder) = self.holder_of(server) {
            server.view.borrow_mut().record_request(self.now_ms());
            let part = FramePart::StatusRequest(server.fingerprint());
            self.outbox.post(&holder, part);
        }
    }

    /// Makes the claim holder check whether the server has restarted, as it refused a request for
    /// an adapter that it should hold.
    pub fn report_contents_mismatch(&self, server: &Server) {
        if let Some(held) = self.held_server(server.key) {
            held.restart_check_due.set(true);
            server.order_due.notify_one();
        } else if let Some(holder) = self.holder_of(server) {
            let part = FramePart::ContentsMismatch(server.fingerprint());
            self.outbox.post(&holder, part);
        }
    }

    /// Whether a server could begin an adapter load, as far as this box knows.
    pub fn takes_loads(&self, server: &Server) -> bool {
        match self.held_server(server.key) {
            Some(held) => held.takes_loads(self, server),
            None => {
                let takes_loads = server.view.borrow().takes_loads(self.now_ms());
                takes_loads && self.has_responsive_holder(server)
            }
        }
    }

    /// Expected time until an adapter load requested now would be done.
    pub fn load_wait_ms(&self, server: &Server) -> f64 {
        let reported_ms = match self.held_server(server.key) {
            Some(held) => Some(held.load_wait_ms()),
            None => server.view.borrow().load_wait_ms(self.now_ms()),
        };
        reported_ms.unwrap_or(DEFAULT_LOAD_MS)
    }

    /// Whether the claim holder has reported the server's status since `asked_ms`.
    pub fn has_status_since(&self, server: &Server, asked_ms: Millis) -> bool {
        let is_held = self.held_server(server.key).is_some();
        is_held || server.view.borrow().has_status_since(asked_ms)
    }

    /// Whether a status request could yield news about the server's load: another live box holds
    /// the claim and answers, and its last status is not fresh.
    pub fn should_request_status(&self, server: &Server) -> bool {
        let now_ms = self.now_ms();
        let view = server.view.borrow();
        let is_needless = view.is_fresh(now_ms) || view.is_silent(now_ms);
        self.held_server(server.key).is_none() && !is_needless && self.has_holder(server)
    }

    /// Load of a server: running requests relative to its slots, prompt backlog relative to the
    /// objective, and its usual time to first byte.
    pub fn load(&self, server: &Server, objective_ms: Millis) -> f64 {
        let now_ms = self.now_ms();
        let load_snapshot = self.load_snapshot(server, now_ms);
        let fullness = self.running(server) as f64 / server.record().slots.max(1) as f64;
        let backlog = load_snapshot.backlog_ms / objective_ms.max(1) as f64;
        let slowed = server.slowed_load(fullness + backlog, objective_ms, now_ms);
        slowed + DELAY_WEIGHT * load_snapshot.delay.max(server.delay(now_ms))
    }

    /// Requests of all boxes that run at a server, as far as this box knows.
    pub fn running(&self, server: &Server) -> usize {
        let elsewhere = self.load_snapshot(server, self.now_ms()).running_elsewhere;
        server.usage.borrow().running() + elsewhere
    }

    fn load_snapshot(&self, server: &Server, now_ms: Millis) -> LoadSnapshot {
        if let Some(held) = self.held_server(server.key) {
            let own_id = &self.settings.borrow().box_id;
            return held.load_snapshot(own_id, now_ms);
        }
        let view = server.view.borrow();
        LoadSnapshot {
            delay: view.delay(now_ms),
            running_elsewhere: view.running_elsewhere(now_ms),
            backlog_ms: view.backlog_ms(now_ms),
            failure_penalty: view.failure_penalty(now_ms),
        }
    }

    /// Last known state of an adapter on a server.
    pub fn entry(&self, server: &Server, key: AdapterKey) -> Option<ViewEntry> {
        match self.held_server(server.key) {
            Some(held) => held.entry(server, key, self.now_ms()),
            None => server.adapter(key),
        }
    }

    /// Failure penalty of a server: the higher of this box's own and the claim holder's.
    pub fn failure_penalty(&self, server: &Server) -> f64 {
        let now_ms = self.now_ms();
        let told = self.load_snapshot(server, now_ms).failure_penalty;
        server.failure_penalty(now_ms).max(told)
    }

    /// Whether the claim on a server is held by this box, or by a box that may be alive and
    /// answers.
    pub fn has_responsive_holder(&self, server: &Server) -> bool {
        let is_silent = server.view.borrow().is_silent(self.now_ms());
        self.held_server(server.key).is_some() || (!is_silent && self.has_holder(server))
    }

    /// Whether the box that manages a server can tell what it holds: this box has read its report, or
    /// another box answers for it.
    pub fn has_readable_contents(&self, server: &Server) -> bool {
        match self.held_server(server.key) {
            Some(held) => held.contents.borrow().is_known(),
            None => self.has_responsive_holder(server),
        }
    }

    /// Time that a server needs to prefill its queued prompts before it begins a new request.
    pub fn backlog_ms(&self, server: &Server) -> f64 {
        self.load_snapshot(server, self.now_ms()).backlog_ms
    }

    /// Records a request's time to first byte, given the server's prompt backlog at that time.
    pub fn record_prefill(&self, inbound: &InboundRequest, backlog_ms: f64, took_ms: Millis) {
        let mut rates = self.prefill_rates.borrow_mut();
        let rate = rates.entry(inbound.service.clone()).or_default();
        rate.record_answer(inbound.prompt.tokens, backlog_ms, took_ms as f64);
    }

    /// Expected prefill time of `tokens` prompt tokens on an engine of a service.
    pub fn prefill_ms(&self, service: &str, tokens: u32) -> f64 {
        let rates = self.prefill_rates.borrow();
        let rate = rates.get(service).copied().unwrap_or_default();
        rate.time_ms(tokens)
    }

    /// Registers a request that is being sent to a server.
    pub fn begin_request(
        &self,
        server: &Rc<Server>,
        inbound: &InboundRequest,
        tokens: u32,
    ) -> RunningRequest {
        if inbound.model_key.is_some() {
            let prefill_ms = self.prefill_ms(&inbound.service, tokens);
            let mut view = server.view.borrow_mut();
            view.add_to_backlog(prefill_ms, self.now_ms());
            self.outbox.post_usage(server.key);
        }
        server.begin_request(inbound.model_key, tokens)
    }

    /// The box that holds the claim on a server.
    pub fn holder_of(&self, server: &Server) -> Option<String> {
        let claims = self.claims.borrow();
        claims.holder_of(&server.address_text).map(str::to_string)
    }

    /// Whether the claim on a server is held by a box that may be alive.
    pub fn has_holder(&self, server: &Server) -> bool {
        let claims = self.claims.borrow();
        let Some(holder) = claims.holder_of(&server.address_text) else {
            return false;
        };
        if holder == self.settings.borrow().box_id {
            return true;
        }
        let members = self.members.borrow();
        let now_ms = self.now_ms();
        members
            .get(holder)
            .is_some_and(|member| member.is_up(now_ms))
    }
}
