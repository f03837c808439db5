//! Puts a streamed answer together and lets nothing else into it.

use serde::{Deserialize, Serialize};

use crate::ids::ModelRef;

/// One piece of an answer as an engine sent it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The request's name at the engine.
    pub request: String,
    /// Which attempt of the request this belongs to.
    pub attempt: u32,
    /// The adapter and version that ran.
    pub model: ModelRef,
    /// Place in the answer, from 0.
    pub position: u64,
    /// The text of this piece.
    pub text: String,
    /// Whether this is the last piece.
    pub last: bool,
}

/// What becomes of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// Next in order: pass it to the caller.
    Passed,
    /// Next in order and last: the answer is whole.
    Completed,
    /// Repeated, or of an abandoned attempt: dropped.
    Dropped,
}

/// Why an answer cannot go on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum AssembleError {
    /// The chunk is of another request.
    #[error("chunk belongs to request {0}")]
    OtherRequest(String),
    /// The engine ran another adapter or version.
    #[error("engine answered with {found} instead of {wanted}")]
    OtherModel {
        /// What the caller named.
        wanted: ModelRef,
        /// What the engine says it ran.
        found: ModelRef,
    },
    /// A piece is missing before this one.
    #[error("chunk {found} arrived where {wanted} was due")]
    Gap {
        /// The position that was due.
        wanted: u64,
        /// The position that arrived.
        found: u64,
    },
}

/// Checks each chunk of one answer against request, attempt, model and position.
#[derive(Debug, Clone)]
pub struct Assembler {
    request: String,
    model: ModelRef,
    attempt: u32,
    next_position: u64,
    complete: bool,
}

impl Assembler {
    /// Starts at `position`, 0 unless a caller resumes.
    pub fn new(request: impl Into<String>, model: ModelRef, position: u64) -> Self {
        Self {
            request: request.into(),
            model,
            attempt: 0,
            next_position: position,
            complete: false,
        }
    }

    /// Abandons the attempt under way; its late chunks will be dropped.
    pub fn start_attempt(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Judges the next chunk.
    ///
    /// # Errors
    /// [`AssembleError`] when the chunk shows a wrong request, model or a gap.
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

    /// The position that is due next; a resume asks for this one.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Whether the last chunk has been passed on.
    pub fn is_complete(&self) -> bool {
        self.complete
    }
}
