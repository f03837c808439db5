//! Spaces the retry times of rejected requests.

use crate::units::Millis;

/// Retry times given to rejected requests, one after the other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RetryTimes {
    /// The latest retry time given so far.
    last_retry_ms: Millis,
}

impl RetryTimes {
    /// Time until the next retry: not before `first_ms`, and `gap_ms` after the previous one, but
    /// at most `max_retry_ms`.
    pub fn next_ms(
        &mut self,
        first_ms: Millis,
        gap_ms: Millis,
        max_retry_ms: Millis,
        now_ms: Millis,
    ) -> Millis {
        let next_ms = self.last_retry_ms.saturating_add(gap_ms);
        let retry_ms = first_ms.max(next_ms);
        let latest_ms = now_ms.saturating_add(max_retry_ms);
        self.last_retry_ms = retry_ms.min(latest_ms);
        retry_ms.saturating_sub(now_ms).min(max_retry_ms)
    }
}
