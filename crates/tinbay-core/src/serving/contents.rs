//! What one server holds, as its holder knows it, and what to order next.
//!
//! Every order names how many orders the server must have taken before. So an order that
//! is carried out late finds the count moved on, and the holder never acts on contents
//! that are not as it believes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::configuration::{EngineSpec, ModelSpec};
use super::fading::faded;
use super::servers::{AdapterName, HeldAdapter, Report};
use crate::units::Millis;

/// Short name of an adapter in memory and in messages.
pub type AdapterKey = u64;

/// Loads that may be on their way to one server at once.
const MOST_LOADING: usize = 4;

/// A report is some hundred milliseconds old; after this pause it shows the last order.
const REPORT_LAG_MS: Millis = 600;

/// Time to bring an adapter from the weight store, until it has been measured.
const FIRST_FETCH_MS: f64 = 250.0;

/// Time to bring back an adapter the server had lately, until it has been measured.
const FIRST_RELOAD_MS: f64 = 25.0;

/// Weight of a new measurement of these times.
const TIME_WEIGHT: f64 = 0.2;

/// Shortest pause between two looks at a load.
const CHECK_PAUSE_MS: Millis = 8;

/// Pause between two looks at the load of a model, which takes some hundred milliseconds.
const MODEL_CHECK_PAUSE_MS: Millis = 60;

/// An adapter used more lately than this is not taken out for another.
const KEEP_USED_MS: Millis = 150;

/// An adapter used more lately than this is not replaced by its newer version: the server
/// would hold the order, and all requests for the adapter, until the last run is done.
const REPLACE_IDLE_MS: Millis = 2_500;

/// Half-life of an adapter's uses.
const USE_HALF_LIFE_MS: f64 = 8_000.0;

/// Adapters that load fast, as a multiple of the places: what a server keeps beside them.
const LATELY_FACTOR: usize = 4;

/// The key of an adapter.
pub fn adapter_key(adapter: &str) -> AdapterKey {
    xxh3_64(adapter.as_bytes())
}

/// Whether an adapter can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    /// It is on its way.
    Loading,
    /// It serves.
    Ready,
}

/// An adapter that takes a place.
#[derive(Debug, Clone)]
pub struct Held {
    /// The adapter as `model/name`.
    pub adapter: AdapterName,
    /// Its version, where it is known.
    pub version: Option<u64>,
    /// Whether it can serve.
    pub state: HeldState,
    uses: f64,
    used_ms: Millis,
    ordered_ms: Millis,
    check_ms: Millis,
    is_fetch: bool,
}

/// How a server holds an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holding {
    /// Not at all.
    None,
    /// In an older version.
    Stale,
    /// On its way, or there.
    Current,
}

/// What one look for the next order goes by.
struct Turn<'a> {
    expected_count: u64,
    named: &'a dyn Fn(&str) -> Option<u64>,
    now_ms: Millis,
}

/// A base model that takes memory.
#[derive(Debug, Clone)]
struct HeldModel {
    state: HeldState,
    check_ms: Millis,
}

/// An adapter that a server had lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HadAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Its version, where it was known.
    pub version: Option<u64>,
}

/// Weight of a request that waits, or will come back, against one remembered: the load serves
/// it, while others may never be asked again.
const WAITING_WEIGHT: f64 = 3.0;

/// An adapter that requests need, or a model where no adapter is named.
#[derive(Debug, Clone, PartialEq)]
pub struct Want {
    /// The adapter as `model/name`.
    pub adapter: AdapterName,
    /// The version that was named, if one was.
    pub version: Option<u64>,
    /// Requests that had to wait for it, fading with time.
    pub asked: f64,
    /// Requests that wait now.
    pub waiting: f64,
    /// Whether it is for one more server of an adapter whose servers are crowded.
    pub is_copy: bool,
}

impl Want {
    /// The want of a copy that would take over so many `requests`; none waits for it.
    pub fn of_copy(adapter: &str, version: Option<u64>, requests: f64) -> Self {
        Self {
            adapter: adapter.to_string(),
            version,
            asked: requests,
            waiting: 1.0,
            is_copy: true,
        }
    }

    /// How soon it should be loaded, against others.
    pub fn weight(&self) -> f64 {
        self.asked + WAITING_WEIGHT * self.waiting
    }

    /// Adds what others want of the same adapter.
    pub fn add(&mut self, other: &Self) {
        self.version = self.version.max(other.version);
        self.asked += other.asked;
        self.waiting += other.waiting;
    }

    /// Whether a request waits now; else it is only expected.
    pub fn is_awaited(&self) -> bool {
        self.waiting > 0.0
    }
}

/// What to ask of the server next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask for its report.
    Learn,
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
    spec: EngineSpec,
    models: HashMap<String, HeldModel>,
    held: HashMap<AdapterKey, Held>,
    lately: HashMap<AdapterKey, (Option<u64>, Millis)>,
    order_count: Option<u64>,
    learn_from_ms: Millis,
    fetch_ms: f64,
    reload_ms: f64,
}

impl Contents {
    /// Contents that are to be learnt.
    pub fn new(spec: EngineSpec, now_ms: Millis) -> Self {
        Self {
            spec,
            models: HashMap::new(),
            held: HashMap::new(),
            lately: HashMap::new(),
            order_count: None,
            learn_from_ms: now_ms,
            fetch_ms: FIRST_FETCH_MS,
            reload_ms: FIRST_RELOAD_MS,
        }
    }

    /// All adapters that take a place.
    pub fn held(&self) -> impl Iterator<Item = (&AdapterKey, &Held)> {
        self.held.iter()
    }

    /// Whether the contents are known.
    pub fn is_learnt(&self) -> bool {
        self.order_count.is_some()
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

    /// Adapters that take a place against the places.
    pub fn fullness(&self) -> f64 {
        self.held.len() as f64 / self.spec.adapter_slots.max(1) as f64
    }

    /// Forgets what was believed, as after a gap in holding the claim.
    pub fn unlearn(&mut self, now_ms: Millis) {
        self.order_count = None;
        self.learn_from_ms = now_ms + REPORT_LAG_MS;
    }

    /// Adapters the server had lately, for whoever holds it next: the latest last.
    pub fn memory(&self) -> Vec<HadAdapter> {
        let mut memory: Vec<(Millis, HadAdapter)> = self
            .lately
            .iter()
            .map(|(key, (version, noted_ms))| {
                let had = HadAdapter {
                    key: *key,
                    version: *version,
                };
                (*noted_ms, had)
            })
            .collect();
        memory.sort_by_key(|(noted_ms, had)| (*noted_ms, had.key));
        memory.into_iter().map(|(_, had)| had).collect()
    }

    /// Takes over what an earlier holder remembered.
    pub fn note_memory(&mut self, memory: &[HadAdapter]) {
        let most = self.spec.adapter_slots * LATELY_FACTOR;
        for had in memory.iter().rev().take(most) {
            self.lately.entry(had.key).or_insert((had.version, 0));
        }
    }

    /// Notes uses of an adapter.
    pub fn note_uses(&mut self, key: AdapterKey, uses: u32, now_ms: Millis) {
        if let Some(held) = self.held.get_mut(&key) {
            held.uses = held.uses_at(now_ms) + f64::from(uses);
            held.used_ms = now_ms;
        }
    }

    /// The next order, or when to look again.
    ///
    /// `wants` come most wanted first; what nobody waits for is not loaded.
    pub fn next_action(
        &mut self,
        wants: &[Want],
        named: &dyn Fn(&str) -> Option<u64>,
        allowance: &mut dyn ModelAllowance,
        now_ms: Millis,
    ) -> Option<Action> {
        let Some(expected_count) = self.order_count else {
            return (now_ms >= self.learn_from_ms).then_some(Action::Learn);
        };
        if let Some(action) = self.check_load(expected_count, now_ms) {
            return Some(action);
        }
        if self.is_loading_model() {
            return None;
        }
        if let Some(action) = self.load_model(wants, expected_count, allowance) {
            return Some(action);
        }
        if self.loading() >= MOST_LOADING {
            return None;
        }
        let turn = Turn {
            expected_count,
            named,
            now_ms,
        };
        wants
            .iter()
            .filter(|want| want.is_awaited())
            .find_map(|want| self.serve_want(want, &turn))
    }

    /// When [`Contents::next_action`] may give something without a new want.
    pub fn next_look_ms(&self) -> Option<Millis> {
        if self.order_count.is_none() {
            return Some(self.learn_from_ms);
        }
        let adapters = self.held.values().map(|held| (held.state, held.check_ms));
        let models = self
            .models
            .values()
            .map(|model| (model.state, model.check_ms));
        adapters
            .chain(models)
            .filter(|(state, _)| *state == HeldState::Loading)
            .map(|(_, check_ms)| check_ms)
            .min()
    }

    fn is_loading_model(&self) -> bool {
        self.models
            .values()
            .any(|model| model.state == HeldState::Loading)
    }

    /// Loads the most wanted model that is missing and fits, or the first of all into an
    /// empty server.
    fn load_model(
        &self,
        wants: &[Want],
        expected_count: u64,
        allowance: &mut dyn ModelAllowance,
    ) -> Option<Action> {
        let wanted = wants.iter().map(|want| model_of(&want.adapter));
        let missing = wanted
            .filter(|model| !self.models.contains_key(*model))
            .find(|model| self.fits(model));
        let first = || self.spec.models.first().map(|model| model.name.as_str());
        let model = match missing {
            Some(model) => model,
            None if self.models.is_empty() => first()?,
            None => return None,
        };
        allowance.take().then(|| Action::Load {
            adapter: model.to_string(),
            version: None,
            expected_count,
        })
    }

    fn fits(&self, model: &str) -> bool {
        let Some(spec) = self.model_spec(model) else {
            return false;
        };
        self.used_mb() + spec.weights_mb <= self.spec.weights_mb
    }

    fn model_spec(&self, model: &str) -> Option<&ModelSpec> {
        self.spec.models.iter().find(|spec| spec.name == model)
    }

    /// Memory that models and adapters take.
    fn used_mb(&self) -> f64 {
        let model_mb = |model: &String| self.model_spec(model).map_or(0.0, |spec| spec.weights_mb);
        let models_mb: f64 = self.models.keys().map(model_mb).sum();
        let adapters = self.held.values();
        let adapters_mb: f64 = adapters.map(|held| self.adapter_mb(&held.adapter)).sum();
        models_mb + adapters_mb
    }

    fn adapter_mb(&self, adapter: &str) -> f64 {
        self.model_spec(model_of(adapter))
            .map_or(0.0, |spec| spec.adapter_mb)
    }

    /// Whether one more adapter has a place and memory.
    fn has_room(&self, adapter: &str) -> bool {
        let needed_mb = self.used_mb() + self.adapter_mb(adapter);
        self.held.len() < self.spec.adapter_slots && needed_mb <= self.spec.weights_mb
    }

    fn check_load(&self, expected_count: u64, now_ms: Millis) -> Option<Action> {
        let model_due = |(_, model): &(&String, &HeldModel)| {
            model.state == HeldState::Loading && model.check_ms <= now_ms
        };
        if let Some((name, _)) = self.models.iter().find(model_due) {
            return Some(Action::Load {
                adapter: name.clone(),
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

    fn serve_want(&self, want: &Want, turn: &Turn<'_>) -> Option<Action> {
        let key = adapter_key(&want.adapter);
        if !self.models.contains_key(model_of(&want.adapter)) || !want.adapter.contains('/') {
            return None;
        }
        let holding = self.holding(key, want.version);
        if holding == Holding::Current
            || (holding == Holding::Stale && !self.is_replaceable(key, turn.now_ms))
        {
            return None;
        }
        if holding == Holding::None && !self.has_room(&want.adapter) {
            let victim = self.victim(turn)?;
            return Some(Action::Unload {
                adapter: victim.adapter.clone(),
                expected_count: turn.expected_count,
            });
        }
        Some(Action::Load {
            adapter: want.adapter.clone(),
            version: want.version,
            expected_count: turn.expected_count,
        })
    }

    fn is_replaceable(&self, key: AdapterKey, now_ms: Millis) -> bool {
        let idle_ms = |held: &Held| now_ms.saturating_sub(held.used_ms);
        self.held
            .get(&key)
            .is_some_and(|held| idle_ms(held) >= REPLACE_IDLE_MS)
    }

    /// The adapter that is missed least: one in an old version, or else the least used.
    fn victim(&self, turn: &Turn<'_>) -> Option<&Held> {
        let is_current = |held: &Held| (turn.named)(&held.adapter) <= held.version;
        let missed_less = |left: &&Held, right: &&Held| {
            let by_version = is_current(left).cmp(&is_current(right));
            let uses = |held: &Held| held.uses_at(turn.now_ms);
            by_version.then(uses(left).total_cmp(&uses(right)))
        };
        let idle = self.held.values().filter(|held| held.is_idle(turn.now_ms));
        idle.min_by(missed_less)
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
            (Action::Unload { adapter, .. }, OrderAnswer::Accepted | OrderAnswer::Done) => {
                self.note_unloaded(adapter, now_ms);
            }
            (Action::Learn, _) => {}
        }
    }

    fn count_order(&mut self) {
        self.order_count = self.order_count.map(|count| count + 1);
    }

    fn note_loading(&mut self, adapter: &str, version: Option<u64>, now_ms: Millis) {
        if !adapter.contains('/') {
            return self.note_model_loading(adapter, now_ms);
        }
        let key = adapter_key(adapter);
        if let Some(held) = self.held.get_mut(&key)
            && held.state == HeldState::Loading
        {
            held.check_ms = now_ms + CHECK_PAUSE_MS.max((now_ms - held.ordered_ms) / 12);
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
            adapter: adapter.to_string(),
            version,
            state: HeldState::Loading,
            uses,
            used_ms: now_ms,
            ordered_ms: now_ms,
            check_ms: now_ms + expected_ms as Millis,
            is_fetch,
        };
        self.held.insert(key, held);
        self.count_order();
    }

    fn note_model_loading(&mut self, model: &str, now_ms: Millis) {
        if !self.models.contains_key(model) {
            self.count_order();
        }
        let held = HeldModel {
            state: HeldState::Loading,
            check_ms: now_ms + MODEL_CHECK_PAUSE_MS,
        };
        self.models.insert(model.to_string(), held);
    }

    fn note_ready(&mut self, adapter: &str, version: Option<u64>, now_ms: Millis) {
        if !adapter.contains('/') {
            let held = HeldModel {
                state: HeldState::Ready,
                check_ms: now_ms,
            };
            self.models.insert(adapter.to_string(), held);
            return;
        }
        let key = adapter_key(adapter);
        if let Some(held) = self.held.get_mut(&key) {
            held.state = HeldState::Ready;
            held.version = version.max(held.version);
            held.used_ms = now_ms;
            let took_ms = (now_ms - held.ordered_ms) as f64;
            let known = if held.is_fetch {
                &mut self.fetch_ms
            } else {
                &mut self.reload_ms
            };
            *known += TIME_WEIGHT * (took_ms.min(*known * 2.0) - *known);
        } else {
            let held = ready(adapter.to_string(), version, now_ms);
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
        if self.lately.len() <= self.spec.adapter_slots * LATELY_FACTOR {
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

    /// Takes the server's report; it must have been asked for after the pause that
    /// [`Action::Learn`] waits for.
    pub fn note_report(&mut self, report: &Report, now_ms: Millis) {
        self.order_count = Some(report.order_count);
        let ready_model = HeldModel {
            state: HeldState::Ready,
            check_ms: now_ms,
        };
        let models = report.models.iter();
        self.models = models
            .map(|model| (model.clone(), ready_model.clone()))
            .collect();
        let mut held = HashMap::new();
        for known in &report.adapters {
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
        let mut entry = ready(known.adapter.clone(), Some(known.version), now_ms);
        if let Some(before) = self.held.get(&adapter_key(&known.adapter)) {
            entry.uses = before.uses;
            entry.ordered_ms = before.ordered_ms;
            entry.is_fetch = before.is_fetch;
            entry.version = entry.version.max(before.version);
        }
        entry
    }
}

impl Held {
    /// Whether it may be taken out for another.
    fn is_idle(&self, now_ms: Millis) -> bool {
        let idle_ms = now_ms.saturating_sub(self.used_ms);
        self.state == HeldState::Ready && idle_ms >= KEEP_USED_MS
    }

    fn uses_at(&self, now_ms: Millis) -> f64 {
        faded(self.uses, self.used_ms, USE_HALF_LIFE_MS, now_ms)
    }
}

fn ready(adapter: AdapterName, version: Option<u64>, now_ms: Millis) -> Held {
    Held {
        adapter,
        version,
        state: HeldState::Ready,
        uses: 0.0,
        used_ms: now_ms,
        ordered_ms: now_ms,
        check_ms: now_ms,
        is_fetch: false,
    }
}

/// The base model of an adapter, or the model itself.
fn model_of(adapter: &str) -> &str {
    adapter.split_once('/').map_or(adapter, |(model, _)| model)
}
