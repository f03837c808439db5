//! Enforcement of a limit at a box that admits requests.
//!
//! Units granted by the limit's home are used first. A box whose home does not answer uses its own
//! share, the limit divided by the number of boxes. A share may be too small for one request. It
//! may therefore be overdrawn by the box's share of the overdraft that operators allow; the debt is
//! paid back before the next request.

use crate::units::Millis;

use super::bucket::{Bucket, Refill};
use super::terms::LimitTerms;

/// Lifetime of granted units. Unused ones expire, so that many boxes can't accumulate them and
/// use them at once.
pub const GRANT_LIFE_MS: Millis = 1_000;

/// Units are requested ahead for the expected use of this time: several round trips between zones,
/// with delays.
const PREFETCH_MS: Millis = 250;

/// How long a limit counts as reached after its home refused units: about the time in which boxes
/// agree on a new home.
const AT_LIMIT_MS: Millis = 1_500;

/// Time constant of the average use.
const AVERAGE_USE_MS: f64 = 1_000.0;

/// Determines the share of one box.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTerms {
    /// Terms of the limit.
    pub limit_terms: LimitTerms,
    /// Number of boxes in the fleet.
    pub boxes: usize,
}

/// State of a limit at one box.
#[derive(Debug, Clone)]
pub struct LimitShare {
    /// Units granted by the home and not used yet.
    granted: f64,
    last_grant_ms: Millis,
    share: Bucket,
    /// Decaying average of the use, as of `last_use_ms`.
    used_per_ms: f64,
    last_use_ms: Millis,
    /// Until when the limit counts as reached.
    at_limit_until_ms: Millis,
}

impl LimitShare {
    /// Creates the state of a box without grants and recorded use.
    pub fn new(now_ms: Millis) -> Self {
        Self {
            granted: 0.0,
            last_grant_ms: now_ms,
            share: Bucket::empty(now_ms),
            used_per_ms: 0.0,
            last_use_ms: now_ms,
            at_limit_until_ms: now_ms,
        }
    }

    /// Creates the state of a box that withholds the first `debt` units of its share.
    pub fn in_debt(debt: f64, now_ms: Millis) -> Self {
        let mut share = Self::new(now_ms);
        share.share.take(debt);
        share
    }

    /// Records that the home refused units for a request. For a while the box then does not use its
    /// share either, even if the home stops answering: the home may still be granting to other
    /// boxes, and grants and shares together exceed the limit.
    pub fn note_denied(&mut self, now_ms: Millis) {
        self.at_limit_until_ms = now_ms + AT_LIMIT_MS;
    }

    /// Records units granted by the home, and clears the box's own share, which is part of what the
    /// home grants.
    pub fn note_given(&mut self, units: f64, now_ms: Millis) {
        self.granted = self.unexpired_grant(now_ms) + units;
        self.last_grant_ms = now_ms;
        self.share.clear(now_ms);
    }

    /// Takes units for a request from the home's grants; false if they do not suffice.
    pub fn take_given(&mut self, units: f64, now_ms: Millis) -> bool {
        let granted = self.unexpired_grant(now_ms);
        if granted < units {
            return false;
        }
        self.granted = granted - units;
        self.record_use(units, now_ms);
        true
    }

    /// Takes units for a request from the box's own share.
    ///
    /// # Errors
    /// The time until a retry, if the share does not suffice.
    pub fn take_share(
        &mut self,
        terms: ShareTerms,
        units: f64,
        now_ms: Millis,
    ) -> Result<(), Millis> {
        let boxes = terms.boxes.max(1) as f64;
        let limit = terms.limit_terms.limit;
        let per_s = limit.per_s / boxes;
        let capacity = limit.burst.max(limit.per_s) / boxes;
        self.share.refill(Refill { per_s, capacity }, now_ms);
        let needed = units - terms.limit_terms.overdraft / boxes;
        if now_ms < self.at_limit_until_ms {
            return Err(self.at_limit_until_ms - now_ms);
        }
        if self.share.level() < needed {
            return Err(self.share.time_until_ms(needed, per_s).max(1));
        }
        self.share.take(units);
        self.record_use(units, now_ms);
        Ok(())
    }

    /// Returns the units of a request that was not run.
    pub fn give_back(&mut self, units: f64, now_ms: Millis) {
        self.granted = self.unexpired_grant(now_ms) + units;
    }

    /// Units to request ahead: the expected use in [`PREFETCH_MS`] less the units at hand, or 0
    /// while these cover half of it.
    pub fn ahead(&self, now_ms: Millis) -> f64 {
        let expected = self.average_use_per_ms(now_ms) * PREFETCH_MS as f64;
        let granted = self.unexpired_grant(now_ms);
        if granted * 2.0 >= expected {
            0.0
        } else {
            expected - granted
        }
    }

    fn unexpired_grant(&self, now_ms: Millis) -> f64 {
        if now_ms < self.last_grant_ms + GRANT_LIFE_MS {
            self.granted
        } else {
            0.0
        }
    }

    fn average_use_per_ms(&self, now_ms: Millis) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.last_use_ms) as f64;
        self.used_per_ms * (-passed_ms / AVERAGE_USE_MS).exp()
    }

    fn record_use(&mut self, units: f64, now_ms: Millis) {
        self.used_per_ms = self.average_use_per_ms(now_ms) + units / AVERAGE_USE_MS;
        self.last_use_ms = now_ms;
    }
}
