//! Simulates one strategy with one workload and seed in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use tinbay_core::engine::{
    Command, EngineContents, EngineShape, Event, QueuedRequest, RefusalReason, Scheduler,
};
use tinbay_core::ids::{EngineId, ModelRef, RequestId};
use tinbay_core::loads::{LoadArbiter, LoadRequest};
use tinbay_core::policy::{Policy, PolicyRequest, Treatment};
use tinbay_core::units::Millis;

use crate::arrivals::{self, Arrival};
use crate::engines::FakeEngine;
use crate::measures::{ClassCollector, MIN_ORGANISATION_REQUESTS, Measures};
use crate::strategy::{EngineLoad, Routing, StrategyKind};
use crate::weights::FakeWeightStore;
use crate::workload::{Disturbance, Workload};

/// Interval of the schedulers' ticks, the same as in a box.
const TICK_MS: Millis = 20;

/// Duration of an unload.
const UNLOAD_MS: Millis = 5;

/// Maximum number of engines tried for one request.
const MAX_ATTEMPTS: usize = 4;

/// An event of the simulation.
#[derive(Debug, Clone)]
enum SimulationEvent {
    Arrive(usize),
    Tick,
    Grant,
    Loaded {
        engine: usize,
        incarnation: u64,
        model: ModelRef,
    },
    Unloaded {
        engine: usize,
        model: ModelRef,
    },
    Finished {
        engine: usize,
        incarnation: u64,
        id: RequestId,
    },
    Restart {
        engine: usize,
    },
}

/// A request that has neither started nor been refused.
struct Request {
    arrival: usize,
    treatment: Treatment,
    engines: Vec<usize>,
    attempts: usize,
}

struct Experiment<'a> {
    workload: &'a Workload,
    kind: StrategyKind,
    policy: Option<&'a Policy>,
    arrivals: Vec<Arrival>,
    now_ms: Millis,
    event_queue: BinaryHeap<Reverse<(Millis, u64, usize)>>,
    pending_events: HashMap<usize, SimulationEvent>,
    next_event: usize,
    schedulers: Vec<Box<dyn Scheduler>>,
    engines: Vec<FakeEngine>,
    running: Vec<HashMap<RequestId, ModelRef>>,
    routing: Routing,
    arbiter: LoadArbiter,
    weights: FakeWeightStore,
    requests: HashMap<RequestId, Request>,
    classes: BTreeMap<String, ClassCollector>,
    organisations: HashMap<usize, (u64, u64)>,
    unloads_while_serving: u64,
}

/// Runs a strategy. The same arguments give the same figures.
pub fn run(workload: &Workload, policy: &Policy, kind: StrategyKind, seed: u64) -> Measures {
    let mut experiment = Experiment::new(workload, policy, kind, seed);
    experiment.schedule_all();
    experiment.run_to_end();
    experiment.finish()
}

impl<'a> Experiment<'a> {
    fn new(workload: &'a Workload, policy: &'a Policy, kind: StrategyKind, seed: u64) -> Self {
        let config = &workload.engines;
        let shape = EngineShape {
            slots: config.slots,
            batch_limit: config.batch_limit,
        };
        let policy = (kind == StrategyKind::CorePolicy).then_some(policy);
        let classes = workload
            .traffic
            .iter()
            .map(|traffic| (traffic.class.clone(), ClassCollector::new()))
            .collect();
        Self {
            workload,
            kind,
            policy,
            arrivals: arrivals::generate(workload, seed),
            now_ms: 0,
            event_queue: BinaryHeap::new(),
            pending_events: HashMap::new(),
            next_event: 0,
            schedulers: (0..config.count)
                .map(|_| kind.scheduler(shape, policy))
                .collect(),
            engines: vec![FakeEngine::default(); config.count],
            running: vec![HashMap::new(); config.count],
            routing: Routing::new(kind, workload),
            arbiter: LoadArbiter::new(workload.allowance()),
            weights: FakeWeightStore::new(workload.weight_store.clone()),
            requests: HashMap::new(),
            classes,
            organisations: HashMap::new(),
            unloads_while_serving: 0,
        }
    }

    fn schedule_all(&mut self) {
        for engine in 0..self.schedulers.len() {
            self.deliver(engine, Event::Learnt(EngineContents::default()));
        }
        if let Some(first) = self.arrivals.first() {
            self.schedule(first.at_ms, SimulationEvent::Arrive(0));
        }
        self.schedule(TICK_MS, SimulationEvent::Tick);
        for disturbance in &self.workload.disturbance {
            if let Disturbance::Restart { at_s, engine } = disturbance {
                self.schedule(at_s * 1_000, SimulationEvent::Restart { engine: *engine });
            }
        }
    }

    fn schedule(&mut self, at_ms: Millis, event: SimulationEvent) {
        self.event_queue
            .push(Reverse((at_ms, self.next_event as u64, self.next_event)));
        self.pending_events.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Runs until every request has started or been refused, for at most twice the duration of the
    /// workload.
    fn run_to_end(&mut self) {
        let last_ms = 2 * self.workload.length_ms();
        while let Some(Reverse((at_ms, _, number))) = self.event_queue.pop() {
            let Some(event) = self.pending_events.remove(&number) else {
                continue;
            };
            self.now_ms = at_ms;
            let over = at_ms > self.workload.length_ms() && self.requests.is_empty();
            if over || at_ms > last_ms {
                return;
            }
            self.process_event(event);
        }
    }

    fn process_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive(index) => self.arrive(index),
            SimulationEvent::Tick => self.tick(),
            SimulationEvent::Grant => self.grant(),
            SimulationEvent::Loaded {
                engine,
                incarnation,
                model,
            } => {
                self.weights.end_load();
                if self.engines[engine].incarnation == incarnation {
                    self.routing.note_loaded(engine, &model);
                    self.deliver(engine, Event::Loaded(model));
                } else {
                    self.deliver(engine, Event::LoadFailed(model));
                }
            }
            SimulationEvent::Unloaded { engine, model } => {
                self.routing.note_unloaded(engine, &model);
                self.deliver(engine, Event::Unloaded(model));
            }
            SimulationEvent::Finished {
                engine,
                incarnation,
                id,
            } => {
                if self.engines[engine].incarnation == incarnation
                    && self.running[engine].remove(&id).is_some()
                {
                    self.record_batch_use(engine);
                    self.engines[engine].running -= 1;
                    self.deliver(engine, Event::Finished(id));
                }
            }
            SimulationEvent::Restart { engine } => self.restart(engine),
        }
    }

    fn tick(&mut self) {
        if self.kind.is_core() {
            for engine in 0..self.schedulers.len() {
                self.deliver(engine, Event::Tick);
            }
            self.grant();
        }
        self.schedule(self.now_ms + TICK_MS, SimulationEvent::Tick);
    }

    fn arrive(&mut self, index: usize) {
        if let Some(next) = self.arrivals.get(index + 1) {
            self.schedule(next.at_ms, SimulationEvent::Arrive(index + 1));
        }
        let arrival = &self.arrivals[index];
        let treatment = self.classify_arrival(arrival);
        let loads: Vec<EngineLoad> = self
            .schedulers
            .iter()
            .map(|scheduler| EngineLoad {
                connections: scheduler.queued() + scheduler.running(),
            })
            .collect();
        let engines = self.routing.order(
            self.now_ms,
            arrival.adapter,
            &arrival.model,
            treatment.urgent,
            &loads,
        );
        let class = &self.workload.traffic[arrival.traffic].class;
        if let Some(collector) = self.classes.get_mut(class) {
            collector.note_arrival();
        }
        let id = RequestId(index as u64);
        let request = Request {
            arrival: index,
            treatment,
            engines,
            attempts: 0,
        };
        self.requests.insert(id, request);
        self.try_next(id);
    }

    fn classify_arrival(&self, arrival: &Arrival) -> Treatment {
        let traffic = &self.workload.traffic[arrival.traffic];
        let base = Treatment {
            rank: traffic.rank,
            urgent: traffic.urgent,
            max_wait_ms: traffic.max_wait_ms,
            repeatable: true,
        };
        let Some(policy) = self.policy else {
            return base;
        };
        let organisation = arrival.organisation.to_string();
        let request = PolicyRequest {
            class: &traffic.class,
            organisation: &organisation,
            adapter: arrival.model.adapter(),
            prompt_bytes: traffic.prompt_bytes,
            max_tokens: traffic.tokens,
            base,
        };
        policy.classify(&request).unwrap_or(base)
    }

    /// Submits a request to the next engine of its order, or refuses it if none is left.
    fn try_next(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let engine = request.engines.get(request.attempts).copied();
        request.attempts += 1;
        let Some(engine) = engine.filter(|_| request.attempts <= MAX_ATTEMPTS) else {
            self.refuse(id);
            return;
        };
        let arrival = &self.arrivals[request.arrival];
        let queued_request = QueuedRequest {
            id,
            model: arrival.model.clone(),
            organisation: arrival.organisation.to_string(),
            rank: request.treatment.rank,
            urgent: request.treatment.urgent,
            arrived_ms: arrival.at_ms,
            start_by_ms: arrival.at_ms + request.treatment.max_wait_ms,
        };
        let (rank, urgent) = (queued_request.rank, queued_request.urgent);
        self.record_batch_use(engine);
        self.deliver(engine, Event::Submit(queued_request));
        let wait_ms = self.schedulers[engine].expected_wait_ms(self.now_ms, rank);
        self.routing.note_wait(engine, urgent, wait_ms, self.now_ms);
    }

    fn refuse(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let arrival = &self.arrivals[request.arrival];
        let traffic = &self.workload.traffic[arrival.traffic];
        if let Some(collector) = self.classes.get_mut(&traffic.class) {
            collector.note_refusal();
        }
        if traffic.urgent {
            self.organisations
                .entry(arrival.organisation)
                .or_default()
                .0 += 1;
        }
    }

    fn start(&mut self, engine: usize, id: RequestId, stall_ms: Millis) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let arrival = &self.arrivals[request.arrival];
        let traffic = &self.workload.traffic[arrival.traffic];
        let wait_ms = self.now_ms - arrival.at_ms;
        let in_time = wait_ms <= traffic.max_wait_ms;
        if let Some(collector) = self.classes.get_mut(&traffic.class) {
            collector.note_start(stall_ms, wait_ms, in_time);
        }
        if traffic.urgent {
            let share = self.organisations.entry(arrival.organisation).or_default();
            share.0 += 1;
            share.1 += u64::from(in_time);
        }
        self.running[engine].insert(id, arrival.model.clone());
        let fake_engine = &mut self.engines[engine];
        fake_engine.running += 1;
        let duration_ms = fake_engine.request_duration_ms(&self.workload.engines, traffic.tokens);
        let incarnation = fake_engine.incarnation;
        self.schedule(
            self.now_ms + duration_ms,
            SimulationEvent::Finished {
                engine,
                incarnation,
                id,
            },
        );
    }

    fn restart(&mut self, engine: usize) {
        self.record_batch_use(engine);
        self.engines[engine].incarnation += 1;
        self.engines[engine].running = 0;
        self.routing.note_restarted(engine);
        let lost = std::mem::take(&mut self.running[engine]);
        self.deliver(engine, Event::Learnt(EngineContents::default()));
        for id in lost.into_keys() {
            self.deliver(engine, Event::Finished(id));
        }
    }

    fn deliver(&mut self, engine: usize, event: Event) {
        let commands = self.schedulers[engine].handle(self.now_ms, event);
        if !commands.is_empty() {
            self.record_batch_use(engine);
        }
        for command in commands {
            self.execute(engine, command);
        }
    }

    fn execute(&mut self, engine: usize, command: Command) {
        match command {
            Command::AskLoad { model, rank, .. } => self.ask_load(engine, model, rank),
            Command::EndLoad(model) => self.end_load(engine, &model),
            Command::ReturnLoad(model) => {
                self.arbiter.give_back(&engine_id(engine), &model);
                self.schedule(self.now_ms, SimulationEvent::Grant);
            }
            Command::Load(model) => {
                let duration_ms = self.weights.start_load(self.now_ms);
                let incarnation = self.engines[engine].incarnation;
                let loaded = SimulationEvent::Loaded {
                    engine,
                    incarnation,
                    model,
                };
                self.schedule(self.now_ms + duration_ms, loaded);
            }
            Command::Unload(model) => {
                let serving = self.running[engine]
                    .values()
                    .any(|running| *running == model);
                self.unloads_while_serving += u64::from(serving);
                self.schedule(
                    self.now_ms + UNLOAD_MS,
                    SimulationEvent::Unloaded { engine, model },
                );
            }
            Command::Dispatch { id, stall_ms } => self.start(engine, id, stall_ms),
            Command::Refuse { id, reason, .. } => match reason {
                RefusalReason::DeadlinePassed => self.refuse(id),
                RefusalReason::Overloaded
                | RefusalReason::LoadFailed
                | RefusalReason::NotOwner
                | RefusalReason::EngineLeaves => self.try_next(id),
            },
        }
    }

    /// Requests a load from the arbiter. The naive strategies load without permission and wait at
    /// the weight store.
    fn ask_load(&mut self, engine: usize, model: ModelRef, rank: u8) {
        if !self.kind.is_core() {
            self.deliver(engine, Event::LoadGranted(model));
            return;
        }
        self.arbiter.ask(LoadRequest {
            rank,
            since_ms: self.now_ms,
            engine: engine_id(engine),
            model,
        });
        self.schedule(self.now_ms, SimulationEvent::Grant);
    }

    fn end_load(&mut self, engine: usize, model: &ModelRef) {
        if self.kind.is_core() {
            self.arbiter.done(&engine_id(engine), model);
            self.schedule(self.now_ms, SimulationEvent::Grant);
        }
    }

    fn grant(&mut self) {
        for granted in self.arbiter.grant(self.now_ms) {
            let number = granted.engine.as_str().trim_start_matches("engine-");
            if let Ok(engine) = number.parse() {
                self.deliver(engine, Event::LoadGranted(granted.model));
            }
        }
    }

    fn record_batch_use(&mut self, engine: usize) {
        let queued = self.schedulers[engine].queued();
        let limit = self.workload.engines.batch_limit;
        self.engines[engine].record_batch_use(self.now_ms, queued, limit);
    }

    fn finish(self) -> Measures {
        let (mut used, mut offered) = (0, 0);
        for engine in &self.engines {
            let (engine_used, engine_offered) = engine.batch_use();
            used += engine_used;
            offered += engine_offered;
        }
        let shares = self
            .organisations
            .values()
            .filter(|(arrived, _)| *arrived >= MIN_ORGANISATION_REQUESTS);
        let least = shares
            .map(|(arrived, in_time)| *in_time as f64 / *arrived as f64)
            .fold(1.0, f64::min);
        Measures {
            classes: self
                .classes
                .iter()
                .map(|(class, collector)| (class.clone(), collector.finish()))
                .collect(),
            batch_efficiency: used as f64 / (offered as f64).max(1.0),
            loads: self.weights.loads,
            unloads_while_serving: self.unloads_while_serving,
            least_organisation_in_time: least,
        }
    }
}

fn engine_id(engine: usize) -> EngineId {
    EngineId::new(format!("engine-{engine}"))
}
