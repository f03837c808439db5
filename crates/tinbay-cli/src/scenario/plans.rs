//! What a scenario may ask for; what it leaves out stays at its default.

use std::time::Duration;

use serde::Deserialize;
use tinbay_wire::completion::CompletionRequest;

use crate::caller::Wanted;
use crate::error::CliError;

/// How an engine is to be set up.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EnginePlan {
    /// Its zone.
    pub zone: String,
    /// Its base model.
    pub base_model: String,
    /// Adapters at once.
    pub slots: u32,
    /// Requests at once.
    pub batch_limit: u32,
    /// Whether it takes every order.
    pub unfenced: bool,
    /// Time before the first token.
    pub prefill_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
}

impl Default for EnginePlan {
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

/// How a plain service is to be set up.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServicePlan {
    /// Whether its calls may be repeated.
    pub repeatable: bool,
    /// How long a call may take.
    pub timeout_ms: u64,
}

impl Default for ServicePlan {
    fn default() -> Self {
        Self {
            repeatable: false,
            timeout_ms: 1_000,
        }
    }
}

/// One request.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestPlan {
    /// Adapter and version.
    pub model: String,
    /// Priority class.
    pub class: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens.
    pub max_tokens: u32,
    /// Whether it has a key.
    pub keyed: bool,
    /// How long the caller follows "not run, come back".
    pub patience_ms: u64,
    /// The box to connect to whatever locate says; empty for the one located.
    pub at: String,
}

impl Default for RequestPlan {
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

/// Load in the background.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPlan {
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long.
    pub length_ms: u64,
    /// Zipf exponent.
    pub skew: f64,
    /// Share of the class `counter`; the rest is `batch`.
    pub counter_share: f64,
    /// The class of all requests, in place of the shares; empty for those.
    pub class: String,
    /// Adapters asked for.
    pub adapters: usize,
    /// Tokens of each answer.
    pub max_tokens: u32,
    /// Whether each request has a key.
    pub keyed: bool,
    /// How long callers follow "not run, come back".
    pub patience_ms: u64,
    /// The box to connect to whatever locate says; empty for those located.
    pub at: String,
}

impl Default for LoadPlan {
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

impl RequestPlan {
    /// The request as a caller sends it.
    ///
    /// # Errors
    /// [`CliError::Model`] when the model is not written as it should be.
    pub fn to_wanted(&self) -> Result<Wanted, CliError> {
        Ok(Wanted {
            request: CompletionRequest {
                model: self.model.parse()?,
                prompt: self.prompt.clone(),
                max_tokens: self.max_tokens,
                stream: true,
                class: Some(self.class.clone()),
            },
            keyed: self.keyed,
            patience: Duration::from_millis(self.patience_ms),
        })
    }
}
