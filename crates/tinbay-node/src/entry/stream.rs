//! Reads the chunks of an answer from the engine or from the box that relays it.

use std::time::Duration;

use tinbay_core::assemble::{Assembler, Chunk, Taken};
use tinbay_core::ids::{BoxId, EngineId};
use tinbay_core::units::Millis;
use tinbay_http::stream::LineReader;
use tinbay_wire::completion::DONE_EVENT;

use super::owner_watch::OwnerWatch;
use crate::owners::RunGuard;

/// A stream without an event for this long is considered broken.
const EVENT_TIMEOUT: Duration = Duration::from_secs(15);

/// Where and how a request runs.
#[derive(Debug, Clone)]
pub struct RunInfo {
    /// The box that owns the engine.
    pub owner: BoxId,
    /// The engine that runs the request.
    pub engine: EngineId,
    /// How long the request waited for its adapter to load.
    pub stall_ms: Millis,
    /// Total wait from the request's arrival until the engine's response head.
    pub queue_ms: Millis,
    /// Wait that the owner expects for the next request of the same rank.
    pub expected_wait_ms: Millis,
}

/// The chunks of one attempt as they arrive.
pub struct AnswerStream {
    /// Where and how the attempt runs.
    pub info: RunInfo,
    reader: LineReader,
    /// The place in the engine's batch, when this box owns the engine.
    guard: Option<RunGuard>,
    /// Watch on the owner that relays the stream, when another box owns the engine.
    owner_watch: Option<OwnerWatch>,
}

/// Why a stream has no further chunk.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ChunkError {
    /// The stream ended early, timed out or could not be parsed.
    #[error("stream ended early")]
    Broken,
    /// The stream contains a chunk of another answer, or lacks a chunk.
    #[error("{0}")]
    Mismatch(#[from] tinbay_core::assemble::AssembleError),
}

impl AnswerStream {
    /// A stream from an engine owned by this box, with its place in the batch; `None` when
    /// resuming.
    pub fn from_engine(info: RunInfo, reader: LineReader, guard: Option<RunGuard>) -> Self {
        Self {
            info,
            reader,
            guard,
            owner_watch: None,
        }
    }

    /// A stream relayed by another box that owns the engine.
    pub fn from_owner(info: RunInfo, reader: LineReader, owner_watch: OwnerWatch) -> Self {
        Self {
            info,
            reader,
            guard: None,
            owner_watch: Some(owner_watch),
        }
    }

    /// The next event, unparsed; `None` after the end of the stream or when it breaks.
    pub async fn next_raw(&mut self) -> Option<Vec<u8>> {
        let event = tokio::time::timeout(EVENT_TIMEOUT, self.reader.next_event());
        let event = match &mut self.owner_watch {
            None => event.await,
            Some(owner_watch) => tokio::select! {
                biased;
                event = event => event,
                () = owner_watch.removed() => return None,
            },
        };
        let event = event.ok()?.ok().flatten()?;
        if event == DONE_EVENT.as_bytes() {
            self.end_run();
        }
        Some(event)
    }

    /// Releases the place in the batch after the engine has ended the run.
    fn end_run(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.mark_ended();
        }
    }

    /// Reads an abandoned stream to its end, so that its place in the batch stays taken until the
    /// engine has ended the run.
    pub async fn drain(&mut self) {
        while self.next_raw().await.is_some() {}
    }

    /// The next chunk of the answer; repeated chunks and those of abandoned attempts are skipped.
    ///
    /// # Errors
    /// [`ChunkError`] when the stream breaks, contains a chunk of another answer or lacks one.
    pub async fn next(&mut self, assembler: &mut Assembler) -> Result<Chunk, ChunkError> {
        loop {
            let event = self.next_raw().await.ok_or(ChunkError::Broken)?;
            if event == DONE_EVENT.as_bytes() {
                return Err(ChunkError::Broken);
            }
            let chunk: Chunk = serde_json::from_slice(&event).map_err(|_| ChunkError::Broken)?;
            match assembler.take(&chunk)? {
                Taken::Dropped => {}
                Taken::Passed => return Ok(chunk),
                Taken::Completed => {
                    self.end_run();
                    return Ok(chunk);
                }
            }
        }
    }
}
