//! One owned engine: its scheduler, the requests queued for it and those sent to it.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};

use tinbay_core::config::EngineSpec;
use tinbay_core::engine::{
    Command, EngineContents, EngineOwner, EngineShape, Event, OwnerSettings, QueuedRequest,
    RefusalReason, Scheduler,
};
use tinbay_core::fence::{Fence, Order};
use tinbay_core::ids::{BoxId, ModelRef, RequestId};
use tinbay_core::units::Millis;
use tinbay_wire::admin::EngineStatus;
use tinbay_wire::engine::EngineState;
use tokio::sync::{mpsc, oneshot};

use crate::util::clock::Clock;
use crate::util::sync::lock;

/// A scheduler command that needs I/O, to be executed on the control thread.
pub struct OrderJob {
    /// The engine that the command concerns.
    pub engine: Arc<OwnedEngine>,
    /// The command to execute.
    pub command: Command,
}

/// What the scheduler decided for a queued request.
pub enum QueueOutcome {
    /// Run it now; the guard is held until the request has left the engine.
    Run(RunGuard),
    /// The request does not run here.
    Refused {
        /// Why the scheduler refused it.
        reason: RefusalReason,
        /// Delay after which a retry may succeed.
        retry_after_ms: Millis,
    },
}

/// An engine owned by this box, with its scheduler.
pub struct OwnedEngine {
    spec: EngineSpec,
    lease_term: u64,
    clock: Clock,
    jobs: mpsc::UnboundedSender<OrderJob>,
    state: Mutex<OwnedState>,
}

struct OwnedState {
    scheduler: EngineOwner,
    waiters: HashMap<RequestId, oneshot::Sender<QueueOutcome>>,
    /// Requests that are queued here, or were sent to the engine and have not ended as far as
    /// known.
    requests: HashMap<RequestId, TrackedRequest>,
    /// Runs that this box has stopped tracking, kept until a state report requested after that.
    detached: Vec<DetachedRun>,
    order: Order,
    is_released: bool,
}

/// A queued or running request.
struct TrackedRequest {
    /// The name under which the engine reports it.
    name: String,
    model: ModelRef,
    /// While `false`, a run of the same name at the engine belongs to an earlier attempt.
    is_dispatched: bool,
}

/// A run whose end this box will not be notified of.
struct DetachedRun {
    name: String,
    model: ModelRef,
    detached_ms: Millis,
}

impl OwnedState {
    /// The engine's loaded models, and the models of its runs that this box does not track.
    ///
    /// A run that was detached after the report was requested at `requested_ms` counts as running
    /// even if it is not reported, as it may have started after the report was made.
    fn contents(&mut self, engine_state: &EngineState, requested_ms: Millis) -> EngineContents {
        self.detached.retain(|run| run.detached_ms >= requested_ms);
        let tracked: HashSet<&str> = self
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
        let untracked = engine_state
            .running
            .iter()
            .filter(|running| !tracked.contains(running.request.as_str()))
            .map(|running| &running.model);
        let unreported = self
            .detached
            .iter()
            .filter(|run| !reported.contains(run.name.as_str()))
            .map(|run| &run.model);
        EngineContents {
            loaded: engine_state.loaded.clone(),
            inherited: untracked.chain(unreported).cloned().collect(),
        }
    }
}

/// A reserved place in the engine's batch, released on drop. If the request was sent and its end is
/// not known, the place stays taken until the engine no longer reports the request as running.
pub struct RunGuard {
    engine: Arc<OwnedEngine>,
    id: RequestId,
    may_be_running: bool,
    /// How long the request waited for its adapter to load.
    pub stall_ms: Millis,
}

impl RunGuard {
    /// Marks the request as sent, so that it may be running at the engine.
    pub fn mark_sent(&mut self) {
        self.may_be_running = true;
    }

    /// Marks the request as ended, or as not started by the engine.
    pub fn mark_ended(&mut self) {
        self.may_be_running = false;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.may_be_running {
            self.engine.detach(self.id);
        } else {
            self.engine.untrack(self.id);
            self.engine.handle(Event::Finished(self.id));
        }
    }
}

/// A queued request, removed from the queue on drop.
struct WaitGuard<'a> {
    engine: &'a Arc<OwnedEngine>,
    id: RequestId,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.engine.cancel_if_waiting(self.id);
    }
}

impl OwnedEngine {
    /// Creates the owner's state of an engine that was just taken over in a term of this box's
    /// lease. Its contents are unknown until [`learn`](Self::learn) is called.
    pub fn new(
        spec: EngineSpec,
        lease_term: u64,
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
            lease_term,
            clock,
            jobs,
            state: Mutex::new(OwnedState {
                scheduler: EngineOwner::new(shape, settings),
                waiters: HashMap::new(),
                requests: HashMap::new(),
                detached: Vec::new(),
                order,
                is_released: false,
            }),
        })
    }

    /// The engine's configuration.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// The term of this box's lease in which the engine was taken over.
    pub fn lease_term(&self) -> u64 {
        self.lease_term
    }

    /// The current time on the clock to which `requested_ms` of state reports refers.
    pub fn now_ms(&self) -> Millis {
        self.clock.now_ms()
    }

    /// The fencing token and the engine's incarnation that accompany each order.
    pub fn order(&self) -> Order {
        lock(&self.state).order
    }

    /// Queues a request and waits until it may run or is refused; `name` is its name at the engine.
    pub async fn submit(self: &Arc<Self>, queued: QueuedRequest, name: &str) -> QueueOutcome {
        let refused = QueueOutcome::Refused {
            reason: RefusalReason::NotOwner,
            retry_after_ms: 0,
        };
        let id = queued.id;
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = lock(&self.state);
            if state.is_released {
                return refused;
            }
            state.waiters.insert(id, sender);
            let request = TrackedRequest {
                name: name.to_owned(),
                model: queued.model.clone(),
                is_dispatched: false,
            };
            state.requests.insert(id, request);
        }
        let waiting = WaitGuard { engine: self, id };
        self.handle(Event::Submit(queued));
        if self.is_released() {
            // The engine was released between the check and the submit; nothing else would flush
            // the queue.
            self.handle(Event::Released);
        }
        let outcome = receiver.await.unwrap_or(refused);
        drop(waiting);
        outcome
    }

    /// Passes an event to the scheduler and executes the resulting commands.
    pub fn handle(self: &Arc<Self>, event: Event) {
        self.handle_with(|_| event);
    }

    /// Like [`handle`](Self::handle), with an event that is made from the state under the same
    /// lock.
    fn handle_with(self: &Arc<Self>, make: impl FnOnce(&mut OwnedState) -> Event) {
        let now_ms = self.clock.now_ms();
        let mut deliveries = Vec::new();
        {
            let mut state = lock(&self.state);
            let event = make(&mut state);
            for command in state.scheduler.handle(now_ms, event) {
                self.route_command(&mut state, command, &mut deliveries);
            }
        }
        // Outside the lock: an outcome without a receiver is dropped here, and its guard handles an
        // event.
        for (waiter, outcome) in deliveries {
            let _ = waiter.send(outcome);
        }
    }

    /// Adds the outcome of a request to `deliveries`, or sends a command that needs I/O to the
    /// control thread.
    fn route_command(
        self: &Arc<Self>,
        state: &mut OwnedState,
        command: Command,
        deliveries: &mut Vec<(oneshot::Sender<QueueOutcome>, QueueOutcome)>,
    ) {
        let (id, outcome) = match command {
            Command::Dispatch { id, stall_ms } => {
                if let Some(request) = state.requests.get_mut(&id) {
                    request.is_dispatched = true;
                }
                let engine = Arc::clone(self);
                let guard = RunGuard {
                    engine,
                    id,
                    may_be_running: false,
                    stall_ms,
                };
                (id, QueueOutcome::Run(guard))
            }
            Command::Refuse {
                id,
                reason,
                retry_after_ms,
            } => {
                state.requests.remove(&id);
                let outcome = QueueOutcome::Refused {
                    reason,
                    retry_after_ms,
                };
                (id, outcome)
            }
            command => {
                let engine = Arc::clone(self);
                let _ = self.jobs.send(OrderJob { engine, command });
                return;
            }
        };
        let waiter = state.waiters.remove(&id);
        // Without a waiter the caller has disconnected; sending on a closed channel drops the
        // outcome.
        let waiter = waiter.unwrap_or_else(|| oneshot::channel().0);
        deliveries.push((waiter, outcome));
    }

    fn cancel_if_waiting(self: &Arc<Self>, id: RequestId) {
        let waiter = lock(&self.state).waiters.remove(&id);
        if waiter.is_some() {
            self.untrack(id);
            self.handle(Event::Cancel(id));
        }
    }

    fn untrack(&self, id: RequestId) {
        lock(&self.state).requests.remove(&id);
    }

    /// Stops tracking a run that may continue at the engine.
    fn detach(self: &Arc<Self>, id: RequestId) {
        let detached_ms = self.clock.now_ms();
        self.handle_with(|state| {
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

    /// Replaces the known contents by those in a report that was requested at `requested_ms`, after
    /// a takeover, a restart of the engine, or a failed order.
    pub fn learn(self: &Arc<Self>, engine_state: &EngineState, requested_ms: Millis) {
        self.handle_with(|state| {
            if state.order.incarnation != engine_state.incarnation {
                state.order.incarnation = engine_state.incarnation;
                state.detached.clear();
            }
            Event::Learnt(state.contents(engine_state, requested_ms))
        });
    }

    /// Updates the known contents from a report that was requested at `requested_ms`. Unlike
    /// [`learn`](Self::learn), it keeps the state of the engine's slots unless the engine has
    /// restarted.
    pub fn observe(self: &Arc<Self>, engine_state: &EngineState, requested_ms: Millis) {
        if engine_state.incarnation != self.order().incarnation {
            self.learn(engine_state, requested_ms);
            return;
        }
        self.handle_with(|state| match engine_state.leaving {
            true => Event::EngineLeaves,
            false => Event::Observed(state.contents(engine_state, requested_ms)),
        });
    }

    /// Gives up the engine: queued requests are refused as not run, running requests continue.
    pub fn release(self: &Arc<Self>) {
        lock(&self.state).is_released = true;
        self.handle(Event::Released);
    }

    /// Whether the engine was given up.
    pub fn is_released(&self) -> bool {
        lock(&self.state).is_released
    }

    /// Replaces the scheduler's settings.
    pub fn set_settings(&self, settings: OwnerSettings) {
        lock(&self.state).scheduler.set_settings(settings);
    }

    /// Estimated wait of a new request with this rank.
    pub fn expected_wait_ms(&self, rank: u8) -> Millis {
        let now_ms = self.clock.now_ms();
        lock(&self.state).scheduler.expected_wait_ms(now_ms, rank)
    }

    /// The fencing token under which this box owns the engine.
    pub fn fence(&self) -> Fence {
        self.order().fence
    }

    /// The engine's status for the admin API.
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
