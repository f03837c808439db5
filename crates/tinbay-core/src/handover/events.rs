//! Incremental scanner for the events of a server-sent event stream.
//!
//! Source: WHATWG, "HTML Living Standard", section "Server-sent events": an event ends with an
//! empty line, and a line `id: ...` sets its id. A line ends with CR, LF or CRLF.

/// Bytes kept of each line; lines with an id are shorter.
const MAX_LINE_BYTES: usize = 64;

/// First byte of a line that is a comment.
const COMMENT: u8 = b':';

/// Prefix of a line with an event's id.
const ID_FIELD: &str = "id:";

/// Tracks event boundaries and ids in a stream that arrives in arbitrary chunks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventScanner {
    line: Vec<u8>,
    line_bytes: usize,
    id_in_event: Option<u64>,
    /// Whether the event has a line that is no comment.
    has_field: bool,
    last_id: Option<u64>,
    events: u64,
    /// Bytes since the end of the last complete event.
    partial_bytes: u64,
    /// Whether the last byte was a CR, of whose line end a following LF is part.
    is_after_cr: bool,
    /// Whether the last byte ended an event.
    is_event_ended: bool,
}

impl EventScanner {
    /// Processes the next bytes; returns how many of them belong to events that end in them.
    pub fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut complete_bytes = 0;
        for (position, byte) in bytes.iter().enumerate() {
            let ends_crlf = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            let is_event_end = match byte {
                b'\n' if ends_crlf => self.is_event_ended,
                b'\n' | b'\r' => self.end_line(),
                _ => {
                    self.extend_line(*byte);
                    false
                }
            };
            self.is_event_ended = is_event_end;
            if is_event_end {
                complete_bytes = position + 1;
            }
        }
        let partial_bytes = (bytes.len() - complete_bytes) as u64;
        self.partial_bytes = match complete_bytes {
            0 => self.partial_bytes + partial_bytes,
            _ => partial_bytes,
        };
        complete_bytes
    }

    /// Discards an incomplete event, which another server sends again.
    pub fn drop_partial(&mut self) {
        self.line.clear();
        self.line_bytes = 0;
        self.id_in_event = None;
        self.has_field = false;
        self.partial_bytes = 0;
        self.is_after_cr = false;
        self.is_event_ended = false;
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of complete events; comments alone are none.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Number of bytes received of an event that is not complete; whole lines of comments alone are
    /// no part of one.
    pub fn partial_bytes(&self) -> u64 {
        let is_begun = self.has_field || self.line_bytes > 0;
        if is_begun { self.partial_bytes } else { 0 }
    }

    fn extend_line(&mut self, byte: u8) {
        self.line_bytes += 1;
        if self.line.len() < MAX_LINE_BYTES {
            self.line.push(byte);
        }
    }

    /// Ends a line; returns whether that completes an event.
    fn end_line(&mut self) -> bool {
        if self.line_bytes > 0 {
            self.id_in_event = read_id(&self.line).or(self.id_in_event);
            self.has_field |= self.line.first() != Some(&COMMENT);
            self.line.clear();
            self.line_bytes = 0;
            return false;
        }
        self.events += u64::from(std::mem::take(&mut self.has_field));
        self.last_id = self.id_in_event.take().or(self.last_id);
        true
    }
}

fn read_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line).ok()?;
    text.strip_prefix(ID_FIELD)?.trim().parse().ok()
}
