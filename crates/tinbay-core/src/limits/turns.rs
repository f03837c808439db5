//! When those who are turned away come back: one after the other, each when there is room.

use crate::units::Millis;

/// Turns of those who were turned away.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Turns {
    /// Until when the room to come is promised.
    promised_until_ms: Millis,
}

impl Turns {
    /// The time until the next turn: not before there is room at `first_ms`, and `gap_ms` after the turn
    /// before, but never longer than `longest_ms`.
    pub fn next_ms(
        &mut self,
        first_ms: Millis,
        gap_ms: Millis,
        longest_ms: Millis,
        now_ms: Millis,
    ) -> Millis {
        let next_ms = self.promised_until_ms.saturating_add(gap_ms);
        let turn_ms = first_ms.max(next_ms);
        let last_ms = now_ms.saturating_add(longest_ms);
        self.promised_until_ms = turn_ms.min(last_ms);
        turn_ms.saturating_sub(now_ms).min(longest_ms)
    }
}
