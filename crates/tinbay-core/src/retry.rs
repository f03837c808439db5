//! Outcome of an attempt, and whether another one may follow.

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// The outcome of an attempt to run a request on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The complete answer arrived.
    Answered,
    /// The request was not delivered, or the server refused it before running anything.
    NotRun,
    /// The request was delivered and no complete answer came back.
    Unknown,
}

/// Fraction of a class's requests that may be retried, so that retries can't amplify an overload.
const BUDGET_RATIO: f64 = 0.2;

/// Initial balance, so that a class with little traffic can retry as well.
const INITIAL_BALANCE: f64 = 5.0;

/// Upper bound of the balance, which limits the burst of retries after a long time without any.
const MAX_BALANCE: f64 = 100.0;

/// A retry budget: each request adds a fraction of a retry, each retry takes one.
///
/// Source: the retry budgets of Finagle and of "The Site Reliability Workbook", ch. 22.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: INITIAL_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + BUDGET_RATIO).min(MAX_BALANCE);
    }

    /// Number of retries available.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Takes one retry; false if none is available.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// State of a request after an attempt, from which it is decided whether it is retried.
#[derive(Debug, Clone, Copy)]
pub struct RetryCase {
    /// Outcome of the attempt.
    pub end: AttemptEnd,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether part of the answer has already been sent to the caller.
    pub answer_begun: bool,
    /// Current time.
    pub now_ms: Millis,
    /// Latest time at which the request may start.
    pub deadline_ms: Millis,
}

/// Combined outcome of the attempts at one request so far.
///
/// The request as a whole did not run only if none of its attempts did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptEnds {
    maybe_ran: bool,
}

impl AttemptEnds {
    /// Adds the outcome of an attempt.
    pub fn record(&mut self, end: AttemptEnd) {
        self.maybe_ran |= end != AttemptEnd::NotRun;
    }

    /// Whether certainly none of the attempts ran.
    pub fn are_all_not_run(&self) -> bool {
        !self.maybe_ran
    }
}

/// Reason why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoRetry {
    /// Part of the answer was already sent to the caller, or the answer is complete.
    #[error("part of the answer was already sent")]
    AnswerBegun,
    /// The latest start time has passed.
    #[error("latest start time has passed")]
    DeadlinePassed,
    /// The request may have run and must not run twice.
    #[error("request may have run and is not repeatable")]
    NotRepeatable,
    /// The maximum number of attempts is reached.
    #[error("maximum number of attempts reached")]
    AttemptsUsed,
    /// The retry budget of the request's class is exhausted.
    #[error("retry budget exhausted")]
    BudgetSpent,
}

/// Checks whether another attempt is allowed, apart from the number of attempts and the budget.
///
/// # Errors
/// [`NoRetry`] with the reason why not.
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
