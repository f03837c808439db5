//! The scheduler that a box runs for each engine that it owns.

use std::collections::{BTreeMap, HashMap};

use super::demand::MovingAverage;
use super::pace::DispatchIntervals;
use super::placement::PendingLoad;
use super::queue::Queue;
use super::settings::OwnerSettings;
use super::slots::{Slot, SlotState, Slots};
use super::{Command, EngineShape, Event, QueuedRequest, RefusalReason, Scheduler};
use crate::ids::{ModelRef, RequestId};
use crate::rendezvous;
use crate::units::Millis;

/// Assumed run time of a request until the first one ends.
const INITIAL_SERVICE_MS: f64 = 500.0;

/// Assumed duration of a load until the first one ends.
const INITIAL_LOAD_MS: f64 = 500.0;

/// Base of the backoff after failed loads, which doubles with each one.
const LOAD_BACKOFF_MS: Millis = 500;

/// Upper bound of the backoff after failed loads.
const MAX_LOAD_BACKOFF_MS: Millis = 30_000;

/// A request in the engine's batch.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) model: ModelRef,
    started_ms: Millis,
}

/// Consecutive failed loads of a model.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailedLoads {
    pub(super) count: u32,
    pub(super) retry_ms: Millis,
}

/// The [`Scheduler`] of an engine that this box owns.
#[derive(Debug)]
pub struct EngineOwner {
    pub(super) shape: EngineShape,
    pub(super) settings: OwnerSettings,
    pub(super) queue: Queue,
    pub(super) slots: Slots,
    pub(super) running: HashMap<RequestId, Running>,
    /// Number of requests per model that the engine runs and this box does not track: those of
    /// earlier owners, and detached ones.
    pub(super) inherited: HashMap<ModelRef, u32>,
    pub(super) pending_loads: BTreeMap<ModelRef, PendingLoad>,
    /// Granted loads whose slot is still being unloaded, by the model that is unloaded.
    pub(super) replacing: HashMap<ModelRef, ModelRef>,
    pub(super) failures: HashMap<ModelRef, FailedLoads>,
    pub(super) mean_service: MovingAverage,
    pub(super) mean_load: MovingAverage,
    pub(super) dispatch_intervals: DispatchIntervals,
    pub(super) dispatches: u32,
    pub(super) contents_known: bool,
    pub(super) is_leaving: bool,
}

impl EngineOwner {
    /// Creates an owner that dispatches nothing until [`Event::Learnt`] reports the engine's
    /// contents.
    pub fn new(shape: EngineShape, settings: OwnerSettings) -> Self {
        Self {
            shape,
            settings,
            queue: Queue::default(),
            slots: Slots::new(shape.slots),
            running: HashMap::new(),
            inherited: HashMap::new(),
            pending_loads: BTreeMap::new(),
            replacing: HashMap::new(),
            failures: HashMap::new(),
            mean_service: MovingAverage::new(INITIAL_SERVICE_MS),
            mean_load: MovingAverage::new(INITIAL_LOAD_MS),
            dispatch_intervals: DispatchIntervals::default(),
            dispatches: 0,
            contents_known: false,
            is_leaving: false,
        }
    }

    /// Replaces the settings, after a policy change.
    pub fn set_settings(&mut self, settings: OwnerSettings) {
        self.settings = settings;
    }

    /// Models that can serve requests now, sorted.
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

    /// Whether the engine's contents are known.
    pub fn has_learnt(&self) -> bool {
        self.contents_known
    }

    fn submit(&mut self, now_ms: Millis, request: QueuedRequest, out: &mut Vec<Command>) {
        if self.is_leaving {
            out.push(refuse(request.id, RefusalReason::EngineLeaves, 0));
            return;
        }
        if self.is_backing_off(&request.model, now_ms) {
            out.push(refuse(
                request.id,
                RefusalReason::LoadFailed,
                LOAD_BACKOFF_MS,
            ));
            return;
        }
        let wait_ms = self.estimate_wait_ms(now_ms, &request);
        if now_ms + wait_ms > request.start_by_ms {
            let late_ms = now_ms + wait_ms - request.start_by_ms;
            out.push(refuse(
                request.id,
                RefusalReason::Overloaded,
                late_ms.max(1),
            ));
            return;
        }
        if let Some(slot) = self.slots.get_mut(&request.model) {
            slot.record_request(now_ms, request.urgent);
        }
        let draining = |slot: &Slot| slot.state == SlotState::Draining;
        if request.urgent && self.slots.get(&request.model).is_some_and(draining) {
            self.cancel_drain(&request.model);
        }
        let share_ms = self.mean_service.mean_ms()
            / (f64::from(self.shape.batch_limit) * self.settings.fair_share);
        if self.queue.count_of_rank(request.rank) == 0 {
            self.dispatch_intervals.record_backlog(request.rank, now_ms);
        }
        self.queue.push(request, share_ms as Millis);
    }

    fn is_backing_off(&self, model: &ModelRef, now_ms: Millis) -> bool {
        let failure = self.failures.get(model);
        failure.is_some_and(|failure| now_ms < failure.retry_ms)
    }

    fn estimate_wait_ms(&self, now_ms: Millis, request: &QueuedRequest) -> Millis {
        let wait_ms = self.expected_wait_ms(now_ms, request.rank);
        if self.slots.is_loaded(&request.model) {
            return wait_ms;
        }
        wait_ms.max(self.mean_load.mean_ms() as Millis)
    }

    fn finish(&mut self, now_ms: Millis, id: RequestId) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        self.mean_service.add(now_ms.saturating_sub(run.started_ms));
        if let Some(slot) = self.slots.get_mut(&run.model) {
            slot.serving = slot.serving.saturating_sub(1);
        }
    }

    /// Keeps the batch place of a request occupied until the engine's reports no longer list it.
    fn detach(&mut self, id: RequestId) {
        let Some(run) = self.running.remove(&id) else {
            return;
        };
        if let Some(slot) = self.slots.get_mut(&run.model) {
            slot.serving = slot.serving.saturating_sub(1);
        }
        *self.inherited.entry(run.model).or_default() += 1;
    }

    fn release(&mut self, out: &mut Vec<Command>) {
        self.contents_known = false;
        self.refuse_all(RefusalReason::NotOwner, out);
    }

    /// Refuses all requests until the engine reports its contents again after a restart.
    fn leave(&mut self, out: &mut Vec<Command>) {
        self.is_leaving = true;
        self.refuse_all(RefusalReason::EngineLeaves, out);
    }

    fn refuse_all(&mut self, reason: RefusalReason, out: &mut Vec<Command>) {
        for id in self.queue.ids() {
            self.queue.remove(id);
            out.push(refuse(id, reason, 0));
        }
    }

    fn refuse_expired(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        while let Some(id) = self.queue.first_expired(now_ms) {
            let rank = self.queue.remove(id).map_or(0, |request| request.rank);
            let retry_after_ms = self.expected_wait_ms(now_ms, rank).max(1);
            out.push(refuse(id, RefusalReason::DeadlinePassed, retry_after_ms));
        }
    }

    fn dispatch(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        while let Some(id) = self.next_to_run(now_ms) {
            let Some(request) = self.queue.remove(id) else {
                return;
            };
            let Some(slot) = self.slots.get_mut(&request.model) else {
                // A dispatchable model always has a slot. If that were violated, the caller would
                // still need an answer.
                out.push(refuse(id, RefusalReason::LoadFailed, 0));
                continue;
            };
            slot.serving += 1;
            self.dispatch_intervals
                .record_dispatch(request.rank, now_ms);
            let stall_ms = slot.loaded_ms.saturating_sub(request.arrived_ms);
            self.dispatches = self.dispatches.wrapping_add(1);
            self.running.insert(
                id,
                Running {
                    model: request.model,
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
            if let Some(late) = self.queue.late_dispatchable(horizon_ms, depth) {
                return Some(late.id);
            }
        }
        let first = self.queue.first_dispatchable()?;
        let limit = if first.urgent {
            self.shape.batch_limit
        } else {
            self.batch_work_limit()
        };
        (busy < limit).then_some(first.id)
    }

    /// Batch places open to batch work; an engine with a single place has no reserve.
    fn batch_work_limit(&self) -> u32 {
        let limit = self.shape.batch_limit;
        limit.saturating_sub(self.settings.urgent_reserve).max(1)
    }

    fn busy(&self) -> u32 {
        let inherited: u32 = self.inherited.values().sum();
        self.running.len() as u32 + inherited
    }
}

impl Scheduler for EngineOwner {
    fn handle(&mut self, now_ms: Millis, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Submit(request) => self.submit(now_ms, request, &mut out),
            Event::Cancel(id) => {
                self.queue.remove(id);
            }
            Event::Finished(id) => self.finish(now_ms, id),
            Event::Detached(id) => self.detach(id),
            Event::LoadGranted(model) => self.start_load(now_ms, model, &mut out),
            Event::Loaded(model) => self.handle_loaded(now_ms, &model, &mut out),
            Event::LoadFailed(model) => self.handle_load_failed(now_ms, &model, &mut out),
            Event::Unloaded(model) => self.handle_unloaded(now_ms, &model, &mut out),
            Event::UnloadFailed(model) => self.handle_unload_failed(now_ms, &model, &mut out),
            Event::Missing(model) => self.handle_missing(&model),
            Event::Learnt(contents) => self.apply_contents(now_ms, &contents),
            Event::Observed(contents) => self.count_inherited(&contents),
            Event::EngineLeaves => self.leave(&mut out),
            Event::Released => self.release(&mut out),
            Event::Tick => {}
        }
        self.refuse_expired(now_ms, &mut out);
        if self.contents_known {
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
        let ahead = self.queue.count_ahead_of(rank) + self.busy() as usize;
        let beyond = ahead.saturating_sub(limit.saturating_sub(1));
        let by_count_ms = (beyond as f64 * self.mean_service.mean_ms() / limit as f64) as Millis;
        let queued = self.queue.count_of_rank(rank);
        if queued <= limit {
            // With less than a batch queued, the dispatch interval says no more than the count.
            return by_count_ms;
        }
        by_count_ms.max(self.dispatch_intervals.wait_ms(rank, queued, now_ms))
    }
}

/// Builds the command that refuses a request.
pub(super) fn refuse(id: RequestId, reason: RefusalReason, retry_after_ms: Millis) -> Command {
    Command::Refuse {
        id,
        reason,
        retry_after_ms,
    }
}

/// Exponential backoff with jitter. The jitter is derived from the model's name, so that
/// simulations are reproducible.
pub(super) fn backoff_ms(model: &ModelRef, count: u32) -> Millis {
    let doubled = LOAD_BACKOFF_MS.saturating_mul(1 << count.min(10));
    let capped = doubled.min(MAX_LOAD_BACKOFF_MS);
    let jitter = rendezvous::score(&model.to_string(), &count.to_string()) % (capped / 2);
    capped / 2 + jitter
}
