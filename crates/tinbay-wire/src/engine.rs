//! Messages between a box and a model engine.

use serde::{Deserialize, Serialize};
use tinbay_core::fence::Fence;
use tinbay_core::ids::{Incarnation, ModelRef};

/// Body of the engine's `POST /v1/completions`; the response is a stream of
/// [`tinbay_core::assemble::Chunk`] as server-sent events.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineRequest {
    /// Id of the request, the same for all attempts.
    pub request: String,
    /// Number of this attempt.
    pub attempt: u32,
    /// Adapter and version to run on.
    pub model: ModelRef,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority in the batch; 0 is the highest.
    pub priority: u8,
    /// Position from which to resume the request's earlier stream instead of running it again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<u64>,
}

/// Body of `POST /v1/load_lora_adapter` and `POST /v1/unload_lora_adapter`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterOrder {
    /// `adapter@version`.
    pub lora_name: ModelRef,
    /// Location of the weights; empty when unloading.
    #[serde(default)]
    pub lora_path: String,
}

/// Response of `GET /v1/state` and of every accepted order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// Models in its slots.
    pub loaded: Vec<ModelRef>,
    /// Requests that are running.
    pub running: Vec<RunningRequest>,
    /// Whether it is draining: it finishes running requests and accepts no new ones.
    #[serde(default)]
    pub leaving: bool,
    /// The highest fence seen; zero for an engine that checks none.
    pub fence: Fence,
}

/// A request in an engine's batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Id of the request, as sent by the box.
    pub request: String,
    /// The model it runs on.
    pub model: ModelRef,
}

/// Why an engine did not run a request or carry out an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum EngineRefusal {
    /// The order's fence is lower than the highest one seen.
    #[error("stale fence")]
    StaleFence,
    /// The order is for another incarnation of the engine.
    #[error("order for another run")]
    OtherIncarnation,
    /// The fence header is missing or malformed.
    #[error("no fence")]
    NoFence,
    /// The model is not loaded.
    #[error("model not loaded")]
    NotLoaded,
    /// Every slot is occupied.
    #[error("no free slot")]
    NoSlot,
    /// The model is serving requests.
    #[error("model is serving")]
    Serving,
    /// The batch is full.
    #[error("batch full")]
    BatchFull,
    /// The engine is shutting down.
    #[error("engine leaving")]
    Leaving,
    /// The load failed.
    #[error("load failed")]
    LoadFailed,
    /// The stream to resume is no longer available.
    #[error("nothing to resume")]
    NothingToResume,
}

/// Body of an engine's refusal; the request or order had no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRefusalBody {
    /// Reason for the refusal.
    pub refusal: EngineRefusal,
}
