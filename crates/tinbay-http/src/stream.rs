//! Streamed bodies: server-sent events, JSON lines, and channels as response bodies.

use std::convert::Infallible;
use std::pin::Pin;

use futures_util::Stream;
use ntex::http::Payload;
use ntex::util::Bytes;
use tokio::sync::mpsc;

/// Longest line accepted from a peer.
const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Why a streamed body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The connection failed.
    #[error("stream broke")]
    Broken,
    /// A line is longer than the allowed maximum.
    #[error("line too long")]
    LineTooLong,
}

/// Splits a byte stream into lines, independent of how the bytes are divided into chunks.
#[derive(Debug, Default)]
pub struct LineDecoder {
    pending: Vec<u8>,
    searched: usize,
}

impl LineDecoder {
    /// Adds bytes.
    ///
    /// # Errors
    /// Returns [`StreamError::LineTooLong`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), StreamError> {
        self.pending.extend_from_slice(bytes);
        if self.pending.len() > MAX_LINE_BYTES && !self.pending[self.searched..].contains(&b'\n') {
            return Err(StreamError::LineTooLong);
        }
        Ok(())
    }

    /// Removes and returns the next complete line without its line ending.
    pub fn next_line(&mut self) -> Option<Vec<u8>> {
        let found = self.pending[self.searched..]
            .iter()
            .position(|b| *b == b'\n');
        let Some(offset) = found else {
            self.searched = self.pending.len();
            return None;
        };
        let end = self.searched + offset;
        let mut line: Vec<u8> = self.pending.drain(..=end).collect();
        self.searched = 0;
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Some(line)
    }
}

/// Reads a response body line by line.
#[derive(Debug)]
pub struct LineReader {
    payload: Payload,
    decoder: LineDecoder,
}

impl LineReader {
    /// Creates a reader of a payload.
    pub fn new(payload: Payload) -> Self {
        Self {
            payload,
            decoder: LineDecoder::default(),
        }
    }

    /// Returns the next line, or `None` at the end.
    ///
    /// # Errors
    /// [`StreamError`] when the connection breaks.
    pub async fn next(&mut self) -> Result<Option<Vec<u8>>, StreamError> {
        loop {
            if let Some(line) = self.decoder.next_line() {
                return Ok(Some(line));
            }
            match self.payload.recv().await {
                Some(Ok(bytes)) => self.decoder.push(&bytes)?,
                Some(Err(_)) => return Err(StreamError::Broken),
                None => return Ok(None),
            }
        }
    }

    /// Returns the data of the next server-sent event, or `None` at the end.
    ///
    /// # Errors
    /// [`StreamError`] when the connection breaks.
    pub async fn next_event(&mut self) -> Result<Option<Vec<u8>>, StreamError> {
        while let Some(line) = self.next().await? {
            if let Some(data) = line.strip_prefix(b"data:") {
                let data = data.strip_prefix(b" ").unwrap_or(data);
                return Ok(Some(data.to_vec()));
            }
        }
        Ok(None)
    }
}

/// Formats one server-sent event.
pub fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

/// The sending side of a streamed response; sending fails once the peer has disconnected.
pub type BodySender = mpsc::Sender<Bytes>;

/// A streamed response body.
pub type BodyReceiver = Pin<Box<dyn Stream<Item = Result<Bytes, Infallible>>>>;

/// Number of chunks that are buffered for a slow reader.
const BODY_CHANNEL_CAPACITY: usize = 64;

/// Creates a channel whose receiving side is a response body.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    let stream = futures_util::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((Ok(chunk), receiver))
    });
    (sender, Box::pin(stream))
}
