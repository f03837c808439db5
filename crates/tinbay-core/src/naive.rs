//! A naive scheduler: first come, first served, loads on demand, and eviction of the least recently
//! used adapter.
//!
//! It is the baseline of the experiments and the reference of the differential tests.

use std::collections::{HashMap, VecDeque};

use crate::engine::{Command, EngineShape, Event, QueuedRequest, RefusalReason, Scheduler};
use crate::ids::{ModelRef, RequestId};
use crate::units::Millis;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Requested,
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug)]
struct Slot {
    state: State,
    serving: u32,
    used_ms: Millis,
    loaded_ms: Millis,
}

/// Schedules one engine without priorities, deadlines or look-ahead.
#[derive(Debug)]
pub struct NaiveScheduler {
    shape: EngineShape,
    queue: VecDeque<QueuedRequest>,
    slots: HashMap<ModelRef, Slot>,
    running: HashMap<RequestId, ModelRef>,
}

impl NaiveScheduler {
    /// Creates a scheduler for an empty engine.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            queue: VecDeque::new(),
            slots: HashMap::new(),
            running: HashMap::new(),
        }
    }

    fn dispatch(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        let mut index = 0;
        while index < self.queue.len() && self.running.len() < self.shape.batch_limit as usize {
            let model = self.queue[index].model.clone();
            let loaded = self
                .slots
                .get_mut(&model)
                .filter(|slot| slot.state == State::Loaded);
            let Some(slot) = loaded else {
                index += 1;
                continue;
            };
            slot.serving += 1;
            slot.used_ms = now_ms;
            let stall_ms = slot.loaded_ms.saturating_sub(self.queue[index].arrived_ms);
            if let Some(ask) = self.queue.remove(index) {
                self.running.insert(ask.id, model);
                out.push(Command::Dispatch {
                    id: ask.id,
                    stall_ms,
                });
            }
        }
    }

    fn load_first_missing(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        let missing = self
            .queue
            .iter()
            .find(|ask| !self.slots.contains_key(&ask.model));
        let Some((model, rank, since_ms)) =
            missing.map(|ask| (ask.model.clone(), ask.rank, ask.arrived_ms))
        else {
            return;
        };
        if self.slots.len() < self.shape.slots as usize {
            self.hold(model.clone(), State::Requested, now_ms);
            out.push(Command::AskLoad {
                model,
                rank,
                since_ms,
            });
            return;
        }
        let unloading = self
            .slots
            .values()
            .any(|slot| slot.state == State::Unloading);
        let oldest = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.state == State::Loaded && slot.serving == 0)
            .min_by_key(|(model, slot)| (slot.used_ms, (*model).clone()))
            .map(|(model, _)| model.clone());
        if let (false, Some(victim)) = (unloading, oldest) {
            self.set_state(&victim, State::Unloading);
            out.push(Command::Unload(victim));
        }
    }

    fn hold(&mut self, model: ModelRef, state: State, now_ms: Millis) {
        let slot = Slot {
            state,
            serving: 0,
            used_ms: now_ms,
            loaded_ms: now_ms,
        };
        self.slots.insert(model, slot);
    }

    fn set_state(&mut self, model: &ModelRef, state: State) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = state;
        }
    }

    fn finish(&mut self, id: RequestId) {
        let model = self.running.remove(&id);
        if let Some(slot) = model.and_then(|model| self.slots.get_mut(&model)) {
            slot.serving = slot.serving.saturating_sub(1);
        }
    }

    fn fail_load(&mut self, model: &ModelRef, out: &mut Vec<Command>) {
        self.slots.remove(model);
        out.push(Command::EndLoad(model.clone()));
        let failed = |ask: &QueuedRequest| ask.model == *model;
        for ask in self.queue.iter().filter(|ask| failed(ask)) {
            out.push(Command::Refuse {
                id: ask.id,
                reason: RefusalReason::LoadFailed,
                retry_after_ms: 0,
            });
        }
        self.queue.retain(|ask| !failed(ask));
    }
}

impl Scheduler for NaiveScheduler {
    fn handle(&mut self, now_ms: Millis, event: Event) -> Vec<Command> {
        let mut out = Vec::new();
        match event {
            Event::Submit(ask) => self.queue.push_back(ask),
            Event::Cancel(id) => self.queue.retain(|ask| ask.id != id),
            Event::Finished(id) | Event::Detached(id) => self.finish(id),
            Event::LoadGranted(model) => {
                self.set_state(&model, State::Loading);
                out.push(Command::Load(model));
            }
            Event::Loaded(model) => {
                out.push(Command::EndLoad(model.clone()));
                self.hold(model, State::Loaded, now_ms);
            }
            Event::LoadFailed(model) => self.fail_load(&model, &mut out),
            Event::Unloaded(model) | Event::Missing(model) => {
                self.slots.remove(&model);
            }
            Event::UnloadFailed(model) => self.set_state(&model, State::Loaded),
            Event::Learnt(contents) => {
                self.slots.clear();
                for model in contents.loaded {
                    self.hold(model, State::Loaded, now_ms);
                }
            }
            Event::Observed(_) | Event::EngineLeaves | Event::Released | Event::Tick => {}
        }
        self.dispatch(now_ms, &mut out);
        self.load_first_missing(now_ms, &mut out);
        out
    }

    fn queued(&self) -> usize {
        self.queue.len()
    }

    fn running(&self) -> usize {
        self.running.len()
    }

    fn expected_wait_ms(&self, _now_ms: Millis, _rank: u8) -> Millis {
        0
    }
}
