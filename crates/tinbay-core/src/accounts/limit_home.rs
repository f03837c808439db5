//! The limit of one client account where one box keeps it for all.
//!
//! All boxes draw the same box for an account, its home, and ask it for units before they let
//! requests of the account in. Load it answers: one account that asks for many times its usual at
//! all boxes at once, while others keep within theirs.
//!
//! Where a part of the fleet can't be reached, each side may take another box for the home. So a
//! home deals only the part of the rate that belongs to the boxes it reaches: a fleet that is cut
//! in two deals the rate once, whatever both sides believe.

use std::collections::VecDeque;

use crate::units::{MS_PER_SECOND, Millis};

use super::account::Limit;

/// Time whose units are kept as one number: a hundredth of the usual window, which is what the
/// oldest units stay longer than they must.
const SLOT_MS: Millis = 80;

/// Part of the burst that another home is taken to have dealt.
const PRESUMED_BURST: f64 = 0.5;

/// Part of the burst that is kept for requests that wait: above it boxes are given units ahead.
const KEPT_PART: f64 = 0.5;

/// Pause in dealing after which another box may have been the home meanwhile.
const FORGOTTEN_AFTER_MS: Millis = 2_000;

/// Longest time that callers are told to stay away.
const LONGEST_AWAY_MS: Millis = 30_000;

/// What a box asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnitRequest {
    /// Units that a request waits for; 0 where none does.
    pub needed: f64,
    /// Units that the box would use soon besides.
    pub ahead: f64,
}

/// What a box gets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnitGrant {
    /// Units it may let in.
    pub units: f64,
    /// Where what was needed is not given: time until there is room for it.
    pub room_in_ms: Option<Millis>,
}

/// How much may be dealt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DealTerms {
    /// The account's limit.
    pub limit: Limit,
    /// Window over which it binds.
    pub window_ms: Millis,
    /// Part of the fleet that this box reaches, from 0 to 1.
    pub reached: f64,
}

impl DealTerms {
    fn per_ms(&self) -> f64 {
        self.limit.per_s * self.reached.clamp(0.0, 1.0) / MS_PER_SECOND as f64
    }

    fn burst(&self) -> f64 {
        self.limit.burst * self.reached.clamp(0.0, 1.0)
    }

    /// Units in any window.
    fn in_window(&self) -> f64 {
        self.per_ms() * self.window_ms as f64 + self.burst()
    }
}

/// What is kept of an account at its home: what was dealt in the window that ends now.
#[derive(Debug, Clone)]
pub struct LimitHome {
    /// Units by the time slot in which they were dealt, oldest first. All times are kept a window
    /// late, so that there is one before the start of the process.
    dealt: VecDeque<(Millis, f64)>,
    in_window: f64,
    /// Until when the room to come is promised to callers that were turned away. They are told
    /// one after the other to come back, each when there is room for it.
    promised_until_ms: Millis,
    /// When units were last dealt; none before the first time.
    last_ms: Option<Millis>,
}

impl Default for LimitHome {
    fn default() -> Self {
        Self::new()
    }
}

impl LimitHome {
    /// A box that has not dealt any units yet.
    pub fn new() -> Self {
        Self {
            dealt: VecDeque::new(),
            in_window: 0.0,
            promised_until_ms: 0,
            last_ms: None,
        }
    }

    /// Deals units.
    ///
    /// A request that counts more than a whole window gets in when nothing else did in one.
    pub fn deal(&mut self, terms: DealTerms, request: UnitRequest, now_ms: Millis) -> UnitGrant {
        let now_ms = now_ms + terms.window_ms;
        let pause_ms = self.last_ms.map(|last_ms| now_ms.saturating_sub(last_ms));
        if pause_ms.is_none_or(|pause_ms| pause_ms >= FORGOTTEN_AFTER_MS) {
            self.presume(terms, now_ms);
        }
        self.last_ms = Some(now_ms);
        self.leave_window(terms.window_ms, now_ms);
        let room = terms.in_window() - self.in_window;
        if request.needed > room && self.in_window > 0.0 {
            let room_in_ms = Some(self.promise_room(terms, request.needed - room, now_ms));
            let units = 0.0;
            return UnitGrant { units, room_in_ms };
        }
        let spare = room - request.needed - KEPT_PART * terms.burst();
        let units = request.needed + request.ahead.min(spare).max(0.0);
        self.note_dealt(units, now_ms);
        let room_in_ms = None;
        UnitGrant { units, room_in_ms }
    }

    /// Another home may have dealt all there was: the window is taken to be full but for what the
    /// account's rate leaves free.
    fn presume(&mut self, terms: DealTerms, now_ms: Millis) {
        let from_ms = now_ms.saturating_sub(terms.window_ms);
        self.dealt.clear();
        self.in_window = 0.0;
        let mut slot_ms = from_ms / SLOT_MS * SLOT_MS;
        while slot_ms < now_ms {
            self.note_dealt(terms.per_ms() * SLOT_MS as f64, slot_ms);
            slot_ms += SLOT_MS;
        }
        self.note_dealt(terms.burst() * PRESUMED_BURST, now_ms);
    }

    fn note_dealt(&mut self, units: f64, now_ms: Millis) {
        let slot_ms = now_ms / SLOT_MS * SLOT_MS;
        self.in_window += units;
        match self.dealt.back_mut() {
            Some((last_ms, sum)) if *last_ms == slot_ms => *sum += units,
            _ => self.dealt.push_back((slot_ms, units)),
        }
    }

    fn leave_window(&mut self, window_ms: Millis, now_ms: Millis) {
        while let Some((slot_ms, units)) = self.dealt.front().copied() {
            if slot_ms + SLOT_MS + window_ms > now_ms {
                break;
            }
            self.in_window -= units;
            self.dealt.pop_front();
        }
        if self.dealt.is_empty() {
            self.in_window = 0.0;
        }
    }

    /// Time until so many more units have left the window than must have.
    fn promise_room(&mut self, terms: DealTerms, missing: f64, now_ms: Millis) -> Millis {
        let mut left = missing;
        let mut first_ms = now_ms;
        for (slot_ms, units) in &self.dealt {
            first_ms = slot_ms + SLOT_MS + terms.window_ms;
            left -= units;
            if left <= 0.0 {
                break;
            }
        }
        let own_ms = (missing / terms.per_ms().max(f64::MIN_POSITIVE)).ceil();
        let next_ms = self.promised_until_ms.saturating_add(own_ms as Millis);
        let room_ms = first_ms.max(next_ms).min(now_ms + LONGEST_AWAY_MS);
        self.promised_until_ms = room_ms;
        room_ms.saturating_sub(now_ms).max(1)
    }
}
