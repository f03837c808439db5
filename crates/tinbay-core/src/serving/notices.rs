//! What a server says of itself in the head of any answer.
//!
//! Servers tell it to whoever asks, in answers to requests, orders and questions for reports alike.
//! It comes sooner than their entries in the store, which may be away.

use crate::units::Millis;

/// What a server says of itself in the head of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNotice {
    /// It leaves: it finishes what it has and ends.
    pub is_leaving: bool,
    /// It turned this away, and wants nothing from the box that asked for so long.
    pub rest_ms: Option<Millis>,
}

impl AnswerNotice {
    /// Whether it says anything.
    pub fn is_empty(&self) -> bool {
        !self.is_leaving && self.rest_ms.is_none()
    }
}
