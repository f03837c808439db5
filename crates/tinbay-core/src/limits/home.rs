//! The home of a limit: the box that grants its units to all boxes.
//!
//! Every box computes the same home for a limit and requests units from it before it admits
//! requests. So the limit also holds when one account sends many times its usual load to all boxes
//! at once, or when all boxes keep using a server that has named a limit.
//!
//! In a network partition each side may have its own home. A home therefore grants only the
//! fraction of the rate that corresponds to the boxes it can reach, so that both sides together
//! stay within the rate.

use crate::units::{MS_PER_SECOND, Millis};

use super::bucket::{Bucket, Refill};
use super::denied::{CallerTry, RejectedRequests};
use super::retry_times::RetryTimes;
use super::terms::LimitTerms;

/// Fraction of the bucket reserved for requests that wait. Only units above it are granted ahead of
/// demand.
const RESERVED_FRACTION: f64 = 0.5;

/// After a pause without requests, the bucket is reset to the units that accrue in this time: not
/// to zero, as the account may just have been idle, and not to its capacity, as another home may
/// have granted units meanwhile.
const REFILL_AFTER_PAUSE_MS: Millis = 500;

/// A box's request for units of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnitRequest {
    /// Units for a request that waits; 0 if none does.
    pub needed: f64,
    /// Further units that the box expects to use soon.
    pub ahead: f64,
}

/// The home's answer to a [`UnitRequest`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnitGrant {
    /// Units granted.
    pub units: f64,
    /// If the needed units are not granted: time until a retry, absent otherwise.
    pub retry_after_ms: Option<Millis>,
}

/// Conditions under which the home grants units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DealTerms {
    /// Terms of the limit.
    pub limit_terms: LimitTerms,
    /// Fraction of the fleet that this box can reach, from 0 to 1.
    pub reached: f64,
    /// Number of boxes in the fleet.
    pub boxes: usize,
}

/// State of a limit at its home.
#[derive(Debug, Clone)]
pub struct LimitHome {
    bucket: Bucket,
    /// Spaces the retry times of rejected requests.
    retry_times: RetryTimes,
    /// Rejected requests. Those that are late get only units that new ones leave.
    rejected: RejectedRequests,
    /// When units were last requested.
    last_request_ms: Millis,
}

impl LimitHome {
    /// Creates the state of a new home. Its bucket is empty, as the previous home may have granted
    /// all units.
    pub fn new(now_ms: Millis) -> Self {
        Self {
            bucket: Bucket::empty(now_ms),
            retry_times: RetryTimes::default(),
            rejected: RejectedRequests::default(),
            last_request_ms: now_ms,
        }
    }

    /// Creates the state of a new home that withholds the first `debt` units.
    pub fn in_debt(debt: f64, now_ms: Millis) -> Self {
        let mut home = Self::new(now_ms);
        home.bucket.take(debt);
        home
    }

    /// Grants units to a box.
    ///
    /// While the bucket is more than half full, each box is granted at least an equal share of the
    /// surplus ahead of demand, even if it requested less.
    ///
    /// Needed units are granted if the bucket holds all of them or is full. So short requests of an
    /// account at its limit are admitted before long ones. Granting on debt would treat both alike,
    /// and reject more requests without serving more of them in time.
    pub fn deal(&mut self, terms: DealTerms, request: UnitRequest, now_ms: Millis) -> UnitGrant {
        self.deal_to(terms, request, None, now_ms)
    }

    /// Grants units to a box for one attempt of a caller.
    ///
    /// An attempt that is late after an earlier rejection gets only units above
    /// [`RESERVED_FRACTION`]: units are worth more to requests that can still be answered in time.
    pub fn deal_to(
        &mut self,
        terms: DealTerms,
        request: UnitRequest,
        caller_try: Option<CallerTry>,
        now_ms: Millis,
    ) -> UnitGrant {
        let limit = terms.limit_terms.limit;
        let reached = terms.reached.clamp(0.0, 1.0);
        let refill = Refill {
            per_s: limit.per_s * reached,
            capacity: (limit.burst * reached).max(1.0),
        };
        if now_ms
            >= self
                .last_request_ms
                .saturating_add(terms.limit_terms.reset_after_ms)
        {
            self.bucket
                .clear(now_ms.saturating_sub(REFILL_AFTER_PAUSE_MS));
        }
        self.last_request_ms = now_ms;
        self.bucket.refill(refill, now_ms);
        let is_late =
            caller_try.is_some_and(|caller_try| self.rejected.is_late(caller_try, now_ms));
        let reserved = if is_late {
            RESERVED_FRACTION * refill.capacity
        } else {
            0.0
        };
        if self.bucket.level() < request.needed.min(refill.capacity) + reserved {
            if let Some(caller_try) = caller_try {
                self.rejected.record(caller_try, now_ms);
            }
            let max_retry_ms = terms.limit_terms.longest_away_ms;
            let retry_after_ms = if is_late {
                max_retry_ms
            } else {
                self.schedule_retry(request.needed, refill, max_retry_ms, now_ms)
            };
            return UnitGrant {
                units: 0.0,
                retry_after_ms: Some(retry_after_ms),
            };
        }
        let spare = self.bucket.level() - request.needed - RESERVED_FRACTION * refill.capacity;
        let ahead = request.ahead.max(spare / terms.boxes.max(1) as f64);
        // Messages carry whole units, so that a fraction would be lost.
        let units = request.needed + ahead.min(spare).max(0.0).floor();
        self.bucket.take(units);
        let retry_after_ms = None;
        UnitGrant {
            units,
            retry_after_ms,
        }
    }

    fn schedule_retry(
        &mut self,
        needed: f64,
        refill: Refill,
        max_retry_ms: Millis,
        now_ms: Millis,
    ) -> Millis {
        let needed = needed.min(refill.capacity);
        let first_ms = now_ms.saturating_add(self.bucket.time_until_ms(needed, refill.per_s));
        let gap_ms = (needed / refill.per_s * MS_PER_SECOND as f64).ceil() as Millis;
        self.retry_times
            .next_ms(first_ms, gap_ms, max_retry_ms, now_ms)
    }
}
