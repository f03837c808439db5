//! A request that an entry box passes to the owner of an engine.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::EngineId;
use tinbay_core::units::{Millis, Revision};

use crate::engine::EngineRequest;

/// Body of `POST /internal/v1/run`; the answer streams the engine's chunks unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The engine to run on.
    pub engine: EngineId,
    /// What to run.
    pub call: EngineRequest,
    /// Whose request it is.
    pub organisation: String,
    /// Counter or desk traffic.
    pub urgent: bool,
    /// How long ago it reached the system.
    pub age_ms: Millis,
    /// How long it may still wait before it starts.
    pub wait_left_ms: Millis,
    /// Configuration revision the sender serves from.
    pub revision: Revision,
}
