//! Hedged requests: when to send a repeatable request to a second server while the first has not
//! answered.
//!
//! Hedging helps against servers that are briefly slow or silent when the latency objective is only
//! a few times the usual latency.

use crate::pace::answer_times::ResponseTimes;
use crate::units::Millis;

/// Quantile of the response times after which a request is hedged: this hedges one request in
/// twenty, among them most of those that would be late.
const HEDGE_QUANTILE: f64 = 0.95;

/// Minimum wait before hedging; an earlier hedge costs more than it gains.
const MIN_WAIT_MS: f64 = 5.0;

/// Properties of a request from which it is decided whether it is hedged.
#[derive(Debug, Clone, Copy)]
pub struct HedgeCase {
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether any server of the service can answer it without holding particular state, such as
    /// an adapter.
    pub is_plain: bool,
    /// Number of further servers that it may be sent to.
    pub sends_left: u32,
    /// Time left until the request times out.
    pub left_ms: Millis,
}

/// Time after which the request is sent to a second server; `None` if it is not hedged.
pub fn hedge_after_ms(case: &HedgeCase, times: &ResponseTimes) -> Option<Millis> {
    if !case.is_repeatable || !case.is_plain || case.sends_left == 0 {
        return None;
    }
    let wait_ms = times.quantile_ms(HEDGE_QUANTILE)?.max(MIN_WAIT_MS);
    let median_ms = times.quantile_ms(0.5)?;
    let is_in_time = wait_ms + median_ms < case.left_ms as f64;
    is_in_time.then_some(wait_ms.ceil() as Millis)
}
