//! Parameters that scripts pass as maps; missing entries take their defaults.

use std::time::Duration;

use serde::Deserialize;
use tinbay_wire::completion::CompletionRequest;

use crate::caller::CompletionCall;
use crate::error::CliError;

/// Parameters of an engine stand-in.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineParams {
    /// Availability zone.
    pub zone: String,
    /// Base model.
    pub base_model: String,
    /// Number of adapters that can be loaded at the same time.
    pub slots: u32,
    /// Number of requests that can run at the same time.
    pub batch_limit: u32,
    /// Whether it accepts every order without checking its fence.
    pub unfenced: bool,
    /// Time to the first token.
    pub prefill_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            zone: "a".to_owned(),
            base_model: "base".to_owned(),
            slots: 4,
            batch_limit: 8,
            unfenced: false,
            prefill_ms: 5,
            token_ms: 5,
        }
    }
}

/// Parameters of a plain service.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceParams {
    /// Whether its calls may be repeated.
    pub repeatable: bool,
    /// Timeout of a call.
    pub timeout_ms: u64,
}

impl Default for ServiceParams {
    fn default() -> Self {
        Self {
            repeatable: false,
            timeout_ms: 1_000,
        }
    }
}

/// Parameters of one request.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestParams {
    /// Adapter and version, `adapter@version`.
    pub model: String,
    /// Priority class.
    pub class: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether it has a request key.
    pub keyed: bool,
    /// Time for which a refusal that reports "not run" with a retry time is retried.
    pub patience_ms: u64,
    /// Name of the box to connect to; empty for the located one.
    pub at: String,
}

impl Default for RequestParams {
    fn default() -> Self {
        Self {
            model: "adapter-0@v1".to_owned(),
            class: "counter".to_owned(),
            prompt: "prompt".to_owned(),
            max_tokens: 16,
            keyed: true,
            patience_ms: 0,
            at: String::new(),
        }
    }
}

/// Parameters of a background load.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadParams {
    /// Mean number of requests per second.
    pub rate_per_s: f64,
    /// Duration of the load.
    pub length_ms: u64,
    /// Zipf exponent of the adapters' popularity.
    pub skew: f64,
    /// Share of requests of the class `counter`; the others are of the class `batch`.
    pub counter_share: f64,
    /// Class of all requests; if empty, `counter_share` applies.
    pub class: String,
    /// Number of adapters that are requested.
    pub adapters: usize,
    /// Maximum number of tokens of each response.
    pub max_tokens: u32,
    /// Whether each request has a request key.
    pub keyed: bool,
    /// Time for which refusals that report "not run" with a retry time are retried.
    pub patience_ms: u64,
    /// Name of the box to connect to; empty for the located ones.
    pub at: String,
}

impl Default for LoadParams {
    fn default() -> Self {
        Self {
            rate_per_s: 50.0,
            length_ms: 3_000,
            skew: 1.0,
            counter_share: 0.5,
            class: String::new(),
            adapters: 8,
            max_tokens: 16,
            keyed: true,
            patience_ms: 5_000,
            at: String::new(),
        }
    }
}

impl RequestParams {
    /// Converts the parameters to a request of a caller.
    ///
    /// # Errors
    /// Returns [`CliError::Model`] if the model is not of the form `adapter@version`.
    pub fn to_call(&self) -> Result<CompletionCall, CliError> {
        Ok(CompletionCall {
            request: CompletionRequest {
                model: self.model.parse()?,
                prompt: self.prompt.clone(),
                max_tokens: self.max_tokens,
                stream: true,
                class: Some(self.class.clone()),
            },
            keyed: self.keyed,
            retry_window: Duration::from_millis(self.patience_ms),
        })
    }
}
