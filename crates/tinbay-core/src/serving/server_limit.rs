//! The rate limit that a server announces: how many requests per second it accepts from all boxes
//! together.
//!
//! An overloaded server names the limit in its answers for as long as it applies. Answers may
//! overtake each other, and one without a limit may have been made before one with it. All that is
//! certain is that an answer was made after its request was sent and before the answer was
//! received.

use crate::units::Millis;

/// Relative change of a limit from which it is logged and sent to other boxes: a server may
/// recompute it for each answer.
const SIGNIFICANT_CHANGE: f64 = 0.1;

/// Whether a limit differs enough from the one last reported that it should be reported again.
pub fn is_significant_change(reported: Option<f64>, now: Option<f64>) -> bool {
    match (reported, now) {
        (Some(reported), Some(now)) => (now - reported).abs() > SIGNIFICANT_CHANGE * reported,
        (reported, now) => reported.is_some() != now.is_some(),
    }
}

/// What one answer says about the server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// Requests per second that the server accepts from all boxes together; none where it names no
    /// limit.
    pub per_s: Option<f64>,
    /// When the request was sent: the answer was made later.
    pub request_sent_ms: Millis,
    /// When the answer was received: it was made earlier.
    pub answer_received_ms: Millis,
}

impl LimitNotice {
    fn is_tighter_than(&self, other: &LimitNotice) -> bool {
        match (self.per_s, other.per_s) {
            (Some(own), Some(other)) => own < other,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

/// The rate limit of one incarnation of a server, from all of its answers so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnnouncedLimit {
    notice: Option<LimitNotice>,
    /// Since when a limit has been in effect without interruption.
    limited_since_ms: Option<Millis>,
    /// Whether the server has ever named a limit.
    was_limited: bool,
}

impl AnnouncedLimit {
    /// Applies a notice. One that was certainly made later replaces the known one. Of two that may
    /// have been made in either order the stricter one applies, until a request sent after its
    /// receipt is answered.
    pub fn record(&mut self, notice: LimitNotice) {
        if self.notice.is_some_and(|known| !replaces(&notice, &known)) {
            return;
        }
        self.notice = Some(notice);
        self.was_limited |= notice.per_s.is_some();
        self.limited_since_ms = match notice.per_s {
            Some(_) => self.limited_since_ms.or(Some(notice.answer_received_ms)),
            None => None,
        };
    }

    /// Requests per second that the server accepts from all boxes together; none where it has no
    /// limit.
    pub fn per_s(&self) -> Option<f64> {
        self.notice?.per_s
    }

    /// How long a limit has been in effect.
    pub fn known_for_ms(&self, now_ms: Millis) -> Millis {
        let limited_since_ms = self.limited_since_ms.unwrap_or(now_ms);
        now_ms.saturating_sub(limited_since_ms)
    }

    /// The latest notice, to send to other boxes; none if the server has never named a limit, which
    /// keeps messages small.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice.filter(|_| self.was_limited)
    }
}

/// Whether a notice replaces the known one.
fn replaces(notice: &LimitNotice, known: &LimitNotice) -> bool {
    let is_later = notice.request_sent_ms >= known.answer_received_ms;
    let is_earlier = known.request_sent_ms >= notice.answer_received_ms;
    let is_newer_of_same =
        notice.per_s == known.per_s && notice.answer_received_ms >= known.answer_received_ms;
    is_later || is_newer_of_same || (!is_earlier && notice.is_tighter_than(known))
}
