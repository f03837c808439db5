//! What a server says of itself in the head of any answer, and what of it binds a box.
//!
//! Servers tell it to whoever asks, in answers to requests, orders and questions for reports alike.
//! It comes sooner than their entries in the store, which may be away, and it is final where an
//! entry is not: a listing may be old, and an entry may go and come back.

use super::server_limit::{LimitNotice, SaidLimit};
use crate::units::Millis;

/// What a time in whole milliseconds may be behind the true one. A rest that was counted from such a
/// time alone ended up to that much early.
const CLOCK_STEP_MS: Millis = 1;

/// What a server says of itself in the head of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerNotice {
    /// It leaves: it finishes what it has and ends.
    pub is_leaving: bool,
    /// It turned this away, and wants nothing from the box that asked for so long.
    pub rest_ms: Option<Millis>,
    /// What it says of its limit; nothing where that can't be told from this answer.
    pub limit: Option<LimitNotice>,
}

/// What one incarnation of a server has said of itself so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Said {
    is_leaving: bool,
    rest_until_ms: Millis,
    limit: SaidLimit,
}

impl Said {
    /// Notes what an answer said that came now. That it leaves or rests is never taken back: a later
    /// answer may only lengthen a rest, and none makes a server stay that leaves. A limit lasts for as
    /// long as answers name it.
    pub fn note(&mut self, notice: AnswerNotice, now_ms: Millis) {
        self.is_leaving |= notice.is_leaving;
        if let Some(rest_ms) = notice.rest_ms.filter(|rest_ms| *rest_ms > 0) {
            let until_ms = now_ms.saturating_add(rest_ms).saturating_add(CLOCK_STEP_MS);
            self.rest_until_ms = self.rest_until_ms.max(until_ms);
        }
        if let Some(word) = notice.limit {
            self.limit.note(word);
        }
    }

    /// Notes that it leaves, by its entry.
    pub fn note_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Whether it leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// What it said of its limit.
    pub fn limit(&self) -> &SaidLimit {
        &self.limit
    }

    /// End of the rest that it asked this box for; none where that is over.
    pub fn rest_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        (now_ms < self.rest_until_ms).then_some(self.rest_until_ms)
    }
}
