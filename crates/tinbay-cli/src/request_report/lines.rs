//! Lines of any length, read within bounded memory.

use std::io::{self, BufRead};

/// Longest line that is kept, in bytes; lines of requests have about one thousand.
pub const LONGEST_LINE_BYTES: usize = 64 * 1024;

/// One line as it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineRead<'a> {
    /// All of it, without its end.
    Whole(&'a [u8]),
    /// It was longer than [`LONGEST_LINE_BYTES`] and passed over.
    TooLong,
}

/// Reads lines one after the other into one buffer.
#[derive(Debug)]
pub struct Lines<R> {
    reader: R,
    line: Vec<u8>,
}

impl<R: BufRead> Lines<R> {
    /// The lines of `reader`.
    pub fn new(reader: R) -> Self {
        Self {
            reader,
            line: Vec::new(),
        }
    }

    /// The next line; none at the end.
    ///
    /// # Errors
    /// As the reader.
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
                return Ok((length > 0).then(|| self.read(length)));
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            let consumed = part.len() + usize::from(end.is_some());
            let room = LONGEST_LINE_BYTES - self.line.len();
            self.line.extend_from_slice(&part[..part.len().min(room)]);
            length += part.len();
            self.reader.consume(consumed);
            if end.is_some() {
                return Ok(Some(self.read(length)));
            }
        }
    }

    fn read(&self, length: usize) -> LineRead<'_> {
        if length > LONGEST_LINE_BYTES {
            return LineRead::TooLong;
        }
        LineRead::Whole(&self.line)
    }
}
