//! The naive scheduler: first come first served, least recently used unload, load on demand.
//!
//! It is the baseline of the experiments and the other side of the differential tests.

use std::collections::{HashMap, VecDeque};

use crate::engine::{Ask, Command, EngineShape, Event, Refusal, Scheduler};
use crate::ids::{ModelRef, RequestId};
use crate::units::Millis;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Asked,
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug)]
struct Held {
    state: State,
    serving: u32,
    used_ms: Millis,
    loaded_ms: Millis,
}

/// Decides for one engine without priorities, deadlines or foresight.
#[derive(Debug)]
pub struct NaiveScheduler {
    shape: EngineShape,
    queue: VecDeque<Ask>,
    held: HashMap<ModelRef, Held>,
    running: HashMap<RequestId, ModelRef>,
}

impl NaiveScheduler {
    /// A scheduler for an empty engine.
    pub fn new(shape: EngineShape) -> Self {
        Self {
            shape,
            queue: VecDeque::new(),
            held: HashMap::new(),
            running: HashMap::new(),
        }
    }

    fn dispatch(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        let mut index = 0;
        while index < self.queue.len() && self.running.len() < self.shape.batch_limit as usize {
            let model = self.queue[index].model.clone();
            let loaded = self
                .held
                .get_mut(&model)
                .filter(|h| h.state == State::Loaded);
            let Some(held) = loaded else {
                index += 1;
                continue;
            };
            held.serving += 1;
            held.used_ms = now_ms;
            let stall_ms = held.loaded_ms.saturating_sub(self.queue[index].arrived_ms);
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
            .find(|ask| !self.held.contains_key(&ask.model));
        let Some((model, rank, since_ms)) =
            missing.map(|ask| (ask.model.clone(), ask.rank, ask.arrived_ms))
        else {
            return;
        };
        if self.held.len() < self.shape.slots as usize {
            self.hold(model.clone(), State::Asked, now_ms);
            out.push(Command::AskLoad {
                model,
                rank,
                since_ms,
            });
            return;
        }
        let unloading = self
            .held
            .values()
            .any(|held| held.state == State::Unloading);
        let oldest = self
            .held
            .iter()
            .filter(|(_, held)| held.state == State::Loaded && held.serving == 0)
            .min_by_key(|(model, held)| (held.used_ms, (*model).clone()))
            .map(|(model, _)| model.clone());
        if let (false, Some(victim)) = (unloading, oldest) {
            self.set_state(&victim, State::Unloading);
            out.push(Command::Unload(victim));
        }
    }

    fn hold(&mut self, model: ModelRef, state: State, now_ms: Millis) {
        let held = Held {
            state,
            serving: 0,
            used_ms: now_ms,
            loaded_ms: now_ms,
        };
        self.held.insert(model, held);
    }

    fn set_state(&mut self, model: &ModelRef, state: State) {
        if let Some(held) = self.held.get_mut(model) {
            held.state = state;
        }
    }

    fn finish(&mut self, id: RequestId) {
        let model = self.running.remove(&id);
        if let Some(held) = model.and_then(|model| self.held.get_mut(&model)) {
            held.serving = held.serving.saturating_sub(1);
        }
    }

    fn fail_load(&mut self, model: &ModelRef, out: &mut Vec<Command>) {
        self.held.remove(model);
        out.push(Command::EndLoad(model.clone()));
        let failed = |ask: &Ask| ask.model == *model;
        for ask in self.queue.iter().filter(|ask| failed(ask)) {
            out.push(Command::Refuse {
                id: ask.id,
                reason: Refusal::LoadFailed,
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
                self.held.remove(&model);
            }
            Event::UnloadFailed(model) => self.set_state(&model, State::Loaded),
            Event::Learnt(contents) => {
                self.held.clear();
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
