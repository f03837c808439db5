//! Requests that were turned away with a time to come back, so that they are known when they do.

use std::collections::HashMap;

use crate::units::Millis;

/// Most of them that are remembered at one server.
const MOST_REMEMBERED: usize = 256;

/// Time by which a caller may come before its turn: its clock and the way differ by milliseconds.
const EARLY_MS: Millis = 50;

/// Time after its turn by which a caller has come back.
const LATE_MS: Millis = 2_000;

/// Requests that were turned away, by what tells them apart, and when their turn is.
#[derive(Debug, Clone, Default)]
pub struct Returns {
    turns: HashMap<u64, Millis>,
}

impl Returns {
    /// Notes when a request that is turned away has its turn.
    pub fn promise(&mut self, digest: u64, turn_ms: Millis, now_ms: Millis) {
        if self.turns.len() >= MOST_REMEMBERED {
            self.turns.retain(|_, turn_ms| now_ms <= *turn_ms + LATE_MS);
        }
        if self.turns.len() < MOST_REMEMBERED {
            self.turns.insert(digest, turn_ms);
        }
    }

    /// Whether a request comes back at its turn; it has one turn.
    pub fn take(&mut self, digest: u64, now_ms: Millis) -> bool {
        let Some(turn_ms) = self.turns.get(&digest).copied() else {
            return false;
        };
        if now_ms + EARLY_MS < turn_ms {
            return false;
        }
        self.turns.remove(&digest);
        now_ms <= turn_ms + LATE_MS
    }

    /// Turns that are remembered.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
