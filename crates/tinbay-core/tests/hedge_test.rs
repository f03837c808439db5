//! Hedging, and the budget that hedges share with retries.

use quickcheck::QuickCheck;
use tinbay_core::hedge::{HedgeCase, hedge_after_ms};
use tinbay_core::pace::answer_times::ResponseTimes;
use tinbay_core::serving::budget::{AttemptBudget, BudgetTerms};
use tinbay_core::units::Millis;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    extra: 180.0,
    window_ms: 10_000,
};

fn case() -> HedgeCase {
    HedgeCase {
        is_repeatable: true,
        is_plain: true,
        sends_left: 1,
        left_ms: 600,
    }
}

/// Response times of 20 ms, and 60 ms for one in ten.
fn times() -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for number in 0..100 {
        let took_ms = if number % 10 == 0 { 60.0 } else { 20.0 };
        times.record(took_ms, 0);
    }
    times
}

/// The wait follows a quantile of the service's own response times.
#[test]
fn hedge_after_the_services_own_late_answers() {
    let after_ms = hedge_after_ms(&case(), &times()).expect("the request is hedged");
    assert!((60..=67).contains(&after_ms), "{after_ms}");
}

#[test]
fn hedge_of_unrepeatable_request_is_none() {
    let once = HedgeCase {
        is_repeatable: false,
        ..case()
    };
    assert_eq!(hedge_after_ms(&once, &times()), None);
}

#[test]
fn hedge_of_request_for_an_adapter_is_none() {
    let adapter = HedgeCase {
        is_plain: false,
        ..case()
    };
    assert_eq!(hedge_after_ms(&adapter, &times()), None);
}

#[test]
fn hedge_beyond_the_routes_servers_is_none() {
    let last = HedgeCase {
        sends_left: 0,
        ..case()
    };
    assert_eq!(hedge_after_ms(&last, &times()), None);
}

#[test]
fn hedge_that_would_come_too_late_is_none() {
    let late = HedgeCase {
        left_ms: 70,
        ..case()
    };
    assert_eq!(hedge_after_ms(&late, &times()), None);
}

#[test]
fn hedge_before_answers_are_known_is_none() {
    assert_eq!(hedge_after_ms(&case(), &ResponseTimes::default()), None);
}

#[test]
fn hedge_of_any_case_waits_and_leaves_time() {
    fn holds(is_repeatable: bool, is_plain: bool, sends_left: u32, left_ms: u16) -> bool {
        let case = HedgeCase {
            is_repeatable,
            is_plain,
            sends_left,
            left_ms: Millis::from(left_ms),
        };
        let may_hedge = is_repeatable && is_plain && sends_left > 0;
        hedge_after_ms(&case, &times())
            .is_none_or(|after_ms| may_hedge && after_ms > 0 && after_ms < case.left_ms)
    }
    QuickCheck::new().quickcheck(holds as fn(bool, bool, u32, u16) -> bool);
}

/// When all servers slow down at once and every request would be hedged, half of the budget remains
/// for retries.
#[test]
fn budget_of_hedges_leaves_half_for_retries() {
    let mut budget = AttemptBudget::new(0);
    for now_ms in 0..1_000 {
        budget.record_first_attempt(&TERMS, Some(1), now_ms);
    }
    let count = |is_taken: &mut dyn FnMut() -> bool| (0..1_000).filter(|_| is_taken()).count();
    let hedges = count(&mut || budget.take_hedge(&TERMS, Some(1), 1_000));
    let retries = count(&mut || budget.take_retry(&TERMS, Some(1), 1_000));
    assert!(hedges > 0);
    assert!(retries >= hedges);
    let allowed = TERMS.ratio * 1_000.0 + TERMS.extra;
    assert!((hedges + retries) as f64 <= allowed);
}
