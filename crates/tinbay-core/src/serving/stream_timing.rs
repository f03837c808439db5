//! Timing of one answer as a box forwards it: when its pieces arrived from the server.
//!
//! An answer may be late in two ways that have different causes: its first piece took too long, or
//! a pause between two pieces did. A pause in turn has two possible causes: the server sent
//! nothing, or the caller's side did not read what had arrived.

use crate::units::Millis;

/// Timing of the pieces of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTiming {
    first_ms: Option<Millis>,
    last_ms: Millis,
    pieces: u32,
    longest_pause_ms: Millis,
    longest_pause_at: u32,
    longest_pause_untaken_ms: Millis,
    /// Total time in which the caller's side was not reading, up to its last read.
    untaken_ms: Millis,
    /// When the caller's side began to wait for the next piece; none while it is not reading.
    read_began_ms: Option<Millis>,
}

impl StreamTiming {
    /// Records the arrival of a piece.
    pub fn record_piece(&mut self, now_ms: Millis) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms);
        } else {
            let pause_ms = now_ms.saturating_sub(self.last_ms);
            if pause_ms > self.longest_pause_ms {
                self.longest_pause_ms = pause_ms;
                self.longest_pause_at = self.pieces;
                self.longest_pause_untaken_ms = self.unread_since_last_ms(now_ms);
            }
        }
        self.read_began_ms = None;
        self.last_ms = now_ms;
        self.pieces = self.pieces.saturating_add(1);
    }

    /// Records that the caller's side begins to wait for the next piece. From the last piece until
    /// then it read nothing, and data that had arrived from the server waited.
    pub fn record_read_start(&mut self, now_ms: Millis) {
        if self.first_ms.is_none() || self.read_began_ms.is_some() {
            return;
        }
        self.read_began_ms = Some(now_ms);
        let untaken_ms = self.unread_since_last_ms(now_ms);
        self.untaken_ms = self.untaken_ms.saturating_add(untaken_ms);
    }

    /// When the first piece arrived.
    pub fn first_ms(&self) -> Option<Millis> {
        self.first_ms
    }

    /// When the last piece arrived.
    pub fn last_ms(&self) -> Option<Millis> {
        self.first_ms.map(|_| self.last_ms)
    }

    /// Number of pieces that have arrived.
    pub fn pieces(&self) -> u32 {
        self.pieces
    }

    /// Longest pause between two pieces.
    pub fn longest_pause_ms(&self) -> Millis {
        self.longest_pause_ms
    }

    /// Number of pieces that had arrived before the longest pause.
    pub fn longest_pause_at(&self) -> u32 {
        self.longest_pause_at
    }

    /// Part of the longest pause in which the caller's side was not reading.
    pub fn longest_pause_untaken_ms(&self) -> Millis {
        self.longest_pause_untaken_ms
    }

    /// Time between the first piece and the last one, which is the sum of all pauses.
    pub fn pauses_ms(&self) -> Millis {
        self.first_ms
            .map_or(0, |first_ms| self.last_ms.saturating_sub(first_ms))
    }

    /// Total time up to `now_ms` in which the caller's side was not reading.
    pub fn untaken_ms(&self, now_ms: Millis) -> Millis {
        let is_unread = self.first_ms.is_some() && self.read_began_ms.is_none();
        let current_ms = if is_unread {
            self.unread_since_last_ms(now_ms)
        } else {
            0
        };
        self.untaken_ms.saturating_add(current_ms)
    }

    /// Time since the last piece; none before the first one.
    pub fn silence_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.last_ms().map(|last_ms| now_ms.saturating_sub(last_ms))
    }

    fn unread_since_last_ms(&self, now_ms: Millis) -> Millis {
        self.read_began_ms
            .unwrap_or(now_ms)
            .saturating_sub(self.last_ms)
    }

    /// Whether a pause was longer than allowed.
    pub fn has_long_pause(&self, allowed_ms: Option<Millis>) -> bool {
        allowed_ms.is_some_and(|allowed_ms| self.longest_pause_ms > allowed_ms)
    }
}
