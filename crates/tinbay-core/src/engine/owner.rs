//! The scheduler a box runs for each engine it owns.

use std::collections::{BTreeMap, HashMap};

use super::demand::MovingAverage;
use super::pace::Paces;
use super::queue::Queue;
use super::slots::{Slot, SlotState, Slots};
use super::{Ask, Command, EngineContents, EngineShape, Event, Refusal, Scheduler};
use crate::ids::{ModelRef, RequestId};
use crate::policy::PolicySettings;
use crate::rendezvous;
use crate::units::Millis;

/// First guess of how long a request runs, until measured.
const GUESSED_SERVICE_MS: f64 = 500.0;

/// First guess of how long a load takes, until measured.
const GUESSED_LOAD_MS: f64 = 500.0;

/// Backoff after the first failed load; doubles with each further one.
const LOAD_BACKOFF_MS: Millis = 500;

/// Longest backoff after failed loads.
const MAX_LOAD_BACKOFF_MS: Millis = 30_000;

/// Rank below that of counter and desk work at which late batch work asks for a load.
const LATE_RANK: u8 = 1;

/// How the owner weighs what it wants.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OwnerSettings {
    /// How long batch work waits before it takes a slot from other batch work.
    pub swap_patience_ms: Millis,
    /// Share of the slots that batch work may hold while urgent work asks for the others.
    pub batch_slot_share: f64,
    /// Places in the batch kept for urgent work.
    pub urgent_reserve: u32,
    /// Every so many dispatches one goes to batch work that would else be late.
    pub late_every: u32,
    /// Batch work within this of its last moment counts as late.
    pub late_within_ms: Millis,
    /// Share of the engine one organisation may use before its requests stand back.
    pub fair_share: f64,
}

/// The patience of a policy that weighs batch efficiency alone.
const LONGEST_PATIENCE_MS: f64 = 4_000.0;

impl Default for OwnerSettings {
    fn default() -> Self {
        Self::from_policy(PolicySettings::default())
    }
}

impl OwnerSettings {
    /// The settings that follow from a policy's weights.
    pub fn from_policy(settings: PolicySettings) -> Self {
        let batch_weight = 1.0 - settings.stall_weight;
        Self {
            swap_patience_ms: (batch_weight * LONGEST_PATIENCE_MS) as Millis,
            batch_slot_share: batch_weight,
            urgent_reserve: 1,
            late_every: 8,
            late_within_ms: 10_000,
            fair_share: 0.5,
        }
    }
}

#[derive(Debug)]
struct Running {
    model: ModelRef,
    started_ms: Millis,
}

#[derive(Debug, Clone, Copy)]
struct Failure {
    count: u32,
    retry_ms: Millis,
}

/// A load that was asked for.
#[derive(Debug, Clone, Copy)]
struct Wish {
    rank: u8,
    urgent: bool,
}

/// A model that waits for a slot.
#[derive(Debug)]
struct WantedLoad {
    model: ModelRef,
    wish: Wish,
    /// Whether it may take a slot that other batch work uses.
    pressing: bool,
    since_ms: Millis,
}

/// Decides for one engine.
#[derive(Debug)]
pub struct EngineOwner {
    shape: EngineShape,
    settings: OwnerSettings,
    queue: Queue,
    slots: Slots,
    running: HashMap<RequestId, Running>,
    /// Requests of earlier owners that were running when this one took over.
    inherited: HashMap<ModelRef, u32>,
    wishes: BTreeMap<ModelRef, Wish>,
    /// Granted loads that wait for their slot to be unloaded, by the model being unloaded.
    replacing: HashMap<ModelRef, ModelRef>,
    failures: HashMap<ModelRef, Failure>,
    service: MovingAverage,
    load: MovingAverage,
    paces: Paces,
    dispatches: u32,
    learnt: bool,
    leaving: bool,
}

impl EngineOwner {
    /// An owner that must first learn what the engine holds.
    pub fn new(shape: EngineShape, settings: OwnerSettings) -> Self {
        Self {
            shape,
            settings,
            queue: Queue::default(),
            slots: Slots::new(shape.slots),
            running: HashMap::new(),
            inherited: HashMap::new(),
            wishes: BTreeMap::new(),
            replacing: HashMap::new(),
            failures: HashMap::new(),
            service: MovingAverage::new(GUESSED_SERVICE_MS),
            load: MovingAverage::new(GUESSED_LOAD_MS),
            paces: Paces::default(),
            dispatches: 0,
            learnt: false,
            leaving: false,
        }
    }

    /// Replaces the settings, after a policy change.
    pub fn set_settings(&mut self, settings: OwnerSettings) {
        self.settings = settings;
    }

    /// Models that can serve now.
    pub fn loaded(&self) -> Vec<ModelRef> {
        let mut loaded: Vec<ModelRef> = self
            .slots
            .iter()
            .filter(|(model, _)| self.slots.is_loaded(model))
            .map(|(model, _)| model.clone())
            .collect();
        loaded.sort();
        loaded
    }

    /// Whether a model can serve now.
    pub fn is_loaded(&self, model: &ModelRef) -> bool {
        self.slots.is_loaded(model)
    }

    /// Whether the owner has learnt what the engine holds.
    pub fn has_learnt(&self) -> bool {
        self.learnt
    }

    fn submit(&mut self, now_ms: Millis, ask: Ask, out: &mut Vec<Command>) {
        if self.leaving {
            out.push(refuse(ask.id, Refusal::EngineLeaves, 0));
            return;
        }
        if self.backs_off(&ask.model, now_ms) {
            out.push(refuse(ask.id, Refusal::LoadFailed, LOAD_BACKOFF_MS));
            return;
        }
        let wait_ms = self.estimate_wait_ms(now_ms, &ask);
        if now_ms + wait_ms > ask.start_by_ms {
            let late_ms = now_ms + wait_ms - ask.start_by_ms;
            out.push(refuse(ask.id, Refusal::Overloaded, late_ms.max(1)));
            return;
        }
        if let Some(slot) = self.slots.get_mut(&ask.model) {
            slot.note_demand(now_ms, ask.urgent);
        }
        let closing = |slot: &Slot| slot.state == SlotState::Closing;
        if ask.urgent && self.slots.get(&ask.model).is_some_and(closing) {
            self.reopen(&ask.model);
        }
        let share_ms =
            self.service.mean_ms() / (f64::from(self.shape.batch_limit) * self.settings.fair_share);
        if self.queue.of_rank(ask.rank) == 0 {
            self.paces.begin(ask.rank, now_ms);
        }
        self.queue.push(ask, share_ms as Millis);
    }

    fn backs_off(&self, model: &ModelRef, now_ms: Millis) -> bool {
        let failure = self.failures.get(model);
        failure.is_some_and(|failure| now_ms < failure.retry_ms)
    }

    fn estimate_wait_ms(&self, now_ms: Millis, ask: &Ask) -> Millis {
        let wait_ms = self.expected_wait_ms(now_ms, ask.rank);
        if self.slots.is_loaded(&ask.model) {
            return wait_ms;
        }
        wait_ms.max(self.load.mean_ms() as Millis)
    }

    fn finish(&mut self, now_ms: Millis, id: RequestId) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        self.service.add(now_ms.saturating_sub(run.started_ms));
        if let Some(slot) = self.slots.get_mut(&run.model) {
            slot.serving = slot.serving.saturating_sub(1);
        }
    }

    fn start_load(&mut self, now_ms: Millis, model: ModelRef, out: &mut Vec<Command>) {
        if self.is_under_way(&model) {
            return;
        }
        let Some(wish) = self.wishes.remove(&model) else {
            out.push(Command::ReturnLoad(model));
            return;
        };
        if !self.queue.has_waiting(&model) || self.slots.get(&model).is_some() {
            out.push(Command::ReturnLoad(model));
            return;
        }
        if self.slots.has_free() {
            self.slots.insert(model.clone(), SlotState::Loading, now_ms);
            out.push(Command::Load(model));
            return;
        }
        let Some(victim) = self.choose_idle_victim(now_ms, wish) else {
            out.push(Command::ReturnLoad(model));
            return;
        };
        self.begin_unload(&victim);
        self.replacing.insert(victim.clone(), model);
        out.push(Command::Unload(victim));
    }

    /// Whether an earlier grant for the model is still being used.
    fn is_under_way(&self, model: &ModelRef) -> bool {
        let loading = |slot: &Slot| slot.state == SlotState::Loading;
        self.slots.get(model).is_some_and(loading)
            || self.replacing.values().any(|next| next == model)
    }

    fn begin_unload(&mut self, victim: &ModelRef) {
        self.queue.set_open(victim, false);
        if let Some(slot) = self.slots.get_mut(victim) {
            slot.state = SlotState::Unloading;
        }
    }

    /// The loaded model that serves nothing and is missed least.
    fn choose_idle_victim(&self, now_ms: Millis, wish: Wish) -> Option<ModelRef> {
        let from_batch_only = self.may_take_from_batch_only(now_ms, wish);
        self.slots
            .iter()
            .filter(|(model, slot)| {
                self.is_idle(model, slot)
                    && (!from_batch_only || slot.is_held_for_batch(now_ms))
                    && !self.queue.has_urgent(model)
                    && self
                        .queue
                        .head_rank(model)
                        .is_none_or(|head| head >= wish.rank)
            })
            .min_by(|(a, slot_a), (b, slot_b)| {
                let queued = |m: &ModelRef| self.queue.has_waiting(m);
                let demand_a = slot_a.demand_at(now_ms);
                let demand_b = slot_b.demand_at(now_ms);
                queued(a)
                    .cmp(&queued(b))
                    .then(demand_a.total_cmp(&demand_b))
                    .then(a.cmp(b))
            })
            .map(|(model, _)| model.clone())
    }

    fn is_idle(&self, model: &ModelRef, slot: &Slot) -> bool {
        matches!(slot.state, SlotState::Loaded | SlotState::Closing)
            && slot.serving == 0
            && !self.inherited.contains_key(model)
    }

    /// Whether batch work holds its share of the slots, so that a further batch model must
    /// take the place of another: between their requests the counter's models are idle too.
    fn may_take_from_batch_only(&self, now_ms: Millis, wish: Wish) -> bool {
        if wish.urgent {
            return false;
        }
        let held = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.is_held_for_batch(now_ms));
        held.count() >= self.batch_slots()
    }

    fn batch_slots(&self) -> usize {
        let share = f64::from(self.shape.slots) * self.settings.batch_slot_share;
        (share.ceil() as usize).max(1)
    }

    /// Closes the least wanted model that runs only work of a rank behind `rank`.
    fn close_one(&mut self, now_ms: Millis, rank: u8) {
        let busy_with_less = |model: &ModelRef| {
            !self.queue.has_urgent(model)
                && self.queue.head_rank(model).is_none_or(|head| head > rank)
        };
        let victim = self
            .slots
            .iter()
            .filter(|(model, slot)| slot.state == SlotState::Loaded && busy_with_less(model))
            .min_by(|(a, slot_a), (b, slot_b)| {
                slot_a
                    .serving
                    .cmp(&slot_b.serving)
                    .then(
                        slot_a
                            .demand_at(now_ms)
                            .total_cmp(&slot_b.demand_at(now_ms)),
                    )
                    .then(a.cmp(b))
            })
            .map(|(model, _)| model.clone());
        let Some(victim) = victim else { return };
        self.queue.set_open(&victim, false);
        if let Some(slot) = self.slots.get_mut(&victim) {
            slot.state = SlotState::Closing;
        }
    }

    fn note_loaded(&mut self, now_ms: Millis, model: &ModelRef, out: &mut Vec<Command>) {
        out.push(Command::EndLoad(model.clone()));
        self.failures.remove(model);
        let Some(slot) = self.slots.get_mut(model) else {
            return;
        };
        slot.state = SlotState::Loaded;
        slot.loaded_ms = now_ms;
        let load_ms = now_ms.saturating_sub(slot.ordered_ms);
        slot.note_demand(now_ms, self.queue.has_urgent(model));
        self.load.add(load_ms);
        self.queue.set_open(model, true);
    }

    fn note_load_failed(&mut self, now_ms: Millis, model: &ModelRef, out: &mut Vec<Command>) {
        out.push(Command::EndLoad(model.clone()));
        self.slots.remove(model);
        let count = self
            .failures
            .get(model)
            .map_or(1, |failure| failure.count + 1);
        let backoff_ms = backoff_ms(model, count);
        let retry_ms = now_ms + backoff_ms;
        self.failures
            .insert(model.clone(), Failure { count, retry_ms });
        for id in self.queue.waiting_for(model) {
            self.queue.remove(id);
            out.push(refuse(id, Refusal::LoadFailed, backoff_ms));
        }
    }

    fn note_unloaded(&mut self, now_ms: Millis, model: &ModelRef, out: &mut Vec<Command>) {
        self.slots.remove(model);
        let Some(next) = self.replacing.remove(model) else {
            return;
        };
        if self.queue.has_waiting(&next) && self.slots.get(&next).is_none() {
            self.slots.insert(next.clone(), SlotState::Loading, now_ms);
            out.push(Command::Load(next));
        } else {
            out.push(Command::ReturnLoad(next));
        }
    }

    fn note_unload_failed(&mut self, now_ms: Millis, model: &ModelRef, out: &mut Vec<Command>) {
        if self.slots.get(model).is_some_and(|slot| slot.lost) {
            self.note_unloaded(now_ms, model, out);
            return;
        }
        if let Some(next) = self.replacing.remove(model) {
            out.push(Command::ReturnLoad(next));
        }
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = SlotState::Loaded;
            self.queue.set_open(model, true);
        }
    }

    fn note_missing(&mut self, model: &ModelRef) {
        let serving = |slot: &Slot| slot.state == SlotState::Loaded;
        if self.slots.get(model).is_some_and(serving) {
            self.slots.remove(model);
            self.queue.set_open(model, false);
        }
    }

    /// Takes over what the engine says; slots it does not name are gone.
    ///
    /// A slot with an order under way stays until that order's own end is known: the end of
    /// an order from before a restart must not be taken for that of a later one.
    fn learn(&mut self, now_ms: Millis, contents: &EngineContents) {
        let known: Vec<ModelRef> = self.slots.iter().map(|(m, _)| m.clone()).collect();
        for model in known {
            let named = contents.loaded.contains(&model);
            match self.slots.get_mut(&model) {
                Some(slot) if slot.state == SlotState::Loading => {}
                Some(slot) if slot.state == SlotState::Unloading => slot.lost = !named,
                _ => {
                    self.queue.set_open(&model, false);
                    self.slots.remove(&model);
                }
            }
        }
        for model in &contents.loaded {
            if self.slots.get(model).is_none() {
                self.slots.insert(model.clone(), SlotState::Loaded, now_ms);
                self.queue.set_open(model, true);
            }
        }
        for run in self.running.values() {
            if let Some(slot) = self.slots.get_mut(&run.model) {
                slot.serving += 1;
            }
        }
        self.count_inherited(contents);
        self.learnt = true;
        self.leaving = false;
    }

    /// Counts the requests of earlier owners, which hold places and slots as well.
    fn count_inherited(&mut self, contents: &EngineContents) {
        self.inherited.clear();
        for model in &contents.inherited {
            *self.inherited.entry(model.clone()).or_default() += 1;
        }
    }

    fn release(&mut self, out: &mut Vec<Command>) {
        self.learnt = false;
        self.refuse_all(Refusal::NotOwner, out);
    }

    /// From now on everything is refused, until the engine comes back as a new run.
    fn leave(&mut self, out: &mut Vec<Command>) {
        self.leaving = true;
        self.refuse_all(Refusal::EngineLeaves, out);
    }

    fn refuse_all(&mut self, reason: Refusal, out: &mut Vec<Command>) {
        for id in self.queue.ids() {
            self.queue.remove(id);
            out.push(refuse(id, reason, 0));
        }
    }

    fn refuse_expired(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        while let Some(id) = self.queue.first_expired(now_ms) {
            let rank = self.queue.remove(id).map_or(0, |ask| ask.rank);
            let retry_after_ms = self.expected_wait_ms(now_ms, rank).max(1);
            out.push(refuse(id, Refusal::DeadlinePassed, retry_after_ms));
        }
    }

    fn dispatch(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        while let Some(id) = self.next_to_run(now_ms) {
            let Some(ask) = self.queue.remove(id) else {
                return;
            };
            let Some(slot) = self.slots.get_mut(&ask.model) else {
                return;
            };
            slot.serving += 1;
            self.paces.note_dispatch(ask.rank, now_ms);
            let stall_ms = slot.loaded_ms.saturating_sub(ask.arrived_ms);
            self.dispatches = self.dispatches.wrapping_add(1);
            self.running.insert(
                id,
                Running {
                    model: ask.model,
                    started_ms: now_ms,
                },
            );
            out.push(Command::Dispatch { id, stall_ms });
        }
    }

    fn next_to_run(&self, now_ms: Millis) -> Option<RequestId> {
        let busy = self.busy();
        if busy >= self.shape.batch_limit {
            return None;
        }
        if self.dispatches.is_multiple_of(self.settings.late_every) {
            let horizon_ms = now_ms + self.settings.late_within_ms;
            let depth = self.settings.late_every as usize;
            if let Some(late) = self.queue.late_open(horizon_ms, depth) {
                return Some(late.id);
            }
        }
        let first = self.queue.first_open()?;
        let limit = if first.urgent {
            self.shape.batch_limit
        } else {
            self.batch_work_limit()
        };
        (busy < limit).then_some(first.id)
    }

    /// Places for batch work; the reserve never takes an engine's only place.
    fn batch_work_limit(&self) -> u32 {
        let limit = self.shape.batch_limit;
        limit.saturating_sub(self.settings.urgent_reserve).max(1)
    }

    fn busy(&self) -> u32 {
        let inherited: u32 = self.inherited.values().sum();
        self.running.len() as u32 + inherited
    }

    /// Asks for loads for the most pressing models that are not loaded, and closes as many
    /// busy slots as pressing models find no other way.
    fn plan_loads(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        let mut unplaced: Vec<u8> = Vec::new();
        for want in self.wanted_loads(now_ms) {
            if self.is_under_way(&want.model) {
                continue;
            }
            let asked = self.wishes.get(&want.model).copied();
            if asked.is_some_and(|asked| asked.rank <= want.wish.rank) {
                continue;
            }
            if asked.is_none() && !self.has_room(now_ms, want.wish, want.pressing) {
                if want.pressing {
                    unplaced.push(want.wish.rank);
                }
                continue;
            }
            self.wishes.insert(want.model.clone(), want.wish);
            out.push(Command::AskLoad {
                model: want.model,
                rank: want.wish.rank,
                since_ms: want.since_ms,
            });
        }
        self.fit_closing_slots(now_ms, &unplaced);
    }

    /// The first waiting models without a slot, at most as many as there are slots.
    fn wanted_loads(&self, now_ms: Millis) -> Vec<WantedLoad> {
        let room = self.shape.slots as usize;
        self.queue
            .closed_heads()
            .take(2 * room)
            .filter(|ask| self.slots.get(&ask.model).is_none())
            .take(room)
            .map(|ask| {
                let waited_ms = now_ms.saturating_sub(ask.arrived_ms);
                WantedLoad {
                    model: ask.model.clone(),
                    wish: Wish {
                        rank: self.load_rank(ask, now_ms),
                        urgent: ask.urgent,
                    },
                    pressing: ask.urgent || waited_ms >= self.settings.swap_patience_ms,
                    since_ms: ask.arrived_ms,
                }
            })
            .collect()
    }

    /// Keeps one busy slot closing for each pressing model that found no room, and opens
    /// those again that nobody needs any more.
    fn fit_closing_slots(&mut self, now_ms: Millis, unplaced: &[u8]) {
        let mut closing: Vec<ModelRef> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Closing)
            .map(|(model, _)| model.clone())
            .collect();
        closing.sort();
        let promised = self.wishes.len();
        let needed = unplaced.len() + promised;
        for model in closing.iter().skip(needed) {
            self.reopen(model);
        }
        if let Some(rank) = unplaced.get(closing.len().saturating_sub(promised)) {
            self.close_one(now_ms, *rank);
        }
    }

    fn reopen(&mut self, model: &ModelRef) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = SlotState::Loaded;
        }
        self.queue.set_open(model, true);
    }

    fn load_rank(&self, ask: &Ask, now_ms: Millis) -> u8 {
        let late = ask.start_by_ms < now_ms + self.settings.late_within_ms;
        if !ask.urgent && late {
            return ask.rank.min(LATE_RANK);
        }
        ask.rank
    }

    /// Whether one more load than those promised already would find a slot. Wishes that stand
    /// behind this one do not count: whoever is granted first takes the slot.
    fn has_room(&self, now_ms: Millis, wish: Wish, pressing: bool) -> bool {
        let promised = self
            .wishes
            .values()
            .filter(|asked| asked.rank <= wish.rank)
            .count();
        let held = self.slots.iter().count();
        let free = (self.shape.slots as usize).saturating_sub(held);
        let from_batch_only = self.may_take_from_batch_only(now_ms, wish);
        let idle = self
            .slots
            .iter()
            .filter(|(model, slot)| {
                self.is_idle(model, slot)
                    && (!from_batch_only || slot.is_held_for_batch(now_ms))
                    && self.yields(model, wish.rank, pressing)
            })
            .count();
        promised < free + idle
    }

    /// Whether an idle model gives way: at once when nothing waits for it, else only to
    /// work that goes before and has waited long enough.
    fn yields(&self, model: &ModelRef, rank: u8, pressing: bool) -> bool {
        match self.queue.head_rank(model) {
            None => true,
            Some(_) if self.queue.has_urgent(model) => false,
            Some(head) => pressing && head >= rank,
        }
    }
}

impl Scheduler for EngineOwner {
    fn handle(&mut self, now_ms: Millis, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Submit(ask) => self.submit(now_ms, ask, &mut out),
            Event::Cancel(id) => {
                self.queue.remove(id);
            }
            Event::Finished(id) => self.finish(now_ms, id),
            Event::LoadGranted(model) => self.start_load(now_ms, model, &mut out),
            Event::Loaded(model) => self.note_loaded(now_ms, &model, &mut out),
            Event::LoadFailed(model) => self.note_load_failed(now_ms, &model, &mut out),
            Event::Unloaded(model) => self.note_unloaded(now_ms, &model, &mut out),
            Event::UnloadFailed(model) => self.note_unload_failed(now_ms, &model, &mut out),
            Event::Missing(model) => self.note_missing(&model),
            Event::Learnt(contents) => self.learn(now_ms, &contents),
            Event::Observed(contents) => self.count_inherited(&contents),
            Event::EngineLeaves => self.leave(&mut out),
            Event::Released => self.release(&mut out),
            Event::Tick => {}
        }
        self.refuse_expired(now_ms, &mut out);
        if self.learnt {
            self.dispatch(now_ms, &mut out);
            self.plan_loads(now_ms, &mut out);
        }
        out
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn running(&self) -> usize {
        self.running.len()
    }

    fn expected_wait_ms(&self, now_ms: Millis, rank: u8) -> Millis {
        let limit = self.shape.batch_limit as usize;
        let ahead = self.queue.ahead_of(rank) + self.busy() as usize;
        let beyond = ahead.saturating_sub(limit.saturating_sub(1));
        let by_count_ms = (beyond as f64 * self.service.mean_ms() / limit as f64) as Millis;
        let queued = self.queue.of_rank(rank);
        if queued <= limit {
            // Too few for their pace to say more than the count does.
            return by_count_ms;
        }
        by_count_ms.max(self.paces.wait_ms(rank, queued, now_ms))
    }
}

fn refuse(id: RequestId, reason: Refusal, retry_after_ms: Millis) -> Command {
    Command::Refuse {
        id,
        reason,
        retry_after_ms,
    }
}

/// Doubling backoff; the jitter comes from the model's name, so runs repeat.
fn backoff_ms(model: &ModelRef, count: u32) -> Millis {
    let doubled = LOAD_BACKOFF_MS.saturating_mul(1 << count.min(10));
    let capped = doubled.min(MAX_LOAD_BACKOFF_MS);
    let jitter = rendezvous::score(&model.to_string(), &count.to_string()) % (capped / 2);
    capped / 2 + jitter
}
