//! Brittle servers, which fail if they have to reject too many requests for lack of room.
//!
//! All servers of a service turn brittle together and say so in all their answers. What one box
//! sends then has to fit beside what the others send, of which it knows little, so it keeps to its
//! share of the slots and pauses after each rejection.

use crate::units::{MS_PER_SECOND, Millis};

/// Fraction of a server's slots that boxes fill as long as they know what the others have running
/// there. The rest covers requests that are sent at the same time.
const FILLED_FRACTION: f64 = 0.75;

/// Fraction of a server's slots for requests of all boxes that it has not begun to answer.
const UNANSWERED_FRACTION: f64 = 0.25;

/// Bounds of the pause after a rejection.
const PAUSE_BOUNDS_MS: (Millis, Millis) = (100, 5_000);

/// What the servers of a service say about their brittleness.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Brittleness {
    rejections_per_s: Option<f64>,
    received_ms: Millis,
}

impl Brittleness {
    /// Records what an answer says; none if it does not mention it. An answer whose request was
    /// sent before the last notice arrived does not end the state.
    pub fn record(
        &mut self,
        rejections_per_s: Option<f64>,
        request_sent_ms: Millis,
        now_ms: Millis,
    ) {
        if rejections_per_s.is_some() {
            self.rejections_per_s = rejections_per_s;
            self.received_ms = now_ms;
        } else if request_sent_ms >= self.received_ms {
            self.rejections_per_s = None;
        }
    }

    /// Rejections per second that a server survives; none if it is not brittle.
    pub fn rejections_per_s(&self) -> Option<f64> {
        self.rejections_per_s
    }

    /// Time for which a box sends nothing to a brittle server that has rejected one of its
    /// requests, so that the rejections of all `boxes` stay within the server's bound.
    pub fn pause_ms(&self, boxes: usize) -> Option<Millis> {
        let per_s = self.rejections_per_s?;
        let (least_ms, most_ms) = PAUSE_BOUNDS_MS;
        let pause_ms = boxes as f64 * MS_PER_SECOND as f64 / per_s.max(f64::MIN_POSITIVE);
        Some((pause_ms.min(most_ms as f64) as Millis).max(least_ms))
    }
}

/// Requests at a brittle server, as one box knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RoomCase {
    /// Slots of the server.
    pub slots: usize,
    /// Boxes that may send to it.
    pub boxes: usize,
    /// Requests that this box has running there.
    pub own_running: usize,
    /// Those of them that the server has not begun to answer.
    pub own_unanswered: usize,
    /// Requests that all boxes have running there; none if this box does not know.
    pub running: Option<usize>,
}

/// Whether one more request of this box fits.
pub fn has_room(case: &RoomCase) -> bool {
    let boxes = case.boxes.max(1);
    let Some(running) = case.running else {
        return case.own_running < (case.slots / boxes).max(1);
    };
    let filled = (case.slots as f64 * FILLED_FRACTION) as usize;
    let unanswered = (case.slots as f64 * UNANSWERED_FRACTION) as usize;
    running < filled.max(1) && case.own_unanswered < (unanswered / boxes).max(1)
}
