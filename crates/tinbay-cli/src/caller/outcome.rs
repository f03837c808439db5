//! Outcome of a completion request as its caller sees it.

use ntex::client::ClientResponse;
use serde::{Deserialize, Serialize};
use tinbay_core::ids::ModelRef;
use tinbay_standin::engine::expected_text;
use tinbay_wire::completion::CompletionRequest;
use tinbay_wire::error_body::ErrorDetail;
use tinbay_wire::headers;

/// Data of one event of a streamed response.
#[derive(Debug, Deserialize)]
pub struct ResponseChunk {
    /// The adapter and version that ran.
    pub model: ModelRef,
    /// Position of the chunk in the response.
    pub position: u64,
    /// The text of the chunk.
    pub choices: Vec<ChunkChoice>,
}

/// The text of a response chunk.
#[derive(Debug, Deserialize)]
pub struct ChunkChoice {
    /// The text.
    pub text: String,
    /// Set in the last chunk.
    pub finish_reason: Option<String>,
}

/// Outcome of a completion request.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Priority class of the request.
    pub class: String,
    /// Requested adapter and version.
    pub model: ModelRef,
    /// Request key; empty if it had none.
    pub key: String,
    /// Last HTTP status; 0 if no box answered.
    pub status: u16,
    /// The error that it ended with.
    pub failure: Option<ErrorDetail>,
    /// The text received.
    pub text: String,
    /// Whether the end of the response was received.
    pub whole: bool,
    /// Whether a chunk named another model or was out of order.
    pub mixed_up: bool,
    /// The first position that has not been received.
    pub next_position: u64,
    /// The box that ran the request, from the response headers.
    pub box_id: String,
    /// The engine that ran the request, from the response headers.
    pub engine: String,
    /// Time spent waiting for the adapter to be loaded, from the response headers.
    pub stall_ms: u64,
    /// Total wait before the request started, from the response headers.
    pub queue_ms: u64,
    /// Time to the first chunk, measured by the caller.
    pub first_token_ms: f64,
    /// Time to the final outcome, measured by the caller.
    pub total_ms: f64,
    /// Number of attempts, without retries that a refusal invited.
    pub asks: u32,
    /// Number of retries that a refusal invited.
    pub come_backs: u32,
    /// Number of attempts that resumed the response.
    pub resumes: u32,
    /// Number of times that the whole response was requested again because the rest of an
    /// interrupted one was no longer available.
    pub start_overs: u32,
    /// Whether the request may have run in an attempt that failed.
    pub maybe_ran: bool,
    prompt: String,
    max_tokens: u32,
}

impl Outcome {
    /// Creates the outcome of a request that has not been sent.
    pub fn new(request: &CompletionRequest) -> Self {
        Self {
            class: request.class.clone().unwrap_or_default(),
            model: request.model.clone(),
            key: String::new(),
            status: 0,
            failure: None,
            text: String::new(),
            whole: false,
            mixed_up: false,
            next_position: 0,
            box_id: String::new(),
            engine: String::new(),
            stall_ms: 0,
            queue_ms: 0,
            first_token_ms: 0.0,
            total_ms: 0.0,
            asks: 0,
            come_backs: 0,
            resumes: 0,
            start_overs: 0,
            maybe_ran: false,
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
        }
    }

    /// Returns whether the response is complete and is exactly what the stand-in engine generates.
    pub fn is_right(&self) -> bool {
        let expected = expected_text(&self.model, &self.prompt, self.max_tokens);
        self.whole && !self.mixed_up && self.text == expected
    }

    /// Returns whether a response was received that is not the correct one.
    pub fn is_wrong(&self) -> bool {
        (self.whole && !self.is_right()) || self.mixed_up
    }

    /// Returns whether the final error reported that the request did not run and no earlier attempt
    /// may have run.
    pub fn is_reported_not_run(&self) -> bool {
        let reported = self.failure.as_ref().is_some_and(|failure| failure.not_run);
        !self.whole && !self.maybe_ran && reported
    }

    /// Discards the received text before the whole response is requested again.
    pub fn discard_received(&mut self) {
        self.text.clear();
        self.next_position = 0;
        self.start_overs += 1;
    }

    /// Reads the box, the engine and the waiting times from the response headers.
    pub fn read_headers(&mut self, response: &ClientResponse) {
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let number = |name: &str| header(name).and_then(|value| value.parse().ok());
        self.box_id = header(headers::BOX).unwrap_or_default();
        self.engine = header(headers::ENGINE).unwrap_or_default();
        if self.next_position == 0 {
            self.stall_ms = number(headers::STALL_MS).unwrap_or(0);
            self.queue_ms = number(headers::QUEUE_MS).unwrap_or(0);
        }
    }

    /// Adds a received chunk.
    pub fn add_chunk(&mut self, chunk: &ResponseChunk, received_ms: f64) {
        if chunk.model != self.model || chunk.position != self.next_position {
            self.mixed_up = true;
        }
        if self.next_position == 0 {
            self.first_token_ms = received_ms;
        }
        self.next_position += 1;
        for choice in &chunk.choices {
            self.text.push_str(&choice.text);
            self.whole |= choice.finish_reason.is_some();
        }
    }
}
