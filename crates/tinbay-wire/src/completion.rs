//! The completions API that is common among model servers.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::ModelRef;

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// `adapter@version`.
    pub model: ModelRef,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the response as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Priority class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
}

/// Maximum number of generated tokens if the caller sets none.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Body of a response that is not streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionAnswer {
    /// Id of the request.
    pub id: String,
    /// The adapter and version that ran.
    pub model: ModelRef,
    /// The generated text; always exactly one choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// The generated text of a response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The whole text.
    pub text: String,
    /// Always `stop`.
    pub finish_reason: String,
}

/// Token counts of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// Data of the event that ends a stream, as is common among model servers.
pub const DONE_EVENT: &str = "[DONE]";
