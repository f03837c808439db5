//! What a box and a model engine say to each other.

use serde::{Deserialize, Serialize};
use tinbay_core::fence::Fence;
use tinbay_core::ids::{Incarnation, ModelRef};

/// Body of the engine's `POST /v1/completions`; it answers with a stream of
/// [`tinbay_core::assemble::Chunk`] as server-sent events.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// The request's name, the same over all attempts.
    pub request: String,
    /// Which attempt this is.
    pub attempt: u32,
    /// Adapter and version to run on.
    pub model: ModelRef,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// 0 goes first in the batch.
    pub priority: u8,
    /// Resume the request's earlier stream here instead of running it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<u64>,
}

/// Body of `POST /v1/load_lora_adapter` and `POST /v1/unload_lora_adapter`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// `adapter@version`.
    pub lora_name: ModelRef,
    /// Where the weights are; empty when unloading.
    #[serde(default)]
    pub lora_path: String,
}

/// Answer of `GET /v1/state` and of every accepted order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's run.
    pub incarnation: Incarnation,
    /// Models in its slots.
    pub loaded: Vec<ModelRef>,
    /// The requests that run.
    pub running: Vec<RunningRequest>,
    /// Whether it ends what it has and takes nothing new.
    #[serde(default)]
    pub leaving: bool,
    /// The highest fence seen; zero for an engine that checks none.
    pub fence: Fence,
}

/// A request in an engine's batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Its name, as the box that sent it gave it.
    pub request: String,
    /// The model it runs on.
    pub model: ModelRef,
}

/// Why an engine did not run a request or carry out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The order's fence is lower than one seen.
    #[error("stale fence")]
    StaleFence,
    /// The order is for another run of the engine.
    #[error("order for another run")]
    OtherIncarnation,
    /// The fence header is missing or malformed.
    #[error("no fence")]
    NoFence,
    /// The model is not loaded.
    #[error("model not loaded")]
    NotLoaded,
    /// Every slot is taken.
    #[error("no free slot")]
    NoSlot,
    /// The model serves requests.
    #[error("model is serving")]
    Serving,
    /// The batch is full.
    #[error("batch full")]
    BatchFull,
    /// The engine is leaving.
    #[error("engine leaving")]
    Leaving,
    /// The load failed.
    #[error("load failed")]
    LoadFailed,
    /// The stream to resume is not there any more.
    #[error("nothing to resume")]
    NothingToResume,
}

/// Body of an engine's refusal; the request or order had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusalBody {
    /// Why.
    pub refusal: EngineRefusal,
}
