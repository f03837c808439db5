//! The completions interface, as model servers have made it usual.

use serde::{Deserialize, Serialize};
use tinbay_core::ids::ModelRef;

/// Body of `POST /v1/completions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// `adapter@version`.
    pub model: ModelRef,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Priority class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
}

/// Tokens generated where a caller names no limit.
pub const DEFAULT_MAX_TOKENS: u32 = 64;

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Body of an answer that was not streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionAnswer {
    /// The request's name.
    pub id: String,
    /// The adapter and version that ran.
    pub model: ModelRef,
    /// One choice.
    pub choices: Vec<Choice>,
    /// Token counts.
    pub usage: Usage,
}

/// The text of an answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Always 0.
    pub index: u32,
    /// The whole text.
    pub text: String,
    /// Always `stop`.
    pub finish_reason: String,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens generated.
    pub completion_tokens: u64,
}

/// The event that ends a stream, after the usual habit.
pub const DONE_EVENT: &str = "[DONE]";
