//! Retry rules and the retry budget.

use tinbay_core::retry::{AttemptEnd, NoRetry, RetryBudget, RetryCase, check_retry};

const CASE: RetryCase = RetryCase {
    end: AttemptEnd::NotRun,
    repeatable: false,
    answer_begun: false,
    now_ms: 10,
    deadline_ms: 20,
};

#[test]
fn check_retry_returns_the_reason_against_a_retry() {
    assert_eq!(check_retry(&CASE), Ok(()));
    let late = RetryCase { now_ms: 20, ..CASE };
    assert_eq!(check_retry(&late), Err(NoRetry::DeadlinePassed));
    let begun = RetryCase {
        answer_begun: true,
        ..CASE
    };
    assert_eq!(check_retry(&begun), Err(NoRetry::AnswerBegun));
    let unknown = RetryCase {
        end: AttemptEnd::Unknown,
        ..CASE
    };
    assert_eq!(check_retry(&unknown), Err(NoRetry::NotRepeatable));
    let repeatable = RetryCase {
        repeatable: true,
        ..unknown
    };
    assert_eq!(check_retry(&repeatable), Ok(()));
}

#[test]
fn retry_budget_allows_retries_of_a_fifth_of_the_requests() {
    let mut budget = RetryBudget::default();
    while budget.spend() {}
    for _ in 0..50 {
        budget.earn();
    }
    let spent = (0..50).filter(|_| budget.spend()).count();
    assert!((9..=10).contains(&spent), "{spent} retries for 50 requests");
    assert!(budget.balance() < 1.0);
}
