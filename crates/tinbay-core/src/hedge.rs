//! When a request that may be repeated is sent to a second server though the first may still answer.
//!
//! Load it answers: servers that are slow or silent for moments, under requests whose answer must
//! come within a few times the usual one.

use crate::pace::answer_times::AnswerTimes;
use crate::units::Millis;

/// Part of the answers that is awaited: one request in twenty is sent again, and most of what is
/// late is among these.
const AWAITED_PART: f64 = 0.95;

/// Shortest wait: a second send earlier than that costs more than it gains.
const LEAST_WAIT_MS: f64 = 5.0;

/// What decides whether and when a request is sent to a second server.
#[derive(Debug, Clone, Copy)]
pub struct HedgeCase {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether any server of the service does the same work, holding nothing special for it.
    pub is_plain: bool,
    /// Servers that it may be sent to beyond this one.
    pub sends_left: u32,
    /// Time left for an answer.
    pub left_ms: Millis,
}

/// Wait after which a request goes to a second server as well; none where it never does.
pub fn hedge_after_ms(case: &HedgeCase, times: &AnswerTimes) -> Option<Millis> {
    if !case.is_repeatable || !case.is_plain || case.sends_left == 0 {
        return None;
    }
    let wait_ms = times.quantile_ms(AWAITED_PART)?.max(LEAST_WAIT_MS);
    let usual_ms = times.quantile_ms(0.5)?;
    let is_in_time = wait_ms + usual_ms < case.left_ms as f64;
    is_in_time.then_some(wait_ms.ceil() as Millis)
}
