//! Reads lines of any length with bounded memory.

use std::io::{self, BufRead};

/// Longest line that is read, in bytes; request lines have about 1,000 bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Result of reading one line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineRead<'a> {
    /// The complete line, without the line feed.
    Complete(&'a [u8]),
    /// The line was longer than [`MAX_LINE_BYTES`] and was skipped.
    TooLong,
}

/// Reads lines one by one into a reused buffer.
#[derive(Debug)]
pub struct Lines<R> {
    reader: R,
    line: Vec<u8>,
}

impl<R: BufRead> Lines<R> {
    /// Creates a reader of the lines of `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            line: Vec::new(),
        }
    }

    /// Reads the next line; returns `None` at the end of the input.
    ///
    /// # Errors
    /// Returns the errors of the underlying reader, except interruptions, which are retried.
    pub fn next_line(&mut self) -> io::Result<Option<LineRead<'_>>> {
        self.line.clear();
        let mut length = 0;
        loop {
            let bytes = match self.reader.fill_buf() {
                Ok(bytes) => bytes,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            };
            if bytes.is_empty() {
                return Ok((length > 0).then(|| self.finish_line(length)));
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            let consumed = part.len() + usize::from(end.is_some());
            let remaining = MAX_LINE_BYTES - self.line.len();
            self.line
                .extend_from_slice(&part[..part.len().min(remaining)]);
            length += part.len();
            self.reader.consume(consumed);
            if end.is_some() {
                return Ok(Some(self.finish_line(length)));
            }
        }
    }

    fn finish_line(&self, length: usize) -> LineRead<'_> {
        if length > MAX_LINE_BYTES {
            return LineRead::TooLong;
        }
        LineRead::Complete(&self.line)
    }
}
