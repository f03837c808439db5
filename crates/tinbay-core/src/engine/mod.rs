//! The scheduler of one engine: request queue, adapter slots, loads and dispatch.
//!
//! Each engine has one owner at a time, which takes all decisions under one lock. The rule
//! "never unload an adapter that is serving an urgent request" therefore needs no
//! coordination between boxes. Drivers feed [`Event`]s and carry out [`Command`]s; the
//! naive baseline implements [`Scheduler`] too.

mod contents;
mod demand;
mod owner;
mod pace;
mod placement;
mod queue;
mod settings;
mod slots;

pub use owner::EngineOwner;
pub use settings::OwnerSettings;

use serde::{Deserialize, Serialize};

use crate::ids::{ModelRef, RequestId};
use crate::units::Millis;

/// Capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Adapters that it can hold at once.
    pub slots: u32,
    /// Requests that it runs in one batch.
    pub batch_limit: u32,
}

/// A request that waits for an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequest {
    /// Unique within this box.
    pub id: RequestId,
    /// Adapter and version to run.
    pub model: ModelRef,
    /// Organisation of the caller, the unit of fair queueing.
    pub organisation: String,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Whether a person waits for the answer, as opposed to batch work.
    pub urgent: bool,
    /// When it reached the first box.
    pub arrived_ms: Millis,
    /// Latest time at which it may start.
    pub start_by_ms: Millis,
}

/// An engine's report of what it holds and runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineContents {
    /// Models in the slots.
    pub loaded: Vec<ModelRef>,
    /// One entry, its model, for each running request that this owner did not dispatch.
    pub inherited: Vec<ModelRef>,
}

/// Input of a [`Scheduler`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request arrived.
    Submit(QueuedRequest),
    /// The caller of a queued request disconnected.
    Cancel(RequestId),
    /// A dispatched request has left the engine, with any outcome.
    Finished(RequestId),
    /// This box no longer tracks a dispatched request, which the engine may still be running.
    Detached(RequestId),
    /// The load arbiter permits a load requested with [`Command::AskLoad`].
    LoadGranted(ModelRef),
    /// A load succeeded.
    Loaded(ModelRef),
    /// A load failed.
    LoadFailed(ModelRef),
    /// An unload succeeded.
    Unloaded(ModelRef),
    /// An unload failed; the model is assumed to be still loaded.
    UnloadFailed(ModelRef),
    /// The engine reported that it does not hold a model that was thought to be loaded.
    Missing(ModelRef),
    /// The engine reported its contents after a change of owner or a restart.
    Learnt(EngineContents),
    /// The engine reported its running requests; the slots stay unchanged.
    Observed(EngineContents),
    /// The engine is shutting down: it finishes its requests and accepts no new ones.
    EngineLeaves,
    /// This box has lost the ownership of the engine, or is shutting down.
    Released,
    /// Periodic call, for timeouts.
    Tick,
}

/// Output of a [`Scheduler`], which the driver carries out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Ask the arbiter for permission to load.
    AskLoad {
        /// Model to load.
        model: ModelRef,
        /// Best rank among the requests that wait for the model.
        rank: u8,
        /// When that request arrived.
        since_ms: Millis,
    },
    /// Tell the arbiter that a permitted load has ended.
    EndLoad(ModelRef),
    /// Return an unused permission to the arbiter.
    ReturnLoad(ModelRef),
    /// Order the engine to load.
    Load(ModelRef),
    /// Order the engine to unload.
    Unload(ModelRef),
    /// Send a request to the engine.
    Dispatch {
        /// Request to run.
        id: RequestId,
        /// How long it waited for its adapter to be loaded.
        stall_ms: Millis,
    },
    /// Answer a request with a refusal, without having run it.
    Refuse {
        /// Request to refuse.
        id: RequestId,
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Earliest useful time for a retry, from now.
        retry_after_ms: Millis,
    },
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// By the estimate it would start after its latest start time.
    Overloaded,
    /// Its latest start time passed in the queue.
    DeadlinePassed,
    /// Its adapter could not be loaded on this engine.
    LoadFailed,
    /// This box does not own the engine.
    NotOwner,
    /// The engine is shutting down.
    EngineLeaves,
}

/// Decides what one engine loads and runs.
pub trait Scheduler: Send {
    /// Handles one event and returns the commands that follow from it.
    fn handle(&mut self, now_ms: Millis, event: Event) -> Vec<Command>;

    /// Number of requests in the queue.
    fn queued(&self) -> usize;

    /// Number of requests dispatched and not finished.
    fn running(&self) -> usize;

    /// Estimated wait for a place in the batch of a request of `rank` that arrives now.
    fn expected_wait_ms(&self, now_ms: Millis, rank: u8) -> Millis;
}
