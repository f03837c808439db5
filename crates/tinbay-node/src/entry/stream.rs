//! The stream of one attempt's answer.

use std::time::Duration;

use tinbay_core::assemble::{Assembler, Chunk, Taken};
use tinbay_core::ids::{BoxId, EngineId};
use tinbay_core::units::Millis;
use tinbay_http::stream::LineReader;
use tinbay_wire::completion::DONE_EVENT;

use super::owner_watch::OwnerWatch;
use crate::owners::RunGuard;

/// A stream that gives nothing for this long is taken as broken.
const EVENT_WITHIN: Duration = Duration::from_secs(15);

/// Where and how a request runs.
#[derive(Debug, Clone)]
pub struct RunInfo {
    /// The box that owns the engine.
    pub owner: BoxId,
    /// The engine.
    pub engine: EngineId,
    /// How long the request waited for its adapter.
    pub stall_ms: Millis,
    /// How long it waited in all.
    pub queue_ms: Millis,
    /// Wait the owner expects for the next request of that rank.
    pub expected_wait_ms: Millis,
}

/// An answer on its way: chunks of one attempt.
pub struct AnswerStream {
    /// Where and how it runs.
    pub info: RunInfo,
    reader: LineReader,
    /// Holds the place in the batch while the owner is this box.
    guard: Option<RunGuard>,
    /// The owner that passes the stream on, where that is another box.
    owner: Option<OwnerWatch>,
}

/// Why a stream gives no further chunk.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum ChunkError {
    /// It broke off.
    #[error("stream broke off")]
    Broken,
    /// It is wrong.
    #[error("{0}")]
    Wrong(#[from] tinbay_core::assemble::AssembleError),
}

impl AnswerStream {
    /// A stream of an engine of this box, with the place it holds there.
    pub fn of_engine(info: RunInfo, reader: LineReader, guard: Option<RunGuard>) -> Self {
        Self {
            info,
            reader,
            guard,
            owner: None,
        }
    }

    /// A stream that the owner of the engine passes on.
    pub fn of_owner(info: RunInfo, reader: LineReader, owner: OwnerWatch) -> Self {
        Self {
            info,
            reader,
            guard: None,
            owner: Some(owner),
        }
    }

    /// The next event as it came, for a box that only passes it on.
    pub async fn next_raw(&mut self) -> Option<Vec<u8>> {
        let event = tokio::time::timeout(EVENT_WITHIN, self.reader.next_event());
        let event = match &mut self.owner {
            None => event.await,
            Some(owner) => tokio::select! {
                biased;
                event = event => event,
                () = owner.gone() => return None,
            },
        };
        let event = event.ok()?.ok().flatten()?;
        if event == DONE_EVENT.as_bytes() {
            self.end_run();
        }
        Some(event)
    }

    /// Gives the place in the batch back: the engine has ended the run.
    fn end_run(&mut self) {
        if let Some(mut guard) = self.guard.take() {
            guard.mark_ended();
        }
    }

    /// Reads to the end of what nobody waits for any more, so that the place in the batch is
    /// held until the engine is done.
    pub async fn drain(&mut self) {
        while self.next_raw().await.is_some() {}
    }

    /// The next chunk that belongs into the answer.
    ///
    /// # Errors
    /// [`ChunkError`] when the stream breaks off or something else got into it.
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
