//! A caller's request after the filter chain, as it is queued and sent to engines.

use tinbay_core::ids::ModelRef;
use tinbay_core::units::Millis;
use tinbay_wire::engine::EngineRequest;

/// A request that has passed the filter chain, with its deadline and scheduling class.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifies the request at engines; the same for all its attempts.
    pub name: String,
    /// Id of the request in logs.
    pub request_id: String,
    /// Adapter and version to run.
    pub model: ModelRef,
    /// Base model of the adapter; selects the engines that can serve it.
    pub base_model: String,
    /// The organisation that owns the adapter.
    pub organisation: String,
    /// Name of its priority class.
    pub class: String,
    /// Prompt text as received.
    pub prompt: String,
    /// Upper bound of the tokens to generate.
    pub max_tokens: u32,
    /// Scheduling rank; 0 is served first.
    pub rank: u8,
    /// Whether its class is urgent, as for interactive traffic.
    pub urgent: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// When it arrived, on the clock of this box.
    pub arrived_ms: Millis,
    /// Deadline for the start of its run or, when resuming, for finding the run to resume.
    pub start_by_ms: Millis,
    /// First position of the answer that a resuming caller needs; `None` for a new request.
    pub resume_from: Option<u64>,
}

impl Job {
    /// Converts the job into the request that is sent to an engine.
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
