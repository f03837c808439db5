//! What a server says of its own limit: how many requests a second it takes from all boxes together.
//!
//! A server in need names it in its answers, for as long as they do. Answers overtake each other, and one
//! without it may have been made before one with it. What is certain of an answer is that it was made after
//! what it answers was sent, and before it came.

use crate::units::Millis;

/// Part of a limit by which it must change to be worth a line and a message: a server may work it out anew
/// for each answer.
const NEWS_PART: f64 = 0.1;

/// Whether a limit has changed so much since it was last told that others should know.
pub fn is_news(told: Option<f64>, now: Option<f64>) -> bool {
    match (told, now) {
        (Some(told), Some(now)) => (now - told).abs() > NEWS_PART * told,
        (told, now) => told.is_some() != now.is_some(),
    }
}

/// What one answer of a server says of its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// Requests a second that it takes from all boxes together; none where it names no limit.
    pub per_s: Option<f64>,
    /// When what it answers was sent: it was said later.
    pub said_after_ms: Millis,
    /// When it came: it was said earlier.
    pub said_before_ms: Millis,
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

/// The limit of one incarnation of a server, by all that it has said so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SaidLimit {
    notice: Option<LimitNotice>,
    /// Since when a limit has been known without a break.
    since_ms: Option<Millis>,
    /// Whether there ever was one.
    was_limited: bool,
}

impl SaidLimit {
    /// Takes a notice. One that was certainly said later replaces what is known; of two that may have been
    /// said in either order the tighter one holds, until something is sent after it came and answered.
    pub fn note(&mut self, notice: LimitNotice) {
        if self.notice.is_some_and(|known| !replaces(&notice, &known)) {
            return;
        }
        self.notice = Some(notice);
        self.was_limited |= notice.per_s.is_some();
        self.since_ms = match notice.per_s {
            Some(_) => self.since_ms.or(Some(notice.said_before_ms)),
            None => None,
        };
    }

    /// Requests a second that the server takes from all boxes together; none where it has no limit.
    pub fn per_s(&self) -> Option<f64> {
        self.notice?.per_s
    }

    /// For how long a limit has been known.
    pub fn known_for_ms(&self, now_ms: Millis) -> Millis {
        let since_ms = self.since_ms.unwrap_or(now_ms);
        now_ms.saturating_sub(since_ms)
    }

    /// What is known, to tell others; none of a server that has never named a limit, so that messages grow
    /// only where there is something to say.
    pub fn notice(&self) -> Option<LimitNotice> {
        self.notice.filter(|_| self.was_limited)
    }
}

/// Whether a notice replaces what is known.
fn replaces(notice: &LimitNotice, known: &LimitNotice) -> bool {
    let is_later = notice.said_after_ms >= known.said_before_ms;
    let is_earlier = known.said_after_ms >= notice.said_before_ms;
    let is_newer_of_same =
        notice.per_s == known.per_s && notice.said_before_ms >= known.said_before_ms;
    is_later || is_newer_of_same || (!is_earlier && notice.is_tighter_than(known))
}
