//! State shared by the components of one box.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use tinbay_core::config::ConfigStore;
use tinbay_core::ids::{BoxId, EngineId, Incarnation, ModelRef, RequestId};
use tinbay_core::keys::{KeyTable, RequestKey};
use tinbay_core::rendezvous;
use tinbay_core::retry::RetryBudget;
use tinbay_core::route::Router;
use tinbay_core::units::{Millis, Revision};
use tinbay_core::vacancy::Vacancies;
use tinbay_core::view::{BoxRecord, BoxState, heartbeat_period_ms};
use tinbay_wire::control::{Envelope, Message, Reply, Succession};
use tokio::sync::{Notify, mpsc};

use crate::control::{ASK_WITHIN, ControlClient, ControlError};
use crate::controllers::{LoadLimiter, Members, PolicyCache};
use crate::logging::part;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::owners::{BoxLease, OrderJob, OwnedEngine, OwnedEngines};
use crate::platform::{BoxListService, KvService};
use crate::util::clock::{Clock, wall_ms};
use crate::util::sync::{lock, read, write};

/// Number of router shards; a model's hash picks its shard, which limits lock contention.
const ROUTER_SHARDS: usize = 16;

/// Minimum time without contact after which a box refreshes its configuration before it serves a
/// request, as its process may have been suspended.
const MIN_FRESHNESS_MS: Millis = 3_000;

/// Longest wait of a request for newer contact or configuration.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a waiting request checks its condition.
const CATCH_UP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time between checks whether the orders to an engine have been delivered.
const ORDERS_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// State shared by the components of one box.
pub struct Node {
    /// The settings that the box was started with.
    pub options: Options,
    /// Monotonic clock.
    pub clock: Clock,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// The configuration in force at this box.
    pub config: ConfigStore,
    /// The boxes known, this one included.
    pub members: RwLock<Members>,
    /// The engines that this box owns.
    pub owners: OwnedEngines,
    /// Successions received from owners, for takeovers while the key-value service is unavailable.
    pub successions: Mutex<HashMap<EngineId, Succession>>,
    /// Engines found without an owner.
    pub vacancies: Mutex<Vacancies>,
    /// The request keys whose home is this box.
    pub keys: Mutex<KeyTable>,
    /// Limits adapter loads to the weight store's allowance.
    pub loads: LoadLimiter,
    /// The lease that permits orders to engines that do not check fences.
    pub lease: BoxLease,
    /// Cache of compiled policies.
    pub policies: PolicyCache,
    /// Retry budgets by class.
    pub budgets: Mutex<HashMap<String, RetryBudget>>,
    /// Metrics of this box.
    pub metrics: Arc<Metrics>,
    /// The key-value service.
    pub kv: Box<dyn KvService>,
    /// The list of boxes.
    pub box_list: Box<dyn BoxListService>,
    /// Client for control requests to other boxes.
    pub control: ControlClient,
    /// Queue of engine orders for the control thread.
    pub jobs: mpsc::UnboundedSender<OrderJob>,
    /// Wakes the controller that catches up with the configuration.
    pub catch_up: Notify,
    routers: Vec<Mutex<Router>>,
    me: RwLock<BoxRecord>,
    next_request: AtomicU64,
    last_contact_ms: AtomicU64,
    wanted_revision: AtomicI64,
    ready: AtomicBool,
}

/// Arguments of [`Node::new`].
pub struct Parts {
    /// The settings that the box was started with.
    pub options: Options,
    /// This box as others see it.
    pub me: BoxRecord,
    /// Metrics of this box.
    pub metrics: Arc<Metrics>,
    /// The key-value service.
    pub kv: Box<dyn KvService>,
    /// The list of boxes.
    pub box_list: Box<dyn BoxListService>,
    /// Client for control requests to other boxes.
    pub control: ControlClient,
    /// Queue of engine orders for the control thread.
    pub jobs: mpsc::UnboundedSender<OrderJob>,
}

impl Node {
    /// Creates the state of a starting box that knows no other boxes.
    pub fn new(parts: Parts) -> Arc<Self> {
        let clock = Clock::start();
        let me = parts.me;
        Arc::new(Self {
            clock,
            incarnation: me.incarnation,
            config: ConfigStore::default(),
            members: RwLock::new(Members::new(me.clone())),
            owners: OwnedEngines::default(),
            successions: Mutex::default(),
            vacancies: Mutex::default(),
            keys: Mutex::new(KeyTable::new(me.id.clone(), me.incarnation)),
            loads: LoadLimiter::default(),
            lease: BoxLease::default(),
            policies: PolicyCache::default(),
            budgets: Mutex::default(),
            metrics: parts.metrics,
            kv: parts.kv,
            box_list: parts.box_list,
            control: parts.control,
            jobs: parts.jobs,
            catch_up: Notify::new(),
            routers: (0..ROUTER_SHARDS).map(|_| Mutex::default()).collect(),
            me: RwLock::new(me),
            next_request: AtomicU64::new(1),
            last_contact_ms: AtomicU64::new(0),
            wanted_revision: AtomicI64::new(0),
            ready: AtomicBool::new(false),
            options: parts.options,
        })
    }

    /// This box as others see it.
    pub fn me(&self) -> BoxRecord {
        read(&self.me).clone()
    }

    /// This box's name, as its settings give it.
    pub fn id(&self) -> &BoxId {
        &self.options.box_id
    }

    /// Whether this box has stopped taking new work.
    pub fn is_leaving(&self) -> bool {
        read(&self.me).state == BoxState::Leaving
    }

    /// Starts a planned stop; other boxes learn of it from the next heartbeats.
    pub fn leave(&self) {
        if self.enter(BoxState::Leaving) {
            log::info!(target: part::NODE, "leaving, accepts no new requests");
        }
    }

    /// Whether this box is still starting and has not accepted requests yet.
    pub fn is_starting(&self) -> bool {
        read(&self.me).state == BoxState::Starting
    }

    /// Whether this box has joined the fleet and has the newest configuration that it knows of in
    /// force.
    pub fn is_current(&self) -> bool {
        self.has_joined() && self.config.in_force() >= self.wanted_revision()
    }

    /// Starts to accept requests and to take over engines.
    pub fn go_live(&self) {
        if self.enter(BoxState::Live) {
            log::info!(target: part::NODE, "live, takes over engines");
        }
    }

    /// Advances to a later state; returns `false` if this box has reached or passed it already.
    fn enter(&self, state: BoxState) -> bool {
        let record = {
            let mut me = write(&self.me);
            if !state.is_after(me.state) {
                return false;
            }
            me.state = state;
            me.clone()
        };
        write(&self.members).merge(record);
        true
    }

    /// Whether the box has been declared ready and is not leaving.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_leaving()
    }

    /// Declares the box ready; returns `true` the first time.
    pub fn set_ready(&self) -> bool {
        !self.ready.swap(true, Ordering::AcqRel)
    }

    /// Whether the box has contacted another box or found that there are none.
    pub fn has_joined(&self) -> bool {
        read(&self.members).has_joined()
    }

    /// Records that the box has contacted another box or found that there are none.
    pub fn note_joined(&self) {
        write(&self.members).set_joined();
        self.catch_up.notify_one();
    }

    /// Whether this box is a keeper of its zone.
    pub fn is_keeper(&self) -> bool {
        read(&self.members).is_keeper(&self.options.zone)
    }

    /// Allocates a request id, unique within this run of the process.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Creates a new request key whose home is the given box.
    pub fn mint_key(&self, home: &BoxRecord) -> RequestKey {
        RequestKey {
            home: home.id.clone(),
            incarnation: home.incarnation,
            minted_ms: wall_ms(),
            nonce: rand::random(),
        }
    }

    /// The router shard that holds a model.
    pub fn router(&self, model: &ModelRef) -> &Mutex<Router> {
        let hash = rendezvous::score(model.adapter(), model.version()) as usize;
        &self.routers[hash % ROUTER_SHARDS]
    }

    /// Records contact with another box or the key-value service.
    pub fn note_contact(&self) {
        self.last_contact_ms
            .fetch_max(self.clock.now_ms(), Ordering::AcqRel);
    }

    /// Time since the last contact with another box or the key-value service.
    pub fn silent_ms(&self) -> Millis {
        let now_ms = self.clock.now_ms();
        now_ms.saturating_sub(self.last_contact_ms.load(Ordering::Acquire))
    }

    /// Records that a revision exists and wakes the controller that fetches it.
    pub fn want_revision(&self, revision: Revision) {
        if revision > self.config.in_force() {
            self.wanted_revision.fetch_max(revision, Ordering::AcqRel);
            self.catch_up.notify_one();
        }
    }

    /// The highest revision that this box knows to exist, or 0.
    pub fn wanted_revision(&self) -> Revision {
        self.wanted_revision.load(Ordering::Acquire)
    }

    /// Waits until a revision is in force; returns `false` on time-out.
    pub async fn reach_revision(&self, revision: Revision) -> bool {
        self.want_revision(revision);
        self.poll_until(|| self.config.in_force() >= revision).await
    }

    /// After a period without contact, in which the process may have been suspended, waits for
    /// contact and for the newest configuration. On time-out the box continues with what it has: if
    /// everything else is down, nobody can have changed the configuration.
    pub async fn refresh_after_silence(&self) {
        if self.silent_ms() < MIN_FRESHNESS_MS {
            return;
        }
        let freshness_limit_ms = self.freshness_limit_ms();
        if self.silent_ms() < freshness_limit_ms {
            return;
        }
        self.catch_up.notify_one();
        self.poll_until(|| self.silent_ms() < freshness_limit_ms)
            .await;
        let wanted = self.wanted_revision();
        self.poll_until(|| self.config.in_force() >= wanted).await;
    }

    /// Twice the heartbeat period, which grows with the number of boxes in the zone.
    fn freshness_limit_ms(&self) -> Millis {
        let boxes = read(&self.members).view().count_in(&self.options.zone);
        MIN_FRESHNESS_MS.max(2 * heartbeat_period_ms(boxes))
    }

    async fn poll_until(&self, met: impl Fn() -> bool) -> bool {
        let polled = async {
            while !met() {
                tokio::time::sleep(CATCH_UP_POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(CATCH_UP_TIMEOUT, polled).await.is_ok()
    }

    /// Whether an order may be sent to an owned engine now. Engines that check fences reject stale
    /// orders themselves; for others this box must have held its lease, by the monotonic clock,
    /// since before it took the engine over.
    pub fn may_order(&self, engine: &OwnedEngine) -> bool {
        let now_ms = self.clock.now_ms();
        engine.spec().checks_orders || self.lease.is_held_since(engine.lease_term(), now_ms)
    }

    /// Whether a request may be sent to an owned engine now: as orders, and in an outage of the
    /// key-value service to whatever is loaded.
    pub fn may_send(&self, engine: &OwnedEngine) -> bool {
        self.may_order(engine) || self.lease.has_lapsed_in_outage(engine.lease_term())
    }

    /// Releases an engine after another box has taken it over.
    pub fn give_up(&self, engine: &EngineId) {
        if let Some(owned) = self.owners.remove(engine) {
            owned.release();
        }
    }

    /// Gives up an engine and waits until none of this box's orders can arrive there any more.
    pub async fn hand_over(&self, engine: &EngineId) {
        if let Some(owned) = self.owners.hand_over(engine) {
            owned.release();
        }
        self.wait_for_orders(engine).await;
    }

    /// Waits until none of the orders that this process has sent can arrive at an engine any more.
    pub async fn wait_for_orders(&self, engine: &EngineId) {
        let orders = self.owners.orders_under_way();
        while orders.may_arrive(engine, self.clock.now_ms()) {
            tokio::time::sleep(ORDERS_POLL_INTERVAL).await;
        }
    }

    /// Sends a control request to the box at an address and waits for the reply.
    ///
    /// # Errors
    /// Returns a [`ControlError`] if no reply arrives.
    pub async fn ask(
        &self,
        address: &str,
        message: Message,
        within: Duration,
    ) -> Result<Reply, ControlError> {
        let envelope = Envelope {
            from: self.id().clone(),
            revision: self.config.in_force(),
            message,
        };
        self.control.ask(address, envelope, within).await
    }

    /// Sends a control request with the default timeout.
    ///
    /// # Errors
    /// Returns a [`ControlError`] if no reply arrives.
    pub async fn ask_soon(&self, address: &str, message: Message) -> Result<Reply, ControlError> {
        self.ask(address, message, ASK_WITHIN).await
    }

    /// Credits a class's retry budget for a first attempt.
    pub fn earn_retry(&self, class: &str) {
        let mut budgets = lock(&self.budgets);
        match budgets.get_mut(class) {
            Some(budget) => budget.earn(),
            None => budgets.entry(class.to_owned()).or_default().earn(),
        }
    }

    /// The number of retries that a class's budget allows now.
    pub fn retry_balance(&self, class: &str) -> f64 {
        let mut budgets = lock(&self.budgets);
        budgets.entry(class.to_owned()).or_default().balance()
    }

    /// Takes one retry from a class's budget; returns `false` if the budget is exhausted.
    pub fn spend_retry(&self, class: &str) -> bool {
        let mut budgets = lock(&self.budgets);
        let allowed = budgets.entry(class.to_owned()).or_default().spend();
        if allowed {
            self.metrics.retries.with_label_values(&[class]).inc();
        }
        allowed
    }
}
