//! What the parts of one box share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use tinbay_core::config::{ConfigStore, EngineSpec};
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
use crate::controllers::{BoxLease, LoadLimiter, Members, PolicyCache};
use crate::logging::part;
use crate::metrics::Metrics;
use crate::options::Options;
use crate::owners::{OrderJob, OwnedEngines};
use crate::platform::{BoxListService, KvService};
use crate::util::clock::{Clock, wall_ms};
use crate::util::sync::{lock, read, write};

/// Shards of the routers' rankings and hints.
const ROUTER_SHARDS: usize = 16;

/// A box that has heard nobody for at least this long asks before it serves; it may have been
/// frozen.
const LEAST_FRESH_MS: Millis = 3_000;

/// Longest wait for newer configuration before a request is answered.
const CATCH_UP_WITHIN: Duration = Duration::from_secs(1);

/// How often a waiting request looks whether the configuration has arrived.
const CATCH_UP_POLL: Duration = Duration::from_millis(10);

/// Everything the parts of one box share.
pub struct Node {
    /// The settings.
    pub options: Options,
    /// Monotonic time.
    pub clock: Clock,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// The configuration served from.
    pub config: ConfigStore,
    /// The other boxes.
    pub members: RwLock<Members>,
    /// The engines owned.
    pub owners: OwnedEngines,
    /// Successions told by owners, for takeovers while the key-value service is out.
    pub successions: Mutex<HashMap<EngineId, Succession>>,
    /// Engines found without an owner.
    pub vacancies: Mutex<Vacancies>,
    /// The keys of which this box is the home.
    pub keys: Mutex<KeyTable>,
    /// The shared allowance of the weight store.
    pub loads: LoadLimiter,
    /// The lease under which orders go to engines that do not check them.
    pub lease: BoxLease,
    /// Compiled policies.
    pub policies: PolicyCache,
    /// Retry budgets by class.
    pub budgets: Mutex<HashMap<String, RetryBudget>>,
    /// What is measured.
    pub metrics: Arc<Metrics>,
    /// The key-value service.
    pub kv: Box<dyn KvService>,
    /// The list of boxes.
    pub box_list: Box<dyn BoxListService>,
    /// Asks other boxes.
    pub control: ControlClient,
    /// Commands for the control thread.
    pub jobs: mpsc::UnboundedSender<OrderJob>,
    /// Wakes the controller that catches up with the configuration.
    pub catch_up: Notify,
    routers: Vec<Mutex<Router>>,
    me: RwLock<BoxRecord>,
    next_request: AtomicU64,
    contact_ms: AtomicU64,
    wanted_revision: AtomicI64,
    ready: AtomicBool,
}

/// What [`Node::new`] is made of.
pub struct Parts {
    /// The settings.
    pub options: Options,
    /// This box as others see it.
    pub me: BoxRecord,
    /// What is measured.
    pub metrics: Arc<Metrics>,
    /// The key-value service.
    pub kv: Box<dyn KvService>,
    /// The list of boxes.
    pub box_list: Box<dyn BoxListService>,
    /// Asks other boxes.
    pub control: ControlClient,
    /// Commands for the control thread.
    pub jobs: mpsc::UnboundedSender<OrderJob>,
}

impl Node {
    /// A box that knows only itself.
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
            contact_ms: AtomicU64::new(0),
            wanted_revision: AtomicI64::new(0),
            ready: AtomicBool::new(false),
            options: parts.options,
        })
    }

    /// This box as others see it.
    pub fn me(&self) -> BoxRecord {
        read(&self.me).clone()
    }

    /// This box's name.
    pub fn id(&self) -> &BoxId {
        &self.options.box_id
    }

    /// Whether this box has stopped taking new work.
    pub fn is_leaving(&self) -> bool {
        read(&self.me).state == BoxState::Leaving
    }

    /// Begins to leave: other boxes are told with the next heartbeats.
    pub fn leave(&self) {
        if self.enter(BoxState::Leaving) {
            log::info!(target: part::NODE, "leaving, no new work is taken");
        }
    }

    /// Whether this box has not taken work yet.
    pub fn is_starting(&self) -> bool {
        read(&self.me).state == BoxState::Starting
    }

    /// Whether this box has met the others and serves the newest configuration that it has heard of.
    pub fn is_current(&self) -> bool {
        self.has_joined() && self.config.in_force() >= self.wanted_revision()
    }

    /// Takes work from now on.
    pub fn go_live(&self) {
        if self.enter(BoxState::Live) {
            log::info!(target: part::NODE, "live, takes engines over");
        }
    }

    /// Enters a later state; `false` if this box is past it.
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

    /// Whether the box has its configuration and has met the others.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire) && !self.is_leaving()
    }

    /// Declares the box ready; `true` the first time.
    pub fn set_ready(&self) -> bool {
        !self.ready.swap(true, Ordering::AcqRel)
    }

    /// Whether the box has met the others or found that there are none.
    pub fn has_joined(&self) -> bool {
        read(&self.members).has_joined()
    }

    /// Notes that the box has met the others or found that there are none.
    pub fn note_joined(&self) {
        write(&self.members).set_joined();
        self.catch_up.notify_one();
    }

    /// Whether this box is a keeper of its zone.
    pub fn is_keeper(&self) -> bool {
        read(&self.members).is_keeper(&self.options.zone)
    }

    /// A new number for a request.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// Mints a key whose home is a box known here.
    pub fn mint_key(&self, home: &BoxRecord) -> RequestKey {
        RequestKey {
            home: home.id.clone(),
            incarnation: home.incarnation,
            minted_ms: wall_ms(),
            nonce: rand::random(),
        }
    }

    /// The router of a model.
    pub fn router(&self, model: &ModelRef) -> &Mutex<Router> {
        let hash = rendezvous::score(model.adapter(), model.version()) as usize;
        &self.routers[hash % ROUTER_SHARDS]
    }

    /// Notes that another box or the key-value service was heard.
    pub fn note_contact(&self) {
        self.contact_ms
            .fetch_max(self.clock.now_ms(), Ordering::AcqRel);
    }

    /// Since when nothing was heard from anyone.
    pub fn silent_ms(&self) -> Millis {
        let now_ms = self.clock.now_ms();
        now_ms.saturating_sub(self.contact_ms.load(Ordering::Acquire))
    }

    /// Notes that a revision exists; the box will catch up with it.
    pub fn want_revision(&self, revision: Revision) {
        if revision > self.config.in_force() {
            self.wanted_revision.fetch_max(revision, Ordering::AcqRel);
            self.catch_up.notify_one();
        }
    }

    /// The highest revision heard of.
    pub fn wanted_revision(&self) -> Revision {
        self.wanted_revision.load(Ordering::Acquire)
    }

    /// Waits until a revision is in force; `false` when it does not arrive in time.
    pub async fn reach_revision(&self, revision: Revision) -> bool {
        self.want_revision(revision);
        self.poll_until(|| self.config.in_force() >= revision).await
    }

    /// After a silence in which the box may have been frozen, waits to hear from someone.
    /// In an outage of everything it goes on with what it has: nobody can have changed it.
    pub async fn refresh_after_silence(&self) {
        if self.silent_ms() < LEAST_FRESH_MS {
            return;
        }
        let fresh_for_ms = self.fresh_for_ms();
        if self.silent_ms() < fresh_for_ms {
            return;
        }
        self.catch_up.notify_one();
        self.poll_until(|| self.silent_ms() < fresh_for_ms).await;
        let wanted = self.wanted_revision();
        self.poll_until(|| self.config.in_force() >= wanted).await;
    }

    /// Twice the time between heartbeats, which grows with the zone.
    fn fresh_for_ms(&self) -> Millis {
        let boxes = read(&self.members).view().count_in(&self.options.zone);
        LEAST_FRESH_MS.max(2 * heartbeat_period_ms(boxes))
    }

    async fn poll_until(&self, met: impl Fn() -> bool) -> bool {
        let polled = async {
            while !met() {
                tokio::time::sleep(CATCH_UP_POLL).await;
            }
        };
        tokio::time::timeout(CATCH_UP_WITHIN, polled).await.is_ok()
    }

    /// Whether an order to an engine may go out now. Engines that check fences judge for
    /// themselves; for others the lease is read against the monotonic clock right here.
    pub fn may_order(&self, engine: &EngineSpec) -> bool {
        engine.checks_orders || self.lease.is_certainly_held(self.clock.now_ms())
    }

    /// Gives an engine up after another box has taken it.
    pub fn give_up(&self, engine: &EngineId) {
        if let Some(owned) = self.owners.remove(engine) {
            owned.release();
        }
    }

    /// Asks the box at a control address.
    ///
    /// # Errors
    /// [`ControlError`] when there is no answer.
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

    /// Asks a box with the usual patience.
    ///
    /// # Errors
    /// [`ControlError`] when there is no answer.
    pub async fn ask_soon(&self, address: &str, message: Message) -> Result<Reply, ControlError> {
        self.ask(address, message, ASK_WITHIN).await
    }

    /// Notes a first attempt of a class for its retry budget.
    pub fn earn_retry(&self, class: &str) {
        let mut budgets = lock(&self.budgets);
        match budgets.get_mut(class) {
            Some(budget) => budget.earn(),
            None => budgets.entry(class.to_owned()).or_default().earn(),
        }
    }

    /// Retries that a class may make now.
    pub fn retry_balance(&self, class: &str) -> f64 {
        let mut budgets = lock(&self.budgets);
        budgets.entry(class.to_owned()).or_default().balance()
    }

    /// Takes a retry out of a class's budget, if there is one.
    pub fn spend_retry(&self, class: &str) -> bool {
        let mut budgets = lock(&self.budgets);
        let allowed = budgets.entry(class.to_owned()).or_default().spend();
        if allowed {
            self.metrics.retries.with_label_values(&[class]).inc();
        }
        allowed
    }
}
