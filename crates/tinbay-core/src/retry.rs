//! How one attempt ended, and whether another may follow.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// The three ends of an attempt to run a request at a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Answered,
    /// Nothing was handed over, or the back end refused before it ran anything.
    NotRun,
    /// The request was handed over and no whole answer came back.
    Unknown,
}

/// Share of a class's requests that may be retried, so retries cannot multiply an overload.
const BUDGET_RATIO: f64 = 0.2;

/// Retries a class may always make, so that a quiet class is not left without any.
const BUDGET_FLOOR: f64 = 5.0;

/// Highest balance; bounds the burst of retries after a quiet hour.
const BUDGET_CEILING: f64 = 100.0;

/// A retry allowance: each request earns a fraction of a retry, each retry spends one.
///
/// Source: the retry budgets of Finagle and of "The Site Reliability Workbook", ch. 22.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: BUDGET_FLOOR,
        }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + BUDGET_RATIO).min(BUDGET_CEILING);
    }

    /// Retries that may be made now.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Takes one retry if the allowance holds one.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// What is known when an attempt has ended without an answer.
#[derive(Debug, Clone, Copy)]
pub struct RetryCase {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether a part of the answer has already gone to the caller.
    pub answer_begun: bool,
    /// Now.
    pub now_ms: Millis,
    /// When the request must have started.
    pub deadline_ms: Millis,
}

/// How the attempts at one request ended so far.
///
/// "Not run" may be said of the request only if it holds for every one of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptEnds {
    maybe_ran: bool,
}

impl AttemptEnds {
    /// Notes the end of an attempt.
    pub fn note(&mut self, end: AttemptEnd) {
        self.maybe_ran |= end != AttemptEnd::NotRun;
    }

    /// Whether it is certain that no attempt ran anything.
    pub fn are_all_not_run(&self) -> bool {
        !self.maybe_ran
    }
}

/// Why no further attempt at a request is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoRetry {
    /// A part of the answer has gone to the caller, or the answer is complete.
    #[error("an answer has begun")]
    AnswerBegun,
    /// It must have started by now.
    #[error("its time to start has passed")]
    DeadlinePassed,
    /// It may have run and must not run twice.
    #[error("it may have run and is not repeatable")]
    NotRepeatable,
    /// It has had as many attempts as a request gets.
    #[error("no attempts left")]
    AttemptsUsed,
    /// Its class has spent its retry budget.
    #[error("retry budget spent")]
    BudgetSpent,
}

/// Whether another attempt is allowed, before attempts are counted and the budget is asked.
///
/// # Errors
/// [`NoRetry`], the reason why not.
pub fn check_retry(case: &RetryCase) -> Result<(), NoRetry> {
    if case.answer_begun {
        return Err(NoRetry::AnswerBegun);
    }
    if case.now_ms >= case.deadline_ms {
        return Err(NoRetry::DeadlinePassed);
    }
    match case.end {
        AttemptEnd::Answered => Err(NoRetry::AnswerBegun),
        AttemptEnd::Unknown if !case.repeatable => Err(NoRetry::NotRepeatable),
        AttemptEnd::NotRun | AttemptEnd::Unknown => Ok(()),
    }
}

/// Whether [`check_retry`] allows another attempt.
pub fn may_retry(case: &RetryCase) -> bool {
    check_retry(case).is_ok()
}
