//! What one server holds, as its holder knows it, and what to order next.
//!
//! Every order names how many orders the server must have taken before. So an order that
//! is carried out late finds the count moved on, and the holder never acts on contents
//! that are not as it believes.

mod doubts;
mod fetching;
mod held;
mod models;

use std::collections::{BTreeMap, HashMap};

use doubts::Doubts;
use fetching::FetchWindow;
pub use held::{AdapterKey, Held, HeldState, Holding, adapter_key};
use models::BaseModels;

use super::configuration::EngineSpec;
use super::servers::{AdapterName, Fingerprint, HeldAdapter, Report};
use super::wants::Want;
use crate::units::Millis;

/// A report is some hundred milliseconds old; after this pause it shows the last order.
const REPORT_LAG_MS: Millis = 600;

/// How long an unload is taken to wait for its runs: they end within some seconds.
const UNLOAD_LIFE_MS: Millis = 5_000;

/// Pause between reports that are asked for to see loads and unloads done; they show what was some
/// hundred milliseconds before.
const LOOK_PAUSE_MS: Millis = 50;

/// Pause between reports of a server that has an order under way: unloads wait for runs, of some
/// hundred milliseconds mostly.
const BUSY_PAUSE_MS: Millis = 200;

/// Time to bring an adapter from the weight store, until it has been measured.
const FIRST_FETCH_MS: f64 = 250.0;

/// Time to bring back an adapter the server had lately, until it has been measured.
const FIRST_RELOAD_MS: f64 = 25.0;

/// Weight of a new measurement of these times.
const TIME_WEIGHT: f64 = 0.2;

/// Shortest pause between two looks at a load.
const CHECK_PAUSE_MS: Millis = 8;

/// Part of a load's time so far after which it is looked at again.
const CHECK_PART: u64 = 12;

/// An adapter used more lately than this is not replaced by its newer version: requests for
/// the older one may be on their way, and the server would hold the order until they are done.
const REPLACE_IDLE_MS: Millis = 500;

/// Adapters that load fast, as a multiple of the places: what a server keeps beside them.
const LATELY_FACTOR: usize = 4;

/// What one look for the next order goes by.
pub struct Look<'a> {
    /// The version of an adapter that the operators named last.
    pub named: &'a dyn Fn(&str) -> Option<u64>,
    /// Whether requests for an adapter run at the server.
    pub is_in_use: &'a dyn Fn(AdapterKey) -> bool,
    /// The time.
    pub now_ms: Millis,
}

/// What to ask of the server next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask for its report, and take what it holds from that.
    Learn,
    /// Ask for its report, to see which loads and unloads are done.
    Look,
    /// Order a load, or look whether it is done by ordering it again.
    Load {
        /// The adapter.
        adapter: AdapterName,
        /// The version; the newest where none is given.
        version: Option<u64>,
        /// Orders the server must have taken.
        expected_count: u64,
    },
    /// Order an adapter out.
    Unload {
        /// The adapter.
        adapter: AdapterName,
        /// Orders the server must have taken.
        expected_count: u64,
    },
}

impl Action {
    /// Orders the server must have taken before, where it is an order.
    pub fn expected_count(&self) -> Option<u64> {
        match self {
            Action::Learn | Action::Look => None,
            Action::Load { expected_count, .. } | Action::Unload { expected_count, .. } => {
                Some(*expected_count)
            }
        }
    }
}

/// How the server took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is being done.
    Accepted,
    /// It is done already.
    Done,
    /// Something else is under way, or the count differs.
    Conflict,
    /// It was refused for another reason.
    Refused,
    /// No answer came; it may be done now or later.
    NoAnswer,
}

/// What the weight store allows the holder now; it bounds the loads of base models alone.
pub trait ModelAllowance {
    /// Takes one load, if one is left.
    fn take(&mut self) -> bool;
}

/// What one server holds, as its holder knows it.
#[derive(Debug)]
pub struct Contents {
    adapter_slots: usize,
    models: BaseModels,
    held: BTreeMap<AdapterKey, Held>,
    lately: HashMap<AdapterKey, (Option<u64>, Millis)>,
    order_count: Option<u64>,
    was_learnt: bool,
    doubts: Doubts,
    /// Adapters whose unload may wait for their runs, and since when: they take their places until
    /// a report no longer names them.
    unloading: BTreeMap<AdapterKey, Millis>,
    look_from_ms: Millis,
    learn_from_ms: Millis,
    fetches: FetchWindow,
    fetch_ms: f64,
    reload_ms: f64,
}

impl Contents {
    /// Contents that are to be learnt.
    pub fn new(spec: &EngineSpec, now_ms: Millis) -> Self {
        Self {
            adapter_slots: spec.adapter_slots,
            models: BaseModels::new(spec),
            held: BTreeMap::new(),
            lately: HashMap::new(),
            order_count: None,
            was_learnt: false,
            doubts: Doubts::new(),
            unloading: BTreeMap::new(),
            look_from_ms: now_ms,
            learn_from_ms: now_ms,
            fetches: FetchWindow::new(FIRST_FETCH_MS),
            fetch_ms: FIRST_FETCH_MS,
            reload_ms: FIRST_RELOAD_MS,
        }
    }

    /// All adapters that take a place.
    pub fn held(&self) -> impl Iterator<Item = (&AdapterKey, &Held)> {
        self.held.iter()
    }

    /// An adapter that takes a place.
    pub fn get(&self, key: AdapterKey) -> Option<&Held> {
        self.held.get(&key)
    }

    /// Whether the contents are known.
    pub fn is_learnt(&self) -> bool {
        self.order_count.is_some()
    }

    /// Whether the contents were known before, if not now.
    pub fn was_learnt(&self) -> bool {
        self.was_learnt
    }

    /// How an adapter of at least this version takes a place.
    pub fn holding(&self, key: AdapterKey, version: Option<u64>) -> Holding {
        match self.held.get(&key) {
            None => Holding::None,
            Some(held) if held.state == HeldState::Ready && held.version < version => {
                Holding::Stale
            }
            Some(_) => Holding::Current,
        }
    }

    /// Whether a load of an adapter could begin: there is a place, or one to give.
    pub fn takes_loads(&self, is_in_use: &dyn Fn(AdapterKey) -> bool, now_ms: Millis) -> bool {
        if !self.is_learnt() || self.models.is_empty() || self.models.is_loading() {
            return false;
        }
        let can_give = |(key, held): (&AdapterKey, &Held)| held.is_idle(now_ms) && !is_in_use(*key);
        self.has_room(self.models.largest_adapter_mb(), 0) || self.held.iter().any(can_give)
    }

    /// Adapters that may be on their way at the same time.
    pub fn loads_at_once(&self) -> usize {
        self.fetches.at_once()
    }

    /// Expected time until a load that is asked for now is done, behind `awaited` others.
    pub fn load_wait_ms(&self, awaited: usize) -> f64 {
        let before = self.loading() + awaited;
        let rounds = before as f64 / self.fetches.at_once().max(1) as f64;
        self.fetch_ms * (1.0 + rounds)
    }

    /// Forgets what was believed, as after a gap in holding the claim.
    pub fn unlearn(&mut self, now_ms: Millis) {
        self.order_count = None;
        self.learn_from_ms = now_ms + REPORT_LAG_MS;
    }

    /// Notes uses of an adapter.
    pub fn note_uses(&mut self, key: AdapterKey, uses: u32, now_ms: Millis) {
        if let Some(held) = self.held.get_mut(&key) {
            held.note_uses(uses, now_ms);
        }
    }

    /// Notes uses of an adapter by the short form of its key.
    pub fn note_uses_of(&mut self, fingerprint: Fingerprint, uses: u32, now_ms: Millis) {
        let is_it = |(key, _): &(&AdapterKey, &mut Held)| **key as Fingerprint == fingerprint;
        if let Some((_, held)) = self.held.iter_mut().find(is_it) {
            held.note_uses(uses, now_ms);
        }
    }

    /// The next order; `wants` come most wanted first.
    pub fn next_action(
        &self,
        wants: &[Want],
        look: &Look<'_>,
        allowance: &mut dyn ModelAllowance,
    ) -> Option<Action> {
        let Some(expected_count) = self.order_count else {
            return (look.now_ms >= self.learn_from_ms).then_some(Action::Learn);
        };
        let is_losing = self.doubts.is_losing(look.now_ms);
        if !self.unloading.is_empty() || (is_losing && self.has_load_due(look.now_ms)) {
            if look.now_ms >= self.look_from_ms {
                return Some(Action::Look);
            }
            if !self.unloading.is_empty() {
                return None;
            }
        } else if let Some(action) = self.check_load(expected_count, look.now_ms) {
            return Some(action);
        }
        if let Some(doubtful) = self.doubts.at(expected_count, look.now_ms) {
            return Some(doubtful.clone());
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
            .filter(|want| !want.is_copy || self.fetches.takes_copies())
            .find_map(|want| self.serve_want(want, expected_count, look))
    }

    /// When [`Contents::next_action`] may give something without a new want.
    pub fn next_look_ms(&self) -> Option<Millis> {
        if self.order_count.is_none() {
            return Some(self.learn_from_ms);
        }
        let loading = self
            .held
            .values()
            .filter(|held| held.state == HeldState::Loading);
        let adapters = loading.map(|held| held.check_ms.max(self.look_from_ms));
        let unloading = (!self.unloading.is_empty()).then_some(self.look_from_ms);
        let models = self.models.next_look_ms();
        adapters.chain(models).chain(unloading).min()
    }

    fn load_model(
        &self,
        wants: &[Want],
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

    /// Memory that adapters take.
    fn adapters_mb(&self) -> f64 {
        let size_mb = |held: &Held| self.models.adapter_mb(model_of(&held.adapter));
        self.held.values().map(size_mb).sum()
    }

    /// Whether one more adapter has a place and memory, beside so many of its size that may come
    /// late.
    fn has_room(&self, adapter_mb: f64, late: usize) -> bool {
        let more_mb = adapter_mb * (late + 1) as f64;
        let has_memory = self.adapters_mb() + more_mb <= self.models.free_mb();
        self.held.len() + late < self.adapter_slots && has_memory
    }

    fn has_load_due(&self, now_ms: Millis) -> bool {
        let is_due = |held: &Held| held.state == HeldState::Loading && held.check_ms <= now_ms;
        self.models.due(now_ms).is_none() && self.held.values().any(is_due)
    }

    fn check_load(&self, expected_count: u64, now_ms: Millis) -> Option<Action> {
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

    fn serve_want(&self, want: &Want, expected_count: u64, look: &Look<'_>) -> Option<Action> {
        let key = adapter_key(&want.adapter);
        let model = model_of(&want.adapter);
        if !self.models.holds(model) || !want.adapter.contains('/') {
            return None;
        }
        let holding = self.holding(key, want.version);
        if holding == Holding::Current
            || (holding == Holding::Stale && !self.is_replaceable(key, look))
        {
            return None;
        }
        let late = self.doubts.loads_after(expected_count, look.now_ms);
        let needs_place =
            holding == Holding::None && !self.has_room(self.models.adapter_mb(model), late);
        if needs_place {
            let victim = self.victim(look)?;
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

    fn is_replaceable(&self, key: AdapterKey, look: &Look<'_>) -> bool {
        let idle_ms = |held: &Held| look.now_ms.saturating_sub(held.used_ms);
        let is_idle = |held: &Held| idle_ms(held) >= REPLACE_IDLE_MS;
        self.held.get(&key).is_some_and(is_idle) && !(look.is_in_use)(key)
    }

    /// The adapter that is missed least: one in an old version, or else the least used.
    fn victim(&self, look: &Look<'_>) -> Option<&Held> {
        let is_current = |held: &Held| (look.named)(&held.adapter) <= held.version;
        let missed_less = |left: &&Held, right: &&Held| {
            let by_version = is_current(left).cmp(&is_current(right));
            let uses = |held: &Held| held.uses_at(look.now_ms);
            by_version.then(uses(left).total_cmp(&uses(right)))
        };
        self.held
            .iter()
            .filter(|(key, held)| held.is_idle(look.now_ms) && !(look.is_in_use)(**key))
            .map(|(_, held)| held)
            .min_by(missed_less)
    }

    /// Whether the server had this version lately, so that it does not come from the store.
    pub fn loads_fast(&self, key: AdapterKey, version: Option<u64>) -> bool {
        self.lately
            .get(&key)
            .is_some_and(|(had, _)| *had >= version)
    }

    fn loading(&self) -> usize {
        let is_loading = |held: &&Held| held.state == HeldState::Loading;
        self.held.values().filter(is_loading).count()
    }

    /// What became of an order whose last answer came after so many sends without one.
    pub fn settle(
        &mut self,
        action: &Action,
        answer: OrderAnswer,
        unanswered: usize,
        now_ms: Millis,
    ) -> OrderAnswer {
        let is_look = self.is_look(action);
        if unanswered > 0 && is_look {
            self.doubts.note_look_unanswered(action, now_ms);
        } else if unanswered > 0 {
            self.doubts.note_unanswered(action, now_ms);
        }
        let is_conflict = answer == OrderAnswer::Conflict && unanswered > 0;
        if is_conflict && !is_look && self.doubts.shows_taken(action, now_ms) {
            self.doubts.note_taken(action);
            return OrderAnswer::Accepted;
        }
        if matches!(answer, OrderAnswer::Accepted | OrderAnswer::Done) {
            self.doubts.note_taken(action);
        }
        self.doubts.note_told(answer);
        answer
    }

    /// Whether an order only looks whether a load is done.
    fn is_look(&self, action: &Action) -> bool {
        let Action::Load { adapter, .. } = action else {
            return false;
        };
        if !adapter.contains('/') {
            return self.models.holds(adapter);
        }
        let held = self.held.get(&adapter_key(adapter));
        held.is_some_and(|held| held.state == HeldState::Loading)
    }

    /// Notes how the server took an order.
    pub fn note_answer(&mut self, action: &Action, answer: OrderAnswer, now_ms: Millis) {
        match (action, answer) {
            (_, OrderAnswer::NoAnswer | OrderAnswer::Conflict | OrderAnswer::Refused) => {
                self.unlearn(now_ms);
            }
            (
                Action::Load {
                    adapter, version, ..
                },
                OrderAnswer::Accepted,
            ) => {
                self.note_loading(adapter, *version, now_ms);
            }
            (
                Action::Load {
                    adapter, version, ..
                },
                OrderAnswer::Done,
            ) => {
                self.note_ready(adapter, *version, now_ms);
            }
            (Action::Unload { adapter, .. }, OrderAnswer::Accepted) => {
                self.unloading.insert(adapter_key(adapter), now_ms);
                self.look_from_ms = now_ms + LOOK_PAUSE_MS;
                self.note_unloaded(adapter, now_ms);
            }
            (Action::Unload { adapter, .. }, OrderAnswer::Done) => {
                self.note_unloaded(adapter, now_ms);
            }
            (Action::Learn | Action::Look, _) => {}
        }
    }

    fn count_order(&mut self) {
        self.order_count = self.order_count.map(|count| count + 1);
    }

    fn note_loading(&mut self, adapter: &str, version: Option<u64>, now_ms: Millis) {
        if !adapter.contains('/') {
            if self.models.note_loading(adapter, now_ms) {
                self.count_order();
            }
            return;
        }
        let key = adapter_key(adapter);
        if let Some(held) = self.held.get_mut(&key)
            && held.state == HeldState::Loading
        {
            let taken_ms = now_ms - held.ordered_ms;
            held.check_ms = now_ms + CHECK_PAUSE_MS.max(taken_ms / CHECK_PART);
            held.seen_loading_ms = now_ms;
            return;
        }
        let is_fetch = !self.loads_fast(key, version);
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

    fn note_ready(&mut self, adapter: &str, version: Option<u64>, now_ms: Millis) {
        if !adapter.contains('/') {
            self.models.note_ready(adapter, now_ms);
            return;
        }
        let key = adapter_key(adapter);
        if let Some(held) = self.held.get_mut(&key) {
            held.state = HeldState::Ready;
            held.version = version.max(held.version);
            held.used_ms = now_ms;
            let took = held.load_time(now_ms);
            if held.is_fetch {
                self.fetches.note(took);
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
        self.lately.insert(key, (version, now_ms));
    }

    fn note_unloaded(&mut self, adapter: &str, now_ms: Millis) {
        let key = adapter_key(adapter);
        if let Some(held) = self.held.remove(&key) {
            self.lately.insert(key, (held.version, now_ms));
        }
        self.forget_old();
        self.count_order();
    }

    fn forget_old(&mut self) {
        if self.lately.len() <= self.adapter_slots * LATELY_FACTOR {
            return;
        }
        let held = &self.held;
        let gone = |key: &AdapterKey| !held.contains_key(key);
        let oldest = self
            .lately
            .iter()
            .filter(|(key, _)| gone(key))
            .min_by_key(|(_, (_, noted_ms))| *noted_ms)
            .map(|(key, _)| *key);
        if let Some(oldest) = oldest {
            self.lately.remove(&oldest);
        }
    }

    /// Takes what a report shows of loads and unloads, if one came; the adapters that are there now.
    /// It may be older than the last order, so that only what was awaited is taken from it.
    pub fn note_look(&mut self, report: Option<&Report>, now_ms: Millis) -> Vec<AdapterKey> {
        self.look_from_ms = now_ms + LOOK_PAUSE_MS;
        let Some(report) = report else {
            return Vec::new();
        };
        if self.end_unloads(report, now_ms) {
            self.unlearn(now_ms);
        }
        let mut done = Vec::new();
        for known in &report.adapters {
            let key = adapter_key(&known.adapter);
            let is_done = self.held.get(&key).is_some_and(|held| {
                held.state == HeldState::Loading && held.version <= Some(known.version)
            });
            if is_done {
                self.note_ready(&known.adapter, Some(known.version), now_ms);
                done.push(key);
            }
        }
        done
    }

    /// Unloads are done whose adapters a report no longer names. Those of others that should be done
    /// long since were not taken; whether there are such.
    fn end_unloads(&mut self, report: &Report, now_ms: Millis) -> bool {
        let is_named = |key: &AdapterKey| {
            let mut all = report.adapters.iter().chain(&report.incoming);
            all.any(|known| adapter_key(&known.adapter) == *key)
        };
        self.unloading.retain(|key, _| is_named(key));
        let waiting = self.unloading.len();
        self.unloading
            .retain(|_, since_ms| now_ms < *since_ms + UNLOAD_LIFE_MS);
        self.unloading.len() < waiting
    }

    /// Takes the server's report; it must have been asked for after the pause that
    /// [`Action::Learn`] waits for.
    pub fn note_report(&mut self, report: &Report, now_ms: Millis) {
        self.was_learnt = true;
        for adapter in self.doubts.note_count(report.order_count) {
            self.unloading.insert(adapter_key(&adapter), now_ms);
        }
        self.end_unloads(report, now_ms);
        if report.is_busy {
            // What is under way changes the contents without a further order.
            self.order_count = None;
            self.learn_from_ms = now_ms + BUSY_PAUSE_MS;
        } else {
            self.order_count = Some(report.order_count);
        }
        self.models.note_report(&report.models, now_ms);
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
            self.lately.insert(key, (Some(known.version), now_ms));
        }
    }

    /// Whether a newer version was ordered: no report shows that before the last run is done.
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

/// The base model of an adapter, or the model itself.
fn model_of(adapter: &str) -> &str {
    adapter.split_once('/').map_or(adapter, |(model, _)| model)
}
