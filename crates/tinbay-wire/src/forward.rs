//! A request that an entry box passes to the owner of an engine.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::{EngineId, Incarnation};
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
    /// The run of the receiver that the sender holds to be the owner. A later run refuses the request: the
    /// sender gives it up once it hears of the restart, and could not tell whether it ran.
    #[serde(default)]
    pub owner_run: Option<Incarnation>,
}
