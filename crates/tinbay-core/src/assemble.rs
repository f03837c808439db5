//! Assembles a streamed answer from its chunks and rejects chunks that do not belong to it.

use serde::{Deserialize, Serialize};

use crate::ids::ModelRef;

/// One chunk of an answer, as sent by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The engine's id of the request.
    pub request: String,
    /// Number of the attempt that the chunk belongs to.
    pub attempt: u32,
    /// The adapter and version that produced it.
    pub model: ModelRef,
    /// Position in the answer, from 0.
    pub position: u64,
    /// The text of this chunk.
    pub text: String,
    /// Whether this is the last chunk of the answer.
    pub last: bool,
}

/// How a chunk was handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// Next in order; to be passed on to the caller.
    Passed,
    /// Next in order and last: the answer is complete.
    Completed,
    /// A duplicate, or from an abandoned attempt; to be dropped.
    Dropped,
}

/// The answer can't be continued.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AssembleError {
    /// The chunk belongs to another request.
    #[error("chunk belongs to request {0}")]
    OtherRequest(String),
    /// The engine ran another adapter or version.
    #[error("engine answered with {found} instead of {wanted}")]
    OtherModel {
        /// The adapter and version that the caller requested.
        wanted: ModelRef,
        /// The adapter and version that the engine reports.
        found: ModelRef,
    },
    /// A chunk is missing before this one.
    #[error("chunk {found} arrived where {wanted} was due")]
    Gap {
        /// The expected position.
        wanted: u64,
        /// The position of the chunk.
        found: u64,
    },
}

/// Checks the request, attempt, model and position of each chunk of one answer.
#[derive(Debug, Clone)]
pub struct Assembler {
    request: String,
    model: ModelRef,
    attempt: u32,
    next_position: u64,
    complete: bool,
}

impl Assembler {
    /// Creates an assembler that expects `position` first; 0 unless the caller resumes an answer.
    pub fn new(request: impl Into<String>, model: ModelRef, position: u64) -> Self {
        Self {
            request: request.into(),
            model,
            attempt: 0,
            next_position: position,
            complete: false,
        }
    }

    /// Starts a new attempt. Late chunks of earlier attempts are dropped from now on.
    pub fn start_attempt(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Checks the next chunk.
    ///
    /// # Errors
    /// [`AssembleError`] for a wrong request, a wrong model or a gap.
    pub fn take(&mut self, chunk: &Chunk) -> Result<Taken, AssembleError> {
        if chunk.request != self.request {
            return Err(AssembleError::OtherRequest(chunk.request.clone()));
        }
        if chunk.attempt != self.attempt || self.complete {
            return Ok(Taken::Dropped);
        }
        if chunk.model != self.model {
            return Err(AssembleError::OtherModel {
                wanted: self.model.clone(),
                found: chunk.model.clone(),
            });
        }
        if chunk.position < self.next_position {
            return Ok(Taken::Dropped);
        }
        if chunk.position > self.next_position {
            return Err(AssembleError::Gap {
                wanted: self.next_position,
                found: chunk.position,
            });
        }
        self.next_position += 1;
        self.complete = chunk.last;
        Ok(if chunk.last {
            Taken::Completed
        } else {
            Taken::Passed
        })
    }

    /// The position that is expected next, from which an answer can be resumed.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Whether the last chunk has been accepted.
    pub fn is_complete(&self) -> bool {
        self.complete
    }
}
