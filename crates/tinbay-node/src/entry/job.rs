//! A caller's request as it is run.

use tinbay_core::ids::ModelRef;
use tinbay_core::units::Millis;
use tinbay_wire::engine::EngineRequest;

/// A request that has passed the filters.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its name at back ends.
    pub name: String,
    /// Its name in logs.
    pub request_id: String,
    /// Adapter and version to run on.
    pub model: ModelRef,
    /// The adapter's base model.
    pub base_model: String,
    /// Whose request it is.
    pub organisation: String,
    /// Name of its priority class.
    pub class: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: u32,
    /// 0 goes first.
    pub rank: u8,
    /// Counter or desk traffic.
    pub urgent: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it arrived here.
    pub arrived_ms: Millis,
    /// When it must have started or, for a resume, when its run is given up.
    pub start_by_ms: Millis,
    /// The first position a resuming caller needs.
    pub resume_from: Option<u64>,
}

impl Job {
    /// The request as an engine gets it.
    pub fn to_call(&self, attempt: u32, resume_from: Option<u64>) -> EngineRequest {
        EngineRequest {
            request: self.name.clone(),
            attempt,
            model: self.model.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
            priority: self.rank,
            resume_from,
        }
    }
}
