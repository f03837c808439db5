//! Reports answers that were cut off because their callers read too slowly.

use log::Level;
use prometheus::IntCounterVec;
use serde::Serialize;
use tinbay_core::units::Millis;

use crate::events::{self, part};
use crate::http::pump::{AnswerCut, CutObserver};

/// Logs and counts each answer that is cut off.
#[derive(Debug)]
pub struct SlowCallers {
    cuts: IntCounterVec,
}

impl SlowCallers {
    /// Creates an observer that counts cuts by cause in `cuts`.
    pub fn new(cuts: IntCounterVec) -> Self {
        Self { cuts }
    }
}

#[derive(Serialize)]
struct CutEvent<'a> {
    request: &'a str,
    cause: &'static str,
    is_whole: bool,
    taken_bytes: u64,
    held_bytes: u64,
    unread_ms: Millis,
}

impl CutObserver for SlowCallers {
    fn report_cut(&self, cut: &AnswerCut<'_>) {
        self.cuts.with_label_values(&[cut.cause.name()]).inc();
        let event = CutEvent {
            request: cut.request,
            cause: cut.cause.name(),
            is_whole: cut.is_whole,
            taken_bytes: cut.taken_bytes,
            held_bytes: cut.held_bytes,
            unread_ms: cut.unread_ms,
        };
        events::emit(part::FRONT, Level::Info, "answer_cut", &event);
    }
}
