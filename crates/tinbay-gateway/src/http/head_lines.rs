//! Checks the line ends of response heads as they are read.

use std::cell::Cell;
use std::rc::Rc;

/// Where the first digit of the status stands in the first line of a response.
const STATUS_CLASS_AT: usize = b"HTTP/1.1 ".len();

/// A line of a head ends with a line feed alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a line of the response head ends without a carriage return")]
pub struct BareLineFeed;

/// Where the bytes that a connection receives belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Place {
    /// To a head.
    Head(HeadPlace),
    /// To a body, or to no response.
    #[default]
    Elsewhere,
}

/// How far a head has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct HeadPlace {
    has_first_line: bool,
    /// Whether another head follows, by the status.
    is_interim: bool,
    /// Bytes of the present line without its end.
    line_bytes: usize,
    is_after_return: bool,
}

/// Checks that the lines of heads end with a carriage return and a line feed.
///
/// The HTTP library also takes a line feed alone for the end of a line. A head in which one byte is
/// corrupted may so end early, and the rest of it would count as the start of the body.
#[derive(Debug, Clone, Default)]
pub struct HeadLines {
    place: Rc<Cell<Place>>,
}

impl HeadLines {
    /// Begins with the head of the next response, as a request is sent.
    pub fn begin_head(&self) {
        self.place.set(Place::Head(HeadPlace::default()));
    }

    /// Checks bytes that were received.
    ///
    /// # Errors
    /// When a line of a head ends with a line feed alone.
    pub fn check(&self, bytes: &[u8]) -> Result<(), BareLineFeed> {
        for byte in bytes {
            let Place::Head(head) = self.place.get() else {
                return Ok(());
            };
            self.place.set(head.after(*byte)?);
        }
        Ok(())
    }
}

impl HeadPlace {
    /// The place after the next byte.
    fn after(self, byte: u8) -> Result<Place, BareLineFeed> {
        match byte {
            b'\n' if !self.is_after_return => Err(BareLineFeed),
            b'\n' => Ok(self.after_line()),
            _ => Ok(Place::Head(self.within_line(byte))),
        }
    }

    fn within_line(mut self, byte: u8) -> Self {
        if !self.has_first_line && self.line_bytes == STATUS_CLASS_AT {
            self.is_interim = byte == b'1';
        }
        self.is_after_return = byte == b'\r';
        self.line_bytes += usize::from(!self.is_after_return);
        self
    }

    /// The place after the end of a line: an empty one ends the head. Empty lines before the first one
    /// are skipped, as by the HTTP library.
    fn after_line(self) -> Place {
        let is_empty = self.line_bytes == 0;
        if is_empty && self.has_first_line && !self.is_interim {
            return Place::Elsewhere;
        }
        if is_empty {
            return Place::Head(Self::default());
        }
        Place::Head(Self {
            has_first_line: true,
            line_bytes: 0,
            is_after_return: false,
            ..self
        })
    }
}
