//! Remembers rejected requests with a retry time, so that they are recognised when they come back.

use std::collections::HashMap;

use crate::units::Millis;

/// Upper bound of the requests remembered for one server.
const MAX_REMEMBERED: usize = 256;

/// How much before its retry time a request may come back. Callers' timers and network delays vary
/// by milliseconds.
const EARLY_TOLERANCE_MS: Millis = 50;

/// How long after its retry time a request is still recognised.
const LATE_TOLERANCE_MS: Millis = 2_000;

/// Retry times of rejected requests, by request digest.
#[derive(Debug, Clone, Default)]
pub struct ScheduledRetries {
    retry_times: HashMap<u64, Millis>,
}

impl ScheduledRetries {
    /// Remembers the retry time of a rejected request, unless [`MAX_REMEMBERED`] others are
    /// pending.
    pub fn schedule(&mut self, digest: u64, retry_at_ms: Millis, now_ms: Millis) {
        if self.retry_times.len() >= MAX_REMEMBERED {
            self.retry_times
                .retain(|_, retry_at_ms| now_ms <= *retry_at_ms + LATE_TOLERANCE_MS);
        }
        if self.retry_times.len() < MAX_REMEMBERED {
            self.retry_times.insert(digest, retry_at_ms);
        }
    }

    /// Whether a request comes back at its retry time. That is forgotten then, unless the request
    /// is too early.
    pub fn take(&mut self, digest: u64, now_ms: Millis) -> bool {
        let Some(retry_at_ms) = self.retry_times.get(&digest).copied() else {
            return false;
        };
        if now_ms + EARLY_TOLERANCE_MS < retry_at_ms {
            return false;
        }
        self.retry_times.remove(&digest);
        now_ms <= retry_at_ms + LATE_TOLERANCE_MS
    }

    /// Number of remembered requests.
    pub fn len(&self) -> usize {
        self.retry_times.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.retry_times.is_empty()
    }
}
