//! A fake engine on virtual time, driven by a scheduler.
#![allow(dead_code)] // Not every test file uses all items.

use std::collections::BTreeMap;

use tinbay_core::engine::{Command, EngineContents, EngineShape, Event, QueuedRequest, Scheduler};
use tinbay_core::ids::{ModelRef, RequestId};
use tinbay_core::units::Millis;

/// Duration of a load and of a request in the fake engine.
pub const LOAD_MS: Millis = 100;
pub const RUN_MS: Millis = 50;

/// A model by number.
pub fn model(number: usize) -> ModelRef {
    ModelRef::new(format!("adapter-{number}"), "v1")
}

/// A request that waits up to `wait_ms`.
pub fn ask(
    id: u64,
    number: usize,
    urgent: bool,
    arrived_ms: Millis,
    wait_ms: Millis,
) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(id),
        model: model(number),
        organisation: format!("organisation-{number}"),
        rank: if urgent { 0 } else { 50 },
        urgent,
        arrived_ms,
        start_by_ms: arrived_ms + wait_ms,
    }
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fate {
    Ran { model: ModelRef, at_ms: Millis },
    Refused { at_ms: Millis },
}

/// Drives a scheduler with a fake engine that carries out its commands and checks them.
pub struct Bench {
    pub scheduler: Box<dyn Scheduler>,
    pub fates: BTreeMap<RequestId, Fate>,
    pub loaded: Vec<ModelRef>,
    /// Commands that no engine could carry out; each is a fault of the scheduler.
    pub faults: Vec<String>,
    pub unloads: Vec<ModelRef>,
    asks: BTreeMap<RequestId, QueuedRequest>,
    running: BTreeMap<RequestId, ModelRef>,
    due: BTreeMap<(Millis, u64), Event>,
    next: u64,
    shape: EngineShape,
    pub now_ms: Millis,
    /// Models whose loads fail.
    pub failing: Vec<ModelRef>,
}

impl Bench {
    pub fn new(scheduler: Box<dyn Scheduler>, shape: EngineShape) -> Self {
        let mut bench = Self {
            scheduler,
            fates: BTreeMap::new(),
            loaded: Vec::new(),
            faults: Vec::new(),
            unloads: Vec::new(),
            asks: BTreeMap::new(),
            running: BTreeMap::new(),
            due: BTreeMap::new(),
            next: 0,
            shape,
            now_ms: 0,
            failing: Vec::new(),
        };
        bench.give(Event::Learnt(EngineContents::default()));
        bench
    }

    pub fn submit(&mut self, ask: QueuedRequest) {
        self.asks.insert(ask.id, ask.clone());
        self.give(Event::Submit(ask));
    }

    /// Submits every refused request again, as a box does at the next engine.
    pub fn submit_refused_again(&mut self) {
        let refused: Vec<RequestId> = self
            .fates
            .iter()
            .filter(|(_, fate)| matches!(fate, Fate::Refused { .. }))
            .map(|(id, _)| *id)
            .collect();
        for id in refused {
            self.fates.remove(&id);
            let ask = self.asks[&id].clone();
            self.give(Event::Submit(ask));
        }
    }

    /// Advances the time, with a tick every 20 ms.
    pub fn run_until(&mut self, until_ms: Millis) {
        while self.now_ms < until_ms {
            let tick_ms = self.now_ms + 20;
            while let Some((&(at_ms, number), _)) = self.due.first_key_value() {
                if at_ms > tick_ms {
                    break;
                }
                self.now_ms = at_ms.max(self.now_ms);
                if let Some(event) = self.due.remove(&(at_ms, number)) {
                    self.arrive(event);
                }
            }
            self.now_ms = tick_ms;
            self.give(Event::Tick);
        }
    }

    /// Restarts the engine empty: running requests end, and loads and unloads in progress fail.
    pub fn restart(&mut self) {
        self.loaded.clear();
        let running = std::mem::take(&mut self.running);
        for event in self.due.values_mut() {
            match event {
                Event::Loaded(model) => *event = Event::LoadFailed(model.clone()),
                Event::Unloaded(model) => *event = Event::UnloadFailed(model.clone()),
                _ => {}
            }
        }
        self.due
            .retain(|_, event| !matches!(event, Event::Finished(_)));
        self.give(Event::Learnt(EngineContents::default()));
        for id in running.into_keys() {
            self.give(Event::Finished(id));
        }
    }

    pub fn give(&mut self, event: Event) {
        for command in self.scheduler.handle(self.now_ms, event) {
            self.obey(command);
        }
    }

    fn arrive(&mut self, event: Event) {
        match &event {
            Event::Loaded(model) => self.loaded.push(model.clone()),
            Event::Unloaded(model) => self.loaded.retain(|held| held != model),
            Event::Finished(id) => {
                self.running.remove(id);
            }
            _ => {}
        }
        self.give(event);
    }

    fn after(&mut self, ms: Millis, event: Event) {
        self.next += 1;
        self.due.insert((self.now_ms + ms, self.next), event);
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::AskLoad { model, .. } => self.after(1, Event::LoadGranted(model)),
            Command::EndLoad(_) | Command::ReturnLoad(_) => {}
            Command::Load(model) if self.failing.contains(&model) => {
                self.after(LOAD_MS, Event::LoadFailed(model));
            }
            Command::Load(model) => {
                if self.loaded.len() >= self.shape.slots as usize {
                    self.faults
                        .push(format!("load of {model} without a free slot"));
                }
                self.after(LOAD_MS, Event::Loaded(model));
            }
            Command::Unload(model) => {
                if self.running.values().any(|running| *running == model) {
                    self.faults
                        .push(format!("unload of {model} while it serves"));
                }
                self.unloads.push(model.clone());
                self.after(1, Event::Unloaded(model));
            }
            Command::Dispatch { id, .. } => self.dispatch(id),
            Command::Refuse { id, .. } => {
                let at_ms = self.now_ms;
                let earlier = self.fates.insert(id, Fate::Refused { at_ms });
                if earlier.is_some() {
                    self.faults
                        .push(format!("{id:?} refused after {earlier:?}"));
                }
            }
        }
    }

    fn dispatch(&mut self, id: RequestId) {
        let model = self.asks[&id].model.clone();
        if !self.loaded.contains(&model) {
            self.faults
                .push(format!("{id:?} sent before {model} was loaded"));
        }
        if self.running.len() >= self.shape.batch_limit as usize {
            self.faults.push(format!("{id:?} sent into a full batch"));
        }
        self.running.insert(id, model.clone());
        let at_ms = self.now_ms;
        let earlier = self.fates.insert(id, Fate::Ran { model, at_ms });
        if earlier.is_some() {
            self.faults.push(format!("{id:?} sent after {earlier:?}"));
        }
        self.after(RUN_MS, Event::Finished(id));
    }
}
