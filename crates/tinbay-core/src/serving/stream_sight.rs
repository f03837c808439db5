//! What a box sees of one answer on its way: when its pieces came from the server.
//!
//! An answer may be late in two ways that have different causes: its first piece took too long, or
//! a pause between two pieces did.

use crate::units::Millis;

/// The pieces of one answer, as they came from the server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamSight {
    first_ms: Option<Millis>,
    last_ms: Millis,
    pieces: u32,
    longest_pause_ms: Millis,
    longest_pause_at: u32,
}

impl StreamSight {
    /// Notes that a piece came.
    pub fn note_piece(&mut self, now_ms: Millis) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
        } else {
            let pause_ms = now_ms.saturating_sub(self.last_ms);
            if pause_ms > self.longest_pause_ms {
                self.longest_pause_ms = pause_ms;
                self.longest_pause_at = self.pieces;
            }
        }
        self.last_ms = now_ms;
        self.pieces = self.pieces.saturating_add(1);
    }

    /// When the first piece came.
    pub fn first_ms(&self) -> Option<Millis> {
        self.first_ms
    }

    /// When the last piece came.
    pub fn last_ms(&self) -> Option<Millis> {
        self.first_ms.map(|_| self.last_ms)
    }

    /// Pieces that came.
    pub fn pieces(&self) -> u32 {
        self.pieces
    }

    /// Longest pause between two pieces.
    pub fn longest_pause_ms(&self) -> Millis {
        self.longest_pause_ms
    }

    /// Pieces that had come before the longest pause.
    pub fn longest_pause_at(&self) -> u32 {
        self.longest_pause_at
    }

    /// Whether a pause was longer than allowed.
    pub fn has_long_pause(&self, allowed_ms: Option<Millis>) -> bool {
        allowed_ms.is_some_and(|allowed_ms| self.longest_pause_ms > allowed_ms)
    }
}
