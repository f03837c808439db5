//! One owned engine: the scheduler and the requests that wait for it.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};

use tinbay_core::config::EngineSpec;
use tinbay_core::engine::{
    Ask, Command, EngineContents, EngineOwner, EngineShape, Event, OwnerSettings, Refusal,
    Scheduler,
};
use tinbay_core::fence::{Fence, Order};
use tinbay_core::ids::{BoxId, ModelRef, RequestId};
use tinbay_core::units::Millis;
use tinbay_wire::admin::EngineStatus;
use tinbay_wire::engine::EngineState;
use tokio::sync::{mpsc, oneshot};

use crate::util::clock::Clock;
use crate::util::sync::lock;

/// A command of the scheduler that needs I/O; carried out on the control thread.
pub struct OrderJob {
    /// The engine concerned.
    pub engine: Arc<OwnedEngine>,
    /// What to do.
    pub command: Command,
}

/// What becomes of a request that waited.
pub enum Verdict {
    /// Run it now; the guard is held until it has left the engine.
    Run(RunGuard),
    /// It does not run here.
    Refused {
        /// Why.
        reason: Refusal,
        /// When asking again makes sense.
        retry_after_ms: Millis,
    },
}

/// One owned engine.
pub struct OwnedEngine {
    spec: EngineSpec,
    clock: Clock,
    jobs: mpsc::UnboundedSender<OrderJob>,
    state: Mutex<OwnedState>,
}

struct OwnedState {
    scheduler: EngineOwner,
    waiters: HashMap<RequestId, oneshot::Sender<Verdict>>,
    /// Requests that wait here or were sent to the engine and not yet seen to end.
    requests: HashMap<RequestId, NamedRequest>,
    /// Runs that nobody here follows, until a report that was asked for later.
    detached: Vec<DetachedRun>,
    order: Order,
    released: bool,
}

/// A request by its name at the engine.
struct NamedRequest {
    name: String,
    model: ModelRef,
    /// A run of an earlier attempt may have the same name while this one waits.
    is_dispatched: bool,
}

/// A run whose end nobody here will see.
struct DetachedRun {
    name: String,
    model: ModelRef,
    detached_ms: Millis,
}

impl OwnedState {
    /// What the engine holds, and which of its requests nobody here follows.
    ///
    /// A report says nothing of a run that was detached after it was asked for: the run may have begun later.
    fn contents(&mut self, engine_state: &EngineState, asked_ms: Millis) -> EngineContents {
        self.detached.retain(|run| run.detached_ms >= asked_ms);
        let followed: HashSet<&str> = self
            .requests
            .values()
            .filter(|request| request.is_dispatched)
            .map(|request| request.name.as_str())
            .collect();
        let reported: HashSet<&str> = engine_state
            .running
            .iter()
            .map(|running| running.request.as_str())
            .collect();
        let unfollowed = engine_state
            .running
            .iter()
            .filter(|running| !followed.contains(running.request.as_str()))
            .map(|running| &running.model);
        let unreported = self
            .detached
            .iter()
            .filter(|run| !reported.contains(run.name.as_str()))
            .map(|run| &run.model);
        EngineContents {
            loaded: engine_state.loaded.clone(),
            inherited: unfollowed.chain(unreported).cloned().collect(),
        }
    }
}

/// A place in the engine's batch. Dropping it gives the place back; a request that was sent and not seen to
/// end keeps it until the engine reports that it runs no more.
pub struct RunGuard {
    engine: Arc<OwnedEngine>,
    id: RequestId,
    may_run: bool,
    /// How long the request waited for its adapter to be loaded.
    pub stall_ms: Millis,
}

impl RunGuard {
    /// Notes that the request goes to the engine now.
    pub fn note_sent(&mut self) {
        self.may_run = true;
    }

    /// Notes that the engine has ended the request, or has not begun it.
    pub fn note_ended(&mut self) {
        self.may_run = false;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.may_run {
            self.engine.detach(self.id);
        } else {
            self.engine.forget_name(self.id);
            self.engine.handle(Event::Finished(self.id));
        }
    }
}

/// A request in the queue. Dropping it takes the request out.
struct WaitGuard<'a> {
    engine: &'a Arc<OwnedEngine>,
    id: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.engine.forget_waiter(self.id);
    }
}

impl OwnedEngine {
    /// An engine just taken over, with what it said it holds.
    pub fn new(
        spec: EngineSpec,
        settings: OwnerSettings,
        order: Order,
        clock: Clock,
        jobs: mpsc::UnboundedSender<OrderJob>,
    ) -> Arc<Self> {
        let shape = EngineShape {
            slots: spec.slots,
            batch_limit: spec.batch_limit,
        };
        Arc::new(Self {
            spec,
            clock,
            jobs,
            state: Mutex::new(OwnedState {
                scheduler: EngineOwner::new(shape, settings),
                waiters: HashMap::new(),
                requests: HashMap::new(),
                detached: Vec::new(),
                order,
                released: false,
            }),
        })
    }

    /// The engine as configured.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Now, as reports of the engine are asked for.
    pub fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    /// The right under which orders are given.
    pub fn order(&self) -> Order {
        lock(&self.state).order
    }

    /// Queues a request and waits for its verdict; `name` is its name at the engine.
    pub async fn submit(self: &Arc<Self>, ask: Ask, name: &str) -> Verdict {
        let refused = Verdict::Refused {
            reason: Refusal::NotOwner,
            retry_after_ms: 0,
        };
        let id = ask.id;
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = lock(&self.state);
            if state.released {
                return refused;
            }
            state.waiters.insert(id, sender);
            let request = NamedRequest {
                name: name.to_owned(),
                model: ask.model.clone(),
                is_dispatched: false,
            };
            state.requests.insert(id, request);
        }
        let waiting = WaitGuard { engine: self, id };
        self.handle(Event::Submit(ask));
        if self.is_released() {
            // Released between the check and the submit: nothing else would flush the queue.
            self.handle(Event::Released);
        }
        let verdict = receiver.await.unwrap_or(refused);
        drop(waiting);
        verdict
    }

    /// Takes an event and carries out what follows.
    pub fn handle(self: &Arc<Self>, event: Event) {
        self.handle_made(|_| event);
    }

    /// Takes an event that depends on the state, with nothing in between.
    fn handle_made(self: &Arc<Self>, make: impl FnOnce(&mut OwnedState) -> Event) {
        let now_ms = self.clock.now_ms();
        let mut deliveries = Vec::new();
        {
            let mut state = lock(&self.state);
            let event = make(&mut state);
            for command in state.scheduler.handle(now_ms, event) {
                self.sort(&mut state, command, &mut deliveries);
            }
        }
        // Outside the lock: a verdict nobody takes is dropped here, which is an event again.
        for (waiter, verdict) in deliveries {
            let _ = waiter.send(verdict);
        }
    }

    fn sort(
        self: &Arc<Self>,
        state: &mut OwnedState,
        command: Command,
        deliveries: &mut Vec<(oneshot::Sender<Verdict>, Verdict)>,
    ) {
        let (id, verdict) = match command {
            Command::Dispatch { id, stall_ms } => {
                if let Some(request) = state.requests.get_mut(&id) {
                    request.is_dispatched = true;
                }
                let engine = Arc::clone(self);
                let guard = RunGuard {
                    engine,
                    id,
                    may_run: false,
                    stall_ms,
                };
                (id, Verdict::Run(guard))
            }
            Command::Refuse {
                id,
                reason,
                retry_after_ms,
            } => {
                state.requests.remove(&id);
                let verdict = Verdict::Refused {
                    reason,
                    retry_after_ms,
                };
                (id, verdict)
            }
            command => {
                let engine = Arc::clone(self);
                let _ = self.jobs.send(OrderJob { engine, command });
                return;
            }
        };
        let waiter = state.waiters.remove(&id);
        // Without a waiter the caller has gone; a closed channel hands the verdict to drop.
        let waiter = waiter.unwrap_or_else(|| oneshot::channel().0);
        deliveries.push((waiter, verdict));
    }

    fn forget_waiter(self: &Arc<Self>, id: RequestId) {
        let waiter = lock(&self.state).waiters.remove(&id);
        if waiter.is_some() {
            self.forget_name(id);
            self.handle(Event::Cancel(id));
        }
    }

    fn forget_name(&self, id: RequestId) {
        lock(&self.state).requests.remove(&id);
    }

    /// Follows a run no longer that the engine may go on with.
    fn detach(self: &Arc<Self>, id: RequestId) {
        let detached_ms = self.clock.now_ms();
        self.handle_made(|state| {
            if let Some(request) = state.requests.remove(&id) {
                state.detached.push(DetachedRun {
                    name: request.name,
                    model: request.model,
                    detached_ms,
                });
            }
            Event::Detached(id)
        });
    }

    /// Takes in what the engine says it holds, after a takeover or a restart; it was asked at `asked_ms`.
    pub fn learn(self: &Arc<Self>, engine_state: &EngineState, asked_ms: Millis) {
        self.handle_made(|state| {
            if state.order.incarnation != engine_state.incarnation {
                state.order.incarnation = engine_state.incarnation;
                state.detached.clear();
            }
            Event::Learnt(state.contents(engine_state, asked_ms))
        });
    }

    /// Compares a report of the engine with what is known; it was asked for at `asked_ms`.
    pub fn observe(self: &Arc<Self>, engine_state: &EngineState, asked_ms: Millis) {
        if engine_state.incarnation != self.order().incarnation {
            self.learn(engine_state, asked_ms);
            return;
        }
        self.handle_made(|state| match engine_state.leaving {
            true => Event::EngineLeaves,
            false => Event::Observed(state.contents(engine_state, asked_ms)),
        });
    }

    /// Gives the engine up: what waits is refused as not run, what runs goes on.
    pub fn release(self: &Arc<Self>) {
        lock(&self.state).released = true;
        self.handle(Event::Released);
    }

    /// Whether the engine was given up.
    pub fn is_released(&self) -> bool {
        lock(&self.state).released
    }

    /// Replaces the scheduler's settings.
    pub fn set_settings(&self, settings: OwnerSettings) {
        lock(&self.state).scheduler.set_settings(settings);
    }

    /// How long a new request of a rank would wait.
    pub fn expected_wait_ms(&self, rank: u8) -> Millis {
        let now_ms = self.clock.now_ms();
        lock(&self.state).scheduler.expected_wait_ms(now_ms, rank)
    }

    /// The fence under which it is owned.
    pub fn fence(&self) -> Fence {
        self.order().fence
    }

    /// The engine as operators see it.
    pub fn status(&self, owner: &BoxId) -> EngineStatus {
        let state = lock(&self.state);
        EngineStatus {
            engine: self.spec.name.clone(),
            owner: owner.clone(),
            epoch: state.order.fence.epoch,
            rank: state.order.fence.rank,
            ready: state.scheduler.has_learnt(),
            loaded: state.scheduler.loaded(),
            queued: state.scheduler.queued(),
            running: state.scheduler.running(),
        }
    }
}
