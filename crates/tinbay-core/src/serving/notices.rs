//! What servers announce about themselves in the heads of their answers.
//!
//! Answers to requests, orders and report queries all carry these notices. A notice arrives sooner
//! than a change of the server's entry in the store, which may be unavailable. A notice is also
//! final: a listing of entries may be old, and an entry may disappear and reappear.

use super::server_limit::{AnnouncedLimit, LimitNotice};
use crate::units::Millis;

/// Largest error of a clock reading in whole milliseconds, added to a back-off so that it does not
/// end too early.
const ROUNDING_MS: Millis = 1;

/// What a server announces in the head of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerNotice {
    /// The server is shutting down: it finishes its running requests and exits.
    pub is_leaving: bool,
    /// The server rejected the request and asks this box to send nothing for this long.
    pub back_off_ms: Option<Millis>,
    /// What the answer says about the server's rate limit; none where it says nothing about one.
    pub limit: Option<LimitNotice>,
}

/// Everything one incarnation of a server has announced so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Announced {
    is_leaving: bool,
    back_off_until_ms: Millis,
    limit: AnnouncedLimit,
}

impl Announced {
    /// Records the notice of an answer received now. A shutdown or a back-off is never withdrawn: a
    /// later answer may only lengthen the back-off. A limit lasts for as long as answers name it.
    pub fn record(&mut self, notice: AnswerNotice, now_ms: Millis) {
        self.is_leaving |= notice.is_leaving;
        if let Some(back_off_ms) = notice.back_off_ms.filter(|back_off_ms| *back_off_ms > 0) {
            let until_ms = now_ms
                .saturating_add(back_off_ms)
                .saturating_add(ROUNDING_MS);
            self.back_off_until_ms = self.back_off_until_ms.max(until_ms);
        }
        if let Some(limit) = notice.limit {
            self.limit.record(limit);
        }
    }

    /// Records that the server is shutting down according to its entry in the store.
    pub fn record_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Whether the server is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// The rate limit that the server announced.
    pub fn limit(&self) -> &AnnouncedLimit {
        &self.limit
    }

    /// End of the back-off that the server asked this box for; none once it is over.
    pub fn back_off_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        (now_ms < self.back_off_until_ms).then_some(self.back_off_until_ms)
    }
}
