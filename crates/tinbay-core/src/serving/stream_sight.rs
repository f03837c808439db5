//! What a box sees of one answer on its way: when its pieces came from the server.
//!
//! An answer may be late in two ways that have different causes: its first piece took too long, or
//! a pause between two pieces did. A pause in turn has two sides: the server sent nothing, or the
//! caller's side did not ask for what had come.

use crate::units::Millis;

/// The pieces of one answer, as they came from the server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamSight {
    first_ms: Option<Millis>,
    last_ms: Millis,
    pieces: u32,
    longest_pause_ms: Millis,
    longest_pause_at: u32,
    longest_pause_untaken_ms: Millis,
    untaken_ms: Millis,
    asked_ms: Option<Millis>,
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
                self.longest_pause_untaken_ms = self.untaken_since_last_ms(now_ms);
            }
        }
        self.asked_ms = None;
        self.last_ms = now_ms;
        self.pieces = self.pieces.saturating_add(1);
    }

    /// Notes that the caller's side asks for the next piece. From the last piece until then it took
    /// nothing, and whatever had come from the server waited.
    pub fn note_asked(&mut self, now_ms: Millis) {
        if self.first_ms.is_none() || self.asked_ms.is_some() {
            return;
        }
        self.asked_ms = Some(now_ms);
        let untaken_ms = self.untaken_since_last_ms(now_ms);
        self.untaken_ms = self.untaken_ms.saturating_add(untaken_ms);
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

    /// Part of the longest pause in which the caller's side asked for nothing.
    pub fn longest_pause_untaken_ms(&self) -> Millis {
        self.longest_pause_untaken_ms
    }

    /// Time between the first piece and the last one: the sum of all pauses.
    pub fn pauses_ms(&self) -> Millis {
        self.first_ms
            .map_or(0, |first_ms| self.last_ms.saturating_sub(first_ms))
    }

    /// Time, up to `now_ms`, in which the caller's side asked for nothing.
    pub fn untaken_ms(&self, now_ms: Millis) -> Millis {
        let is_open = self.first_ms.is_some() && self.asked_ms.is_none();
        let open_ms = if is_open {
            self.untaken_since_last_ms(now_ms)
        } else {
            0
        };
        self.untaken_ms.saturating_add(open_ms)
    }

    /// Time since the last piece; none before the first one.
    pub fn silence_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.last_ms().map(|last_ms| now_ms.saturating_sub(last_ms))
    }

    fn untaken_since_last_ms(&self, now_ms: Millis) -> Millis {
        self.asked_ms.unwrap_or(now_ms).saturating_sub(self.last_ms)
    }

    /// Whether a pause was longer than allowed.
    pub fn has_long_pause(&self, allowed_ms: Option<Millis>) -> bool {
        allowed_ms.is_some_and(|allowed_ms| self.longest_pause_ms > allowed_ms)
    }
}
