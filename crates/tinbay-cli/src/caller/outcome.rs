//! What became of one request, as its caller saw it.

use ntex::client::ClientResponse;
use serde::{Deserialize, Serialize};
use tinbay_core::ids::ModelRef;
use tinbay_standin::engine::expected_text;
use tinbay_wire::completion::CompletionRequest;
use tinbay_wire::error_body::ErrorDetail;
use tinbay_wire::headers;

/// One event of a streamed answer.
#[derive(Debug, Deserialize)]
pub struct AnswerPiece {
    /// The adapter and version that ran.
    pub model: ModelRef,
    /// Place in the answer.
    pub position: u64,
    /// The text.
    pub choices: Vec<PieceChoice>,
}

/// The text of an event.
#[derive(Debug, Deserialize)]
pub struct PieceChoice {
    /// The text.
    pub text: String,
    /// Set at the end.
    pub finish_reason: Option<String>,
}

/// What became of one request.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Its class.
    pub class: String,
    /// Adapter and version named.
    pub model: ModelRef,
    /// Its key, where it had one.
    pub key: String,
    /// Last HTTP status; 0 when no box answered.
    pub status: u16,
    /// The failure, when it ended with one.
    pub failure: Option<ErrorDetail>,
    /// The text received.
    pub text: String,
    /// Whether the end of the answer arrived.
    pub whole: bool,
    /// Whether a piece named another model or came out of order.
    pub mixed_up: bool,
    /// The first position not received yet.
    pub next_position: u64,
    /// The box that owned the engine.
    pub box_id: String,
    /// The engine.
    pub engine: String,
    /// Wait for the adapter to be loaded, as the box tells it.
    pub stall_ms: u64,
    /// Wait before it started, as the box tells it.
    pub queue_ms: u64,
    /// Time to the first piece as the caller measures it.
    pub first_token_ms: f64,
    /// Time to the end.
    pub total_ms: f64,
    /// Times it was asked for.
    pub asks: u32,
    /// Times it was told to come back.
    pub come_backs: u32,
    /// Times it resumed.
    pub resumes: u32,
    /// Times it asked for the whole answer anew, after the rest of a broken one was gone.
    pub start_overs: u32,
    /// Whether an ask ended in a way that leaves open whether it ran.
    pub maybe_ran: bool,
    prompt: String,
    max_tokens: u32,
}

impl Outcome {
    /// A request not sent yet.
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

    /// Whether the whole answer arrived and is exactly what this model generates.
    pub fn is_right(&self) -> bool {
        let expected = expected_text(&self.model, &self.prompt, self.max_tokens);
        self.whole && !self.mixed_up && self.text == expected
    }

    /// Whether it ended with an answer that is not the right one.
    pub fn is_wrong(&self) -> bool {
        (self.whole && !self.is_right()) || self.mixed_up
    }

    /// Whether the last word was that nothing ran.
    pub fn is_told_not_run(&self) -> bool {
        let told = self.failure.as_ref().is_some_and(|failure| failure.not_run);
        !self.whole && !self.maybe_ran && told
    }

    /// Forgets what was received, to ask for the whole answer anew.
    pub fn start_over(&mut self) {
        self.text.clear();
        self.next_position = 0;
        self.start_overs += 1;
    }

    /// Reads where it runs.
    pub fn read_head(&mut self, response: &ClientResponse) {
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let number = |name: &str| text(name).and_then(|value| value.parse().ok());
        self.box_id = text(headers::BOX).unwrap_or_default();
        self.engine = text(headers::ENGINE).unwrap_or_default();
        if self.next_position == 0 {
            self.stall_ms = number(headers::STALL_MS).unwrap_or(0);
            self.queue_ms = number(headers::QUEUE_MS).unwrap_or(0);
        }
    }

    /// Takes a piece in.
    pub fn take(&mut self, piece: &AnswerPiece, at_ms: f64) {
        if piece.model != self.model || piece.position != self.next_position {
            self.mixed_up = true;
        }
        if self.next_position == 0 {
            self.first_token_ms = at_ms;
        }
        self.next_position += 1;
        for choice in &piece.choices {
            self.text.push_str(&choice.text);
            self.whole |= choice.finish_reason.is_some();
        }
    }
}
