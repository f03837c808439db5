//! Tracks the models and adapters at one server, as the box that holds the claim on it knows them,
//! and decides which order to send next.
//!
//! Every order names how many orders the server must have accepted before. So a delayed order finds
//! the count changed and is rejected, and the holder never acts on contents that differ from what
//! it believes.

mod fetching;
mod held;
mod models;
mod unconfirmed;

use std::collections::{BTreeMap, HashMap};

use fetching::FetchWindow;
pub use held::{AdapterKey, Held, HeldState, Holding, adapter_key};
use models::BaseModels;
use unconfirmed::UnconfirmedOrders;

use super::configuration::EngineProperties;
use super::servers::{AdapterName, Fingerprint, HeldAdapter, Report};
use super::wanted_loads::WantedLoad;
use crate::units::Millis;

/// Delay after which a report includes the last order; reports are some hundred milliseconds old.
const REPORT_DELAY_MS: Millis = 600;

/// How long an unload is assumed to wait for running requests, which end within some seconds.
const UNLOAD_TIMEOUT_MS: Millis = 5_000;

/// Interval between reports requested to follow loads and unloads; a report shows the state of some
/// hundred milliseconds before.
const POLL_INTERVAL_MS: Millis = 50;

/// Interval between reports of a busy server: unloads wait for running requests, mostly of some
/// hundred milliseconds.
const BUSY_POLL_INTERVAL_MS: Millis = 200;

/// Assumed time to fetch an adapter from the weight store, until it is measured.
const INITIAL_FETCH_MS: f64 = 250.0;

/// Assumed time to reload an adapter that the server held recently, until it is measured.
const INITIAL_RELOAD_MS: f64 = 25.0;

/// Weight of a new measurement in the averages of these times.
const TIME_WEIGHT: f64 = 0.2;

/// Shortest interval between polls of a load.
const CHECK_INTERVAL_MS: Millis = 8;

/// Divisor of a load's time so far that gives the interval to its next poll.
const CHECK_DIVISOR: u64 = 12;

/// Least idle time before an adapter is replaced by its newer version: requests for the older one
/// may be in flight, and the server would delay the order until they are done.
const REPLACE_IDLE_MS: Millis = 500;

/// Number of recently held adapters that are remembered as fast to load, as a multiple of the
/// slots; servers cache about as many.
const CACHED_PER_SLOT: usize = 4;

/// Inputs of the choice of the next order.
pub struct OrderContext<'a> {
    /// Returns the newest version of an adapter that the operators published.
    pub published_version: &'a dyn Fn(&str) -> Option<u64>,
    /// Returns whether requests for an adapter are running at the server.
    pub is_in_use: &'a dyn Fn(AdapterKey) -> bool,
    /// Current time.
    pub now_ms: Millis,
}

/// The next message to the server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Request a report and replace the known contents by it.
    FetchReport,
    /// Request a report to see which loads and unloads are complete.
    PollReport,
    /// Order a load, or poll it by sending the same order again.
    Load {
        /// Name of the adapter, as `model/name`, or of a base model.
        adapter: AdapterName,
        /// Version to load; the newest one where none is given.
        version: Option<u64>,
        /// Number of orders that the server must have accepted before.
        expected_count: u64,
    },
    /// Order the adapter to be unloaded.
    Unload {
        /// Name of the adapter, as `model/name`.
        adapter: AdapterName,
        /// Number of orders that the server must have accepted before.
        expected_count: u64,
    },
}

impl Action {
    /// Number of orders that the server must have accepted before; none for report requests.
    pub fn expected_count(&self) -> Option<u64> {
        match self {
            Action::FetchReport | Action::PollReport => None,
            Action::Load { expected_count, .. } | Action::Unload { expected_count, .. } => {
                Some(*expected_count)
            }
        }
    }
}

/// The server's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was accepted and is in progress.
    Accepted,
    /// The order is complete.
    Done,
    /// Another order is in progress, or the order count differs.
    Conflict,
    /// The order was refused for another reason.
    Refused,
    /// No answer arrived; the order may have been carried out or may still be.
    NoAnswer,
}

/// The holder's allowance for loads from the weight store, which bounds only loads of base models.
pub trait ModelAllowance {
    /// Takes one load from the allowance, if one is left.
    fn take(&mut self) -> bool;
}

/// The contents of one server, as its holder knows them.
#[derive(Debug)]
pub struct Contents {
    adapter_slots: usize,
    models: BaseModels,
    held: BTreeMap<AdapterKey, Held>,
    /// Version in which each adapter was held last, and when.
    recently_held: HashMap<AdapterKey, (Option<u64>, Millis)>,
    /// Number of orders that the server has accepted; none while the contents are not known.
    order_count: Option<u64>,
    was_known: bool,
    unconfirmed: UnconfirmedOrders,
    /// Adapters whose unload may wait for running requests, and when it was ordered: they occupy
    /// their slots until a report no longer names them.
    unloading: BTreeMap<AdapterKey, Millis>,
    poll_after_ms: Millis,
    report_after_ms: Millis,
    fetches: FetchWindow,
    fetch_ms: f64,
    reload_ms: f64,
}

impl Contents {
    /// Creates contents that are unknown until the first report.
    pub fn new(spec: &EngineProperties, now_ms: Millis) -> Self {
        Self {
            adapter_slots: spec.adapter_slots,
            models: BaseModels::new(spec),
            held: BTreeMap::new(),
            recently_held: HashMap::new(),
            order_count: None,
            was_known: false,
            unconfirmed: UnconfirmedOrders::new(),
            unloading: BTreeMap::new(),
            poll_after_ms: now_ms,
            report_after_ms: now_ms,
            fetches: FetchWindow::new(INITIAL_FETCH_MS),
            fetch_ms: INITIAL_FETCH_MS,
            reload_ms: INITIAL_RELOAD_MS,
        }
    }

    /// All adapters that occupy a slot.
    pub fn held(&self) -> impl Iterator<Item = (&AdapterKey, &Held)> {
        self.held.iter()
    }

    /// The adapter with this key, if it occupies a slot.
    pub fn get(&self, key: AdapterKey) -> Option<&Held> {
        self.held.get(&key)
    }

    /// Whether the contents are known.
    pub fn is_known(&self) -> bool {
        self.order_count.is_some()
    }

    /// Whether the contents have been known at any time.
    pub fn was_known(&self) -> bool {
        self.was_known
    }

    /// Whether the adapter is held in at least this version.
    pub fn holding(&self, key: AdapterKey, version: Option<u64>) -> Holding {
        match self.held.get(&key) {
            None => Holding::None,
            Some(held) if held.state == HeldState::Ready && held.version < version => {
                Holding::Stale
            }
            Some(_) => Holding::Current,
        }
    }

    /// Whether the load of an adapter could begin: a slot is free or can be freed.
    pub fn takes_loads(&self, is_in_use: &dyn Fn(AdapterKey) -> bool, now_ms: Millis) -> bool {
        if !self.is_known() || self.models.is_empty() || self.models.is_loading() {
            return false;
        }
        let is_evictable =
            |(key, held): (&AdapterKey, &Held)| held.is_idle(now_ms) && !is_in_use(*key);
        self.has_room(self.models.largest_adapter_mb(), 0) || self.held.iter().any(is_evictable)
    }

    /// Number of adapters that may be loading at the same time.
    pub fn loads_at_once(&self) -> usize {
        self.fetches.at_once()
    }

    /// Expected time until a load requested now is complete, behind `awaited` others.
    pub fn load_wait_ms(&self, awaited: usize) -> f64 {
        let before = self.loading() + awaited;
        let rounds = before as f64 / self.fetches.at_once().max(1) as f64;
        self.fetch_ms * (1.0 + rounds)
    }

    /// Marks the contents as unknown, for instance after an interruption of the claim.
    pub fn invalidate(&mut self, now_ms: Millis) {
        self.order_count = None;
        self.report_after_ms = now_ms + REPORT_DELAY_MS;
    }

    /// Records uses of an adapter.
    pub fn record_uses(&mut self, key: AdapterKey, uses: u32, now_ms: Millis) {
        if let Some(held) = self.held.get_mut(&key) {
            held.record_uses(uses, now_ms);
        }
    }

    /// Records uses of an adapter given by its fingerprint.
    pub fn record_uses_of(&mut self, fingerprint: Fingerprint, uses: u32, now_ms: Millis) {
        let has_fingerprint =
            |(key, _): &(&AdapterKey, &mut Held)| **key as Fingerprint == fingerprint;
        if let Some((_, held)) = self.held.iter_mut().find(has_fingerprint) {
            held.record_uses(uses, now_ms);
        }
    }

    /// The next message to the server; `wants` are given in descending priority.
    pub fn next_action(
        &self,
        wants: &[WantedLoad],
        context: &OrderContext<'_>,
        allowance: &mut dyn ModelAllowance,
    ) -> Option<Action> {
        let Some(expected_count) = self.order_count else {
            return (context.now_ms >= self.report_after_ms).then_some(Action::FetchReport);
        };
        let loses_messages = self.unconfirmed.loses_messages(context.now_ms);
        if !self.unloading.is_empty() || (loses_messages && self.has_due_load_poll(context.now_ms))
        {
            if context.now_ms >= self.poll_after_ms {
                return Some(Action::PollReport);
            }
            if !self.unloading.is_empty() {
                return None;
            }
        } else if let Some(action) = self.load_poll(expected_count, context.now_ms) {
            return Some(action);
        }
        if let Some(order) = self.unconfirmed.at(expected_count, context.now_ms) {
            return Some(order.clone());
        }
        if self.models.is_loading() {
            return None;
        }
        if let Some(action) = self.load_model(wants, expected_count, allowance) {
            return Some(action);
        }
        if self.loading() >= self.fetches.at_once() {
            return None;
        }
        wants
            .iter()
            .filter(|want| !want.is_copy || self.fetches.allows_copies())
            .find_map(|want| self.action_for(want, expected_count, context))
    }

    /// When [`Contents::next_action`] may next return a message without a new load request.
    pub fn next_action_ms(&self) -> Option<Millis> {
        if self.order_count.is_none() {
            return Some(self.report_after_ms);
        }
        let loading = self
            .held
            .values()
            .filter(|held| held.state == HeldState::Loading);
        let adapters = loading.map(|held| held.check_ms.max(self.poll_after_ms));
        let unloading = (!self.unloading.is_empty()).then_some(self.poll_after_ms);
        let models = self.models.next_poll_ms();
        adapters.chain(models).chain(unloading).min()
    }

    fn load_model(
        &self,
        wants: &[WantedLoad],
        expected_count: u64,
        allowance: &mut dyn ModelAllowance,
    ) -> Option<Action> {
        let wanted = wants.iter().map(|want| model_of(&want.adapter));
        let model = self.models.missing(wanted, self.adapters_mb())?;
        allowance.take().then(|| Action::Load {
            adapter: model.to_string(),
            version: None,
            expected_count,
        })
    }

    /// Memory that adapters occupy, in MB.
    fn adapters_mb(&self) -> f64 {
        let size_mb = |held: &Held| self.models.adapter_mb(model_of(&held.adapter));
        self.held.values().map(size_mb).sum()
    }

    /// Whether there are a slot and memory for one more adapter, beside `delayed_loads` others of
    /// its size that may still be loaded by delayed orders.
    fn has_room(&self, adapter_mb: f64, delayed_loads: usize) -> bool {
        let more_mb = adapter_mb * (delayed_loads + 1) as f64;
        let has_memory = self.adapters_mb() + more_mb <= self.models.free_mb();
        self.held.len() + delayed_loads < self.adapter_slots && has_memory
    }

    fn has_due_load_poll(&self, now_ms: Millis) -> bool {
        let is_due = |held: &Held| held.state == HeldState::Loading && held.check_ms <= now_ms;
        self.models.due(now_ms).is_none() && self.held.values().any(is_due)
    }

    fn load_poll(&self, expected_count: u64, now_ms: Millis) -> Option<Action> {
        if let Some(model) = self.models.due(now_ms) {
            return Some(Action::Load {
                adapter: model.to_string(),
                version: None,
                expected_count,
            });
        }
        let due = |held: &&Held| held.state == HeldState::Loading && held.check_ms <= now_ms;
        let held = self.held.values().find(due)?;
        Some(Action::Load {
            adapter: held.adapter.clone(),
            version: held.version,
            expected_count,
        })
    }

    fn action_for(
        &self,
        want: &WantedLoad,
        expected_count: u64,
        context: &OrderContext<'_>,
    ) -> Option<Action> {
        let key = adapter_key(&want.adapter);
        let model = model_of(&want.adapter);
        if !self.models.holds(model) || !want.adapter.contains('/') {
            return None;
        }
        let holding = self.holding(key, want.version);
        if holding == Holding::Current
            || (holding == Holding::Stale && !self.is_replaceable(key, context))
        {
            return None;
        }
        let delayed_loads = self.unconfirmed.loads_after(expected_count, context.now_ms);
        let needs_slot = holding == Holding::None
            && !self.has_room(self.models.adapter_mb(model), delayed_loads);
        if needs_slot {
            let victim = self.victim(context)?;
            return Some(Action::Unload {
                adapter: victim.adapter.clone(),
                expected_count,
            });
        }
        Some(Action::Load {
            adapter: want.adapter.clone(),
            version: want.version,
            expected_count,
        })
    }

    fn is_replaceable(&self, key: AdapterKey, context: &OrderContext<'_>) -> bool {
        let idle_ms = |held: &Held| context.now_ms.saturating_sub(held.used_ms);
        let is_idle = |held: &Held| idle_ms(held) >= REPLACE_IDLE_MS;
        self.held.get(&key).is_some_and(is_idle) && !(context.is_in_use)(key)
    }

    /// The adapter to evict: one in an outdated version, or else the least used.
    fn victim(&self, context: &OrderContext<'_>) -> Option<&Held> {
        let is_current = |held: &Held| (context.published_version)(&held.adapter) <= held.version;
        let evicted_before = |left: &&Held, right: &&Held| {
            let by_version = is_current(left).cmp(&is_current(right));
            let uses = |held: &Held| held.uses_at(context.now_ms);
            by_version.then(uses(left).total_cmp(&uses(right)))
        };
        self.held
            .iter()
            .filter(|(key, held)| held.is_idle(context.now_ms) && !(context.is_in_use)(**key))
            .map(|(_, held)| held)
            .min_by(evicted_before)
    }

    /// Whether the server held this version recently, so that it is not fetched from the weight
    /// store.
    pub fn is_cached(&self, key: AdapterKey, version: Option<u64>) -> bool {
        self.recently_held
            .get(&key)
            .is_some_and(|(had, _)| *had >= version)
    }

    fn loading(&self) -> usize {
        let is_loading = |held: &&Held| held.state == HeldState::Loading;
        self.held.values().filter(is_loading).count()
    }

    /// Returns the outcome of an order from its last answer and the number of attempts before it
    /// that got no answer, `unanswered`. A conflict may prove that one of those attempts was
    /// accepted.
    pub fn resolve_answer(
        &mut self,
        action: &Action,
        answer: OrderAnswer,
        unanswered: usize,
        now_ms: Millis,
    ) -> OrderAnswer {
        let is_load_poll = self.is_load_poll(action);
        if unanswered > 0 && is_load_poll {
            self.unconfirmed.record_poll_unanswered(action, now_ms);
        } else if unanswered > 0 {
            self.unconfirmed.record_unanswered(action, now_ms);
        }
        let is_conflict = answer == OrderAnswer::Conflict && unanswered > 0;
        if is_conflict && !is_load_poll && self.unconfirmed.proves_accepted(action, now_ms) {
            self.unconfirmed.record_accepted(action);
            return OrderAnswer::Accepted;
        }
        if matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done) {
            self.unconfirmed.record_accepted(action);
        }
        self.unconfirmed.record_answer(answer);
        answer
    }

    /// Whether an order only polls a load that is in progress.
    fn is_load_poll(&self, action: &Action) -> bool {
        let Action::Load { adapter, .. } = action else {
            return false;
        };
        if !adapter.contains('/') {
            return self.models.holds(adapter);
        }
        let held = self.held.get(&adapter_key(adapter));
        held.is_some_and(|held| held.state == HeldState::Loading)
    }

    /// Records the server's answer to an order.
    pub fn record_answer(&mut self, action: &Action, answer: OrderAnswer, now_ms: Millis) {
        match (action, answer) {
            (_, OrderAnswer::NoAnswer | OrderAnswer::Conflict | OrderAnswer::Refused) => {
                self.invalidate(now_ms);
            }
            (
                Action::Load {
                    adapter, version, ..
                },
                OrderAnswer::Accepted,
            ) => {
                self.record_loading(adapter, *version, now_ms);
            }
            (
                Action::Load {
                    adapter, version, ..
                },
                OrderAnswer::Done,
            ) => {
                self.record_ready(adapter, *version, now_ms);
            }
            (Action::Unload { adapter, .. }, OrderAnswer::Accepted) => {
                self.unloading.insert(adapter_key(adapter), now_ms);
                self.poll_after_ms = now_ms + POLL_INTERVAL_MS;
                self.record_unloaded(adapter, now_ms);
            }
            (Action::Unload { adapter, .. }, OrderAnswer::Done) => {
                self.record_unloaded(adapter, now_ms);
            }
            (Action::FetchReport | Action::PollReport, _) => {}
        }
    }

    fn count_order(&mut self) {
        self.order_count = self.order_count.map(|count| count + 1);
    }

    fn record_loading(&mut self, adapter: &str, version: Option<u64>, now_ms: Millis) {
        if !adapter.contains('/') {
            if self.models.record_loading(adapter, now_ms) {
                self.count_order();
            }
            return;
        }
        let key = adapter_key(adapter);
        if let Some(held) = self.held.get_mut(&key)
            && held.state == HeldState::Loading
        {
            let elapsed_ms = now_ms - held.ordered_ms;
            held.check_ms = now_ms + CHECK_INTERVAL_MS.max(elapsed_ms / CHECK_DIVISOR);
            held.seen_loading_ms = now_ms;
            return;
        }
        let is_fetch = !self.is_cached(key, version);
        let expected_ms = if is_fetch {
            self.fetch_ms
        } else {
            self.reload_ms
        };
        let uses = self.held.get(&key).map_or(1.0, |held| held.uses);
        let held = Held {
            state: HeldState::Loading,
            uses,
            check_ms: now_ms + expected_ms as Millis,
            is_fetch,
            ..Held::ready(adapter.to_string(), version, now_ms)
        };
        self.held.insert(key, held);
        self.count_order();
    }

    fn record_ready(&mut self, adapter: &str, version: Option<u64>, now_ms: Millis) {
        if !adapter.contains('/') {
            self.models.record_ready(adapter, now_ms);
            return;
        }
        let key = adapter_key(adapter);
        if let Some(held) = self.held.get_mut(&key) {
            held.state = HeldState::Ready;
            held.version = version.max(held.version);
            held.used_ms = now_ms;
            let took = held.load_time(now_ms);
            if held.is_fetch {
                self.fetches.record(took);
            }
            let known_ms = if held.is_fetch {
                &mut self.fetch_ms
            } else {
                &mut self.reload_ms
            };
            let took_ms = took.nearest_to(*known_ms).min(*known_ms * 2.0);
            *known_ms += TIME_WEIGHT * (took_ms - *known_ms);
        } else {
            let held = Held::ready(adapter.to_string(), version, now_ms);
            self.held.insert(key, held);
        }
        self.recently_held.insert(key, (version, now_ms));
    }

    fn record_unloaded(&mut self, adapter: &str, now_ms: Millis) {
        let key = adapter_key(adapter);
        if let Some(held) = self.held.remove(&key) {
            self.recently_held.insert(key, (held.version, now_ms));
        }
        self.trim_recently_held();
        self.count_order();
    }

    fn trim_recently_held(&mut self) {
        if self.recently_held.len() <= self.adapter_slots * CACHED_PER_SLOT {
            return;
        }
        let held = &self.held;
        let is_not_held = |key: &AdapterKey| !held.contains_key(key);
        let oldest = self
            .recently_held
            .iter()
            .filter(|(key, _)| is_not_held(key))
            .min_by_key(|(_, (_, recorded_ms))| *recorded_ms)
            .map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.recently_held.remove(&oldest);
        }
    }

    /// Applies the progress of loads and unloads that a report shows, if one arrived; returns the
    /// adapters that are loaded now. The report may be older than the last order, so only awaited
    /// changes are taken from it.
    pub fn record_poll(&mut self, report: Option<&Report>, now_ms: Millis) -> Vec<AdapterKey> {
        self.poll_after_ms = now_ms + POLL_INTERVAL_MS;
        let Some(report) = report else {
            return Vec::new();
        };
        if self.end_unloads(report, now_ms) {
            self.invalidate(now_ms);
        }
        let mut done = Vec::new();
        for known in &report.adapters {
            let key = adapter_key(&known.adapter);
            let is_done = self.held.get(&key).is_some_and(|held| {
                held.state == HeldState::Loading && held.version <= Some(known.version)
            });
            if is_done {
                self.record_ready(&known.adapter, Some(known.version), now_ms);
                done.push(key);
            }
        }
        done
    }

    /// Ends the unloads of adapters that a report no longer names, and drops those that should have
    /// completed long ago. Returns whether any was dropped, as such an order was not accepted.
    fn end_unloads(&mut self, report: &Report, now_ms: Millis) -> bool {
        let is_named = |key: &AdapterKey| {
            let mut all = report.adapters.iter().chain(&report.incoming);
            all.any(|known| adapter_key(&known.adapter) == *key)
        };
        self.unloading.retain(|key, _| is_named(key));
        let waiting = self.unloading.len();
        self.unloading
            .retain(|_, since_ms| now_ms < *since_ms + UNLOAD_TIMEOUT_MS);
        self.unloading.len() < waiting
    }

    /// Replaces the known contents by a report, which must have been requested after the delay that
    /// [`Action::FetchReport`] waits for.
    pub fn record_report(&mut self, report: &Report, now_ms: Millis) {
        self.was_known = true;
        for adapter in self.unconfirmed.record_count(report.order_count) {
            self.unloading.insert(adapter_key(&adapter), now_ms);
        }
        self.end_unloads(report, now_ms);
        if report.is_busy {
            // The order in progress will change the contents without a further order.
            self.order_count = None;
            self.report_after_ms = now_ms + BUSY_POLL_INTERVAL_MS;
        } else {
            self.order_count = Some(report.order_count);
        }
        self.models.record_report(&report.models, now_ms);
        let mut held = BTreeMap::new();
        let unloading = &self.unloading;
        let stays = |known: &&HeldAdapter| !unloading.contains_key(&adapter_key(&known.adapter));
        for known in report.adapters.iter().filter(stays) {
            let mut entry = self.carried_over(known, now_ms);
            if self.is_being_replaced(known) {
                entry.state = HeldState::Loading;
            }
            held.insert(adapter_key(&known.adapter), entry);
        }
        for coming in &report.incoming {
            let mut entry = self.carried_over(coming, now_ms);
            entry.state = HeldState::Loading;
            entry.check_ms = now_ms;
            held.insert(adapter_key(&coming.adapter), entry);
        }
        self.held = held;
        for known in report.at_hand.iter().chain(&report.adapters) {
            let key = adapter_key(&known.adapter);
            self.recently_held
                .insert(key, (Some(known.version), now_ms));
        }
    }

    /// Whether a newer version was ordered: a report shows that only when the last running request
    /// on the old one is done.
    fn is_being_replaced(&self, known: &HeldAdapter) -> bool {
        self.held
            .get(&adapter_key(&known.adapter))
            .is_some_and(|held| {
                held.state == HeldState::Loading && held.version > Some(known.version)
            })
    }

    fn carried_over(&self, known: &HeldAdapter, now_ms: Millis) -> Held {
        let mut entry = Held::ready(known.adapter.clone(), Some(known.version), now_ms);
        if let Some(before) = self.held.get(&adapter_key(&known.adapter)) {
            entry.uses = before.uses;
            entry.ordered_ms = before.ordered_ms;
            entry.seen_loading_ms = before.seen_loading_ms;
            entry.is_fetch = before.is_fetch;
            entry.version = entry.version.max(before.version);
        }
        entry
    }
}

/// The base model of an adapter; a name without `/` is the model itself.
fn model_of(adapter: &str) -> &str {
    adapter.split_once('/').map_or(adapter, |(model, _)| model)
}
