//! The budget of extra attempts (retries and hedges), kept to by all boxes without coordination.
//!
//! Each box may spend a ratio of its own first attempts plus its share of a fixed allowance. A
//! process earns that share over time, starting with none: one that restarts forgets what it has
//! spent, and may not know yet among how many boxes to divide.

use std::collections::VecDeque;

use crate::units::Millis;

/// Fraction of the ratio that is spent, because the windows in which boxes count do not line up.
const RATIO_FRACTION: f64 = 0.6;

/// Fraction of the fixed allowance that can be saved up for a burst.
const BURST_FRACTION: f64 = 0.4;

/// Fraction of the fixed allowance that is earned in each window. Together with a burst it is less
/// than the whole, as the numbers of boxes that boxes count may differ.
const EARNED_FRACTION: f64 = 0.3;

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

impl BudgetTerms {
    /// The part of the fixed allowance that one of `boxes` boxes may spend; none while their number
    /// is not known.
    fn own_extra(&self, boxes: Option<usize>) -> f64 {
        boxes.map_or(0.0, |boxes| self.extra / boxes.max(1) as f64)
    }
}

/// One box's budget of extra attempts at one service.
#[derive(Debug)]
pub struct AttemptBudget {
    first_attempts: VecDeque<Millis>,
    extra_attempts: VecDeque<ExtraAttempt>,
    allowance: Allowance,
}

/// An extra attempt in the window.
#[derive(Debug, Clone, Copy)]
struct ExtraAttempt {
    at_ms: Millis,
    /// The part of it that the ratio of first attempts paid for.
    of_ratio: f64,
}

/// What a box has earned of the fixed allowance and not spent.
#[derive(Debug)]
struct Allowance {
    balance: f64,
    /// When it last earned a part.
    earned_ms: Millis,
    /// Its share then; `None` if it has not earned any yet.
    own_extra: Option<f64>,
}

impl Allowance {
    /// Earns for the time since the last call, by the smaller of the shares then and now.
    fn earn(&mut self, terms: &BudgetTerms, own_extra: f64, now_ms: Millis) {
        let windows = now_ms.saturating_sub(self.earned_ms) as f64 / terms.window_ms.max(1) as f64;
        let least_extra = own_extra.min(self.own_extra.unwrap_or(own_extra));
        let earned = self.balance + EARNED_FRACTION * least_extra * windows;
        *self = Self {
            balance: earned.min(BURST_FRACTION * own_extra),
            earned_ms: now_ms,
            own_extra: Some(own_extra),
        };
    }
}

impl AttemptBudget {
    /// The budget of a process that started at this time and has spent nothing.
    pub fn new(process_start_ms: Millis) -> Self {
        Self {
            first_attempts: VecDeque::new(),
            extra_attempts: VecDeque::new(),
            allowance: Allowance {
                balance: 0.0,
                earned_ms: process_start_ms,
                own_extra: None,
            },
        }
    }

    /// Records a first attempt of one of `boxes` boxes, and drops those that no longer count.
    pub fn record_first_attempt(
        &mut self,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) {
        self.drop_ended(terms, now_ms);
        self.allowance.earn(terms, terms.own_extra(boxes), now_ms);
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

    /// Takes one retry from the budget if the share of this box among `boxes` allows it.
    pub fn take_retry(
        &mut self,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) -> bool {
        self.take(1.0, terms, boxes, now_ms)
    }

    /// Takes one hedge from the budget; hedges may use only a part of it, which leaves the rest for
    /// retries.
    pub fn take_hedge(
        &mut self,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) -> bool {
        self.take(HEDGE_FRACTION, terms, boxes, now_ms)
    }

    /// Takes one extra attempt, which may use a fraction of the budget. The ratio of first attempts
    /// pays for as much of it as it can, the fixed allowance for the rest.
    fn take(
        &mut self,
        fraction: f64,
        terms: &BudgetTerms,
        boxes: Option<usize>,
        now_ms: Millis,
    ) -> bool {
        self.drop_ended(terms, now_ms);
        let own_extra = terms.own_extra(boxes);
        self.allowance.earn(terms, own_extra, now_ms);
        let spent = self.extra_attempts.iter().map(|attempt| attempt.of_ratio);
        let allowed = RATIO_FRACTION * terms.ratio * self.first_attempts.len() as f64;
        let of_ratio = (fraction * allowed - spent.sum::<f64>()).clamp(0.0, 1.0);
        let of_allowance = 1.0 - of_ratio;
        let kept = (1.0 - fraction) * BURST_FRACTION * own_extra;
        if of_allowance > 0.0 && of_allowance + kept > self.allowance.balance {
            return false;
        }
        self.allowance.balance -= of_allowance;
        let at_ms = now_ms;
        self.extra_attempts
            .push_back(ExtraAttempt { at_ms, of_ratio });
        true
    }

    fn drop_ended(&mut self, terms: &BudgetTerms, now_ms: Millis) {
        let window_start_ms = now_ms.saturating_sub(terms.window_ms);
        drop_while(&mut self.first_attempts, |at_ms| *at_ms < window_start_ms);
        drop_while(&mut self.extra_attempts, |attempt| {
            attempt.at_ms < window_start_ms
        });
    }
}

fn drop_while<T>(oldest_first: &mut VecDeque<T>, has_ended: impl Fn(&T) -> bool) {
    while oldest_first.front().is_some_and(&has_ended) {
        oldest_first.pop_front();
    }
}
