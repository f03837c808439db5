//! A limit at a box that lets requests in.
//!
//! What the limit's home has given is used first. A box whose home does not answer uses its own
//! share, the limit divided by the boxes of the fleet. A share may be too small for one request:
//! of 29,000 tokens a second 392 are left to each of 74 boxes. So it may be overdrawn by the box's
//! part of what operators allow beyond the limit; that is paid back before the next request.

use crate::units::Millis;

use super::bucket::{Bucket, Filling};
use super::terms::LimitTerms;

/// How long units last that were given ahead; what is not used by then is lost, so
/// that many boxes can't save them up and use them at once.
pub const GRANT_LIFE_MS: Millis = 1_000;

/// Time for which units are asked ahead: some round trips between zones with what may delay them.
const AHEAD_MS: Millis = 250;

/// Time for which a limit is taken to be reached after its home had no room: about as long
/// as boxes take to agree on another home.
const AT_LIMIT_MS: Millis = 1_500;

/// Time over which the usual use is averaged.
const USUAL_MS: f64 = 1_000.0;

/// What the share of one box is worked out from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareTerms {
    /// How the limit is kept.
    pub limit_terms: LimitTerms,
    /// Boxes of the fleet.
    pub boxes: usize,
}

/// What is kept of a limit at one box.
#[derive(Debug, Clone)]
pub struct LimitShare {
    given: f64,
    given_ms: Millis,
    share: Bucket,
    used_per_ms: f64,
    used_ms: Millis,
    /// Until when the limit is taken to be reached.
    at_limit_until_ms: Millis,
}

impl LimitShare {
    /// A box that has neither let in nor been given anything.
    pub fn new(now_ms: Millis) -> Self {
        Self {
            given: 0.0,
            given_ms: now_ms,
            share: Bucket::empty(now_ms),
            used_per_ms: 0.0,
            used_ms: now_ms,
            at_limit_until_ms: now_ms,
        }
    }

    /// The same, where units are held back first.
    pub fn in_debt(debt: f64, now_ms: Millis) -> Self {
        let mut share = Self::new(now_ms);
        share.share.take(debt);
        share
    }

    /// Notes that the home had no room for a request. An account at its limit does not live on
    /// shares while its home is not found: together with what that still deals, an account that
    /// asked six times its limit got 1.15 times of it over 8 s.
    pub fn note_denied(&mut self, now_ms: Millis) {
        self.at_limit_until_ms = now_ms + AT_LIMIT_MS;
    }

    /// Notes units that the home has given. The own share is not saved up meanwhile: it is among
    /// what the home deals.
    pub fn note_given(&mut self, units: f64, now_ms: Millis) {
        self.given = self.given_now(now_ms) + units;
        self.given_ms = now_ms;
        self.share.empty_out(now_ms);
    }

    /// Lets a request in by what the home has given; whether it got in is returned.
    pub fn take_given(&mut self, units: f64, now_ms: Millis) -> bool {
        let given = self.given_now(now_ms);
        if given < units {
            return false;
        }
        self.given = given - units;
        self.note_use(units, now_ms);
        true
    }

    /// Lets a request in by the own share.
    ///
    /// # Errors
    /// The time until there is room, where there is none.
    pub fn take_share(
        &mut self,
        terms: ShareTerms,
        units: f64,
        now_ms: Millis,
    ) -> Result<(), Millis> {
        let boxes = terms.boxes.max(1) as f64;
        let limit = terms.limit_terms.limit;
        let per_s = limit.per_s / boxes;
        let most = limit.burst.max(limit.per_s) / boxes;
        self.share.fill(Filling { per_s, most }, now_ms);
        let needed = units - terms.limit_terms.overdraft / boxes;
        if now_ms < self.at_limit_until_ms {
            return Err(self.at_limit_until_ms - now_ms);
        }
        if self.share.level() < needed {
            return Err(self.share.time_to_ms(needed, per_s).max(1));
        }
        self.share.take(units);
        self.note_use(units, now_ms);
        Ok(())
    }

    /// Gives back what a request counted that was not run.
    pub fn give_back(&mut self, units: f64, now_ms: Millis) {
        self.given = self.given_now(now_ms) + units;
    }

    /// Units to ask for ahead: what the box usually uses in the time, less what it has. Nothing is
    /// asked for while half of that is there.
    pub fn ahead(&self, now_ms: Millis) -> f64 {
        let usual = self.usual_per_ms(now_ms) * AHEAD_MS as f64;
        let given = self.given_now(now_ms);
        if given * 2.0 >= usual {
            0.0
        } else {
            usual - given
        }
    }

    fn given_now(&self, now_ms: Millis) -> f64 {
        if now_ms < self.given_ms + GRANT_LIFE_MS {
            self.given
        } else {
            0.0
        }
    }

    fn usual_per_ms(&self, now_ms: Millis) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.used_ms) as f64;
        self.used_per_ms * (-passed_ms / USUAL_MS).exp()
    }

    fn note_use(&mut self, units: f64, now_ms: Millis) {
        self.used_per_ms = self.usual_per_ms(now_ms) + units / USUAL_MS;
        self.used_ms = now_ms;
    }
}
