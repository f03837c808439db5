//! The budget of extra attempts (retries and hedges), kept to by all boxes without coordination.
//!
//! Each box may spend a ratio of its own first attempts plus its share of a fixed allowance.

use std::collections::VecDeque;

use crate::units::Millis;

/// Fraction of the allowance that is spent, because the windows in which boxes count do not line
/// up.
const WINDOW_SKEW_FACTOR: f64 = 0.6;

/// Fraction of the spendable budget that hedges may use, where the first server may still answer;
/// the rest is kept for retries of failed requests.
const HEDGE_FRACTION: f64 = 0.5;

/// The allowance over all boxes in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Extra attempts allowed in addition, over all boxes together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window_ms: Millis,
}

/// Counts one box's first and extra attempts at one service.
#[derive(Debug, Default)]
pub struct AttemptBudget {
    first_attempts: VecDeque<Millis>,
    extra_attempts: VecDeque<Millis>,
}

impl AttemptBudget {
    /// Records a first attempt, and drops those that no longer count.
    pub fn record_first_attempt(&mut self, terms: &BudgetTerms, now_ms: Millis) {
        self.drop_ended(terms, now_ms);
        self.first_attempts.push_back(now_ms);
    }

    /// Number of first attempts that are kept.
    pub fn first_attempts(&self) -> usize {
        self.first_attempts.len()
    }

    /// Number of extra attempts in the window.
    pub fn extra_attempts(&self) -> usize {
        self.extra_attempts.len()
    }

    /// Takes one retry from the budget if the share of this box among `boxes` allows it. While their
    /// number is not known, the box has no share of the fixed allowance.
    pub fn take_retry(
        &mut self,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) -> bool {
        self.take(WINDOW_SKEW_FACTOR, terms, boxes, now_ms)
    }

    /// Takes one hedge from the budget; hedges may use only a part of it, which leaves the rest for
    /// retries.
    pub fn take_hedge(
        &mut self,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) -> bool {
        self.take(WINDOW_SKEW_FACTOR * HEDGE_FRACTION, terms, boxes, now_ms)
    }

    fn take(
        &mut self,
        fraction: f64,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) -> bool {
        self.drop_ended(terms, now_ms);
        let own_extra = boxes.map_or(0.0, |boxes| terms.extra / boxes.max(1) as f64);
        let allowed = fraction * (terms.ratio * self.first_attempts.len() as f64 + own_extra);
        if self.extra_attempts.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.extra_attempts.push_back(now_ms);
        true
    }

    fn drop_ended(&mut self, terms: &BudgetTerms, now_ms: Millis) {
        let window_start_ms = now_ms.saturating_sub(terms.window_ms);
        drop_before(&mut self.first_attempts, window_start_ms);
        drop_before(&mut self.extra_attempts, window_start_ms);
    }
}

fn drop_before(times: &mut VecDeque<Millis>, start_ms: Millis) {
    while times.front().is_some_and(|time| *time < start_ms) {
        times.pop_front();
    }
}
