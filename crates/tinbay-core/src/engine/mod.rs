//! The decisions of one engine's owner: queue, slots, loads and dispatch.
//!
//! One owner decides for one engine, under one lock, so that "never unload what serves a
//! counter request" is a local question. Drivers feed [`Event`]s and carry out
//! [`Command`]s; [`Scheduler`] is the border behind which the naive baseline fits too.

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

/// What an engine offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineShape {
    /// Adapters it can hold at once.
    pub slots: u32,
    /// Requests it batches at once.
    pub batch_limit: u32,
}

/// A request that waits for an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Its number in this box.
    pub id: RequestId,
    /// Adapter and version to run on.
    pub model: ModelRef,
    /// Whose request it is.
    pub organisation: String,
    /// 0 goes first.
    pub rank: u8,
    /// Counter or desk traffic.
    pub urgent: bool,
    /// When it reached the system.
    pub arrived_ms: Millis,
    /// When it must have started.
    pub start_by_ms: Millis,
}

/// What an engine says it holds and runs.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineContents {
    /// Models in its slots.
    pub loaded: Vec<ModelRef>,
    /// Models of the requests that run and that this owner did not send, one entry each.
    pub inherited: Vec<ModelRef>,
}

/// Something that happened to an engine or its queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A request asks to run.
    Submit(Ask),
    /// The caller of a queued request has gone.
    Cancel(RequestId),
    /// A dispatched request has left the engine, however it ended.
    Finished(RequestId),
    /// Nobody here follows a dispatched request any more, and the engine may still run it.
    Detached(RequestId),
    /// The weight store's allowance permits a load that was asked for.
    LoadGranted(ModelRef),
    /// A load succeeded.
    Loaded(ModelRef),
    /// A load failed.
    LoadFailed(ModelRef),
    /// An unload succeeded.
    Unloaded(ModelRef),
    /// An unload failed; the model is taken as still there.
    UnloadFailed(ModelRef),
    /// The engine said it does not hold this model after all.
    Missing(ModelRef),
    /// The engine reported what it holds: after a takeover or a restart.
    Learnt(EngineContents),
    /// The engine reported what it runs; slots stay as the owner knows them.
    Observed(EngineContents),
    /// The engine says that it is leaving: it ends what it has and takes nothing new.
    EngineLeaves,
    /// This box is not the owner any more, or is leaving.
    Released,
    /// Time passed.
    Tick,
}

/// What the driver is to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Ask the arbiter for permission to load.
    AskLoad {
        /// What to load.
        model: ModelRef,
        /// Rank of the most pressing request.
        rank: u8,
        /// Since when it waits.
        since_ms: Millis,
    },
    /// A permitted load has ended.
    EndLoad(ModelRef),
    /// A permission is given back unused.
    ReturnLoad(ModelRef),
    /// Order the engine to load.
    Load(ModelRef),
    /// Order the engine to unload.
    Unload(ModelRef),
    /// Run a request now.
    Dispatch {
        /// Which one.
        id: RequestId,
        /// How long it waited for its adapter to be loaded.
        stall_ms: Millis,
    },
    /// Answer a request at once: it did not run.
    Refuse {
        /// Which one.
        id: RequestId,
        /// Why.
        reason: Refusal,
        /// When asking again makes sense.
        retry_after_ms: Millis,
    },
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It would start too late.
    Overloaded,
    /// It waited until its last moment to start.
    DeadlinePassed,
    /// Its adapter could not be loaded here.
    LoadFailed,
    /// This box does not own the engine.
    NotOwner,
    /// The engine is leaving.
    EngineLeaves,
}

/// Decides for one engine.
pub trait Scheduler: Send {
    /// Takes an event at a time and returns what is to be done.
    fn handle(&mut self, now_ms: Millis, event: Event) -> Vec<Command>;

    /// Requests waiting.
    fn queued(&self) -> usize;

    /// Requests dispatched and not finished.
    fn running(&self) -> usize;

    /// How long a request of `rank` that came now would wait for a place in the batch.
    fn expected_wait_ms(&self, now_ms: Millis, rank: u8) -> Millis;
}
