//! A request that the box that received it forwards to the owner of an engine.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::{EngineId, Incarnation};
use tinbay_core::units::{Millis, Revision};

use crate::engine::EngineRequest;

/// Body of `POST /internal/v1/run`; the response streams the engine's chunks unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The engine to run on.
    pub engine: EngineId,
    /// The request to the engine.
    pub call: EngineRequest,
    /// Organisation that the request belongs to.
    pub organisation: String,
    /// Counter or desk traffic.
    pub urgent: bool,
    /// Time since the request reached the system.
    pub age_ms: Millis,
    /// Time that it may still wait before it starts.
    pub wait_left_ms: Millis,
    /// Configuration revision in force on the sender.
    pub revision: Revision,
    /// The receiver's incarnation that the sender considers the owner. A later incarnation refuses
    /// the request: the sender abandons it once it learns of the restart, and could not tell
    /// whether it ran.
    #[serde(default)]
    pub owner_run: Option<Incarnation>,
}
