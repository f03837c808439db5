//! The budget of second sends, shared by all boxes without asking each other.
//!
//! Each box spends a share by its own first sends plus its part of the fixed allowance.

use std::collections::VecDeque;

use crate::units::Millis;

/// Part of what is allowed that is spent, as boxes count in windows that do not line up.
const SAFE_PART: f64 = 0.6;

/// Part of what is spent that may go to requests whose first server may still answer; the rest is
/// left for those that failed.
const HEDGE_PART: f64 = 0.5;

/// What is allowed over all boxes in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Second sends allowed for each request.
    pub ratio: f64,
    /// Second sends allowed besides, over all boxes.
    pub extra: f64,
    /// Length of the window.
    pub window_ms: Millis,
}

/// One box's account of first and second sends to one service.
#[derive(Debug, Default)]
pub struct SendBudget {
    firsts: VecDeque<Millis>,
    seconds: VecDeque<Millis>,
}

impl SendBudget {
    /// Notes a first send.
    pub fn note_first(&mut self, now_ms: Millis) {
        self.firsts.push_back(now_ms);
    }

    /// Takes one second send, if the share of this box among `boxes` holds one.
    pub fn take_second(&mut self, terms: &BudgetTerms, boxes: usize, now_ms: Millis) -> bool {
        self.take(SAFE_PART, terms, boxes, now_ms)
    }

    /// The same for a request whose first server may still answer: it leaves some for failures.
    pub fn take_hedge(&mut self, terms: &BudgetTerms, boxes: usize, now_ms: Millis) -> bool {
        self.take(SAFE_PART * HEDGE_PART, terms, boxes, now_ms)
    }

    fn take(&mut self, part: f64, terms: &BudgetTerms, boxes: usize, now_ms: Millis) -> bool {
        let window_start_ms = now_ms.saturating_sub(terms.window_ms);
        drop_before(&mut self.firsts, window_start_ms);
        drop_before(&mut self.seconds, window_start_ms);
        let own_extra = terms.extra / boxes.max(1) as f64;
        let allowed = part * (terms.ratio * self.firsts.len() as f64 + own_extra);
        if self.seconds.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.seconds.push_back(now_ms);
        true
    }
}

fn drop_before(times: &mut VecDeque<Millis>, start_ms: Millis) {
    while times.front().is_some_and(|time| *time < start_ms) {
        times.pop_front();
    }
}
