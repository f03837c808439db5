//! Tests of how a limit treats retries of rejected requests.

use std::collections::VecDeque;

use tinbay_core::limits::denied::{CallerTry, DeniedRequests};
use tinbay_core::limits::home::{DealTerms, LimitHome, UnitRequest};
use tinbay_core::limits::terms::{Limit, LimitTerms};
use tinbay_core::units::Millis;

const OBJECTIVE_MS: Millis = 800;
const UNITS: f64 = 1_000.0;
const PER_S: f64 = 50_000.0;

fn terms() -> DealTerms {
    let limit = Limit {
        per_s: PER_S,
        burst: PER_S,
    };
    DealTerms {
        limit_terms: LimitTerms::of_account(limit, 0.0),
        reached: 1.0,
        boxes: 70,
    }
}

fn try_of(digest: u64) -> CallerTry {
    CallerTry {
        digest,
        objective_ms: OBJECTIVE_MS,
    }
}

fn ask(home: &mut LimitHome, digest: u64, now_ms: Millis) -> Result<(), Millis> {
    let request = UnitRequest {
        needed: UNITS,
        ahead: 0.0,
    };
    let grant = home.deal_to(terms(), request, Some(try_of(digest)), now_ms);
    grant.retry_after_ms.map_or(Ok(()), Err)
}

/// Admitted requests of a surge.
#[derive(Debug, Default)]
struct Surge {
    new: usize,
    late: usize,
}

/// Sends three times the limit for 20 s. Rejected requests are retried once, at the given time but
/// within 4 s.
fn play_surge() -> Surge {
    const LONGEST_AWAY_MS: Millis = 4_000;
    let mut home = LimitHome::new(0);
    let mut surge = Surge::default();
    let mut returns: Vec<VecDeque<(u64, Millis)>> = vec![VecDeque::new(); 30_000];
    let mut digest = 0;
    for now_ms in 0..20_000 {
        for (returned, first_ms) in std::mem::take(&mut returns[now_ms as usize]) {
            if ask(&mut home, returned, now_ms).is_ok() {
                let is_late = now_ms - first_ms >= OBJECTIVE_MS;
                *(if is_late {
                    &mut surge.late
                } else {
                    &mut surge.new
                }) += 1;
            }
        }
        if now_ms % 20 < 3 {
            digest += 1;
            match ask(&mut home, digest, now_ms) {
                Ok(()) => surge.new += 1,
                Err(away_ms) => {
                    let back_ms = now_ms + away_ms.clamp(1, LONGEST_AWAY_MS);
                    returns[back_ms as usize].push_back((digest, now_ms));
                }
            }
        }
    }
    surge
}

/// An account sends three times its limit and its callers retry late: the units go to requests that
/// can still be in time.
#[test]
fn deal_surge_serves_new_requests_before_late_ones() {
    let surge = play_surge();
    let allowed = (PER_S * 20.0 / UNITS) as usize;
    assert!(surge.late * 20 <= surge.new, "{surge:?}");
    assert!(surge.new * 10 >= allowed * 9, "{surge:?} of {allowed}");
}

/// Empties the home's bucket at `now_ms`.
fn drain(home: &mut LimitHome, now_ms: Millis) {
    let mut digest = 1 << 40;
    while ask(home, digest, now_ms).is_ok() {
        digest += 1;
    }
}

#[test]
fn deal_return_that_is_in_time_gets_its_turn() {
    let mut home = LimitHome::new(0);
    drain(&mut home, 1_000);
    let away_ms = ask(&mut home, 7, 1_000).expect_err("no room");
    assert!(away_ms < OBJECTIVE_MS);
    assert_eq!(ask(&mut home, 7, 1_000 + away_ms.max(100)), Ok(()));
}

#[test]
fn deal_late_return_is_served_once_there_is_plenty() {
    let mut home = LimitHome::new(0);
    drain(&mut home, 1_000);
    ask(&mut home, 7, 1_000).expect_err("no room");
    drain(&mut home, 1_900);
    assert!(ask(&mut home, 7, 1_950).is_err());
    assert_eq!(ask(&mut home, 7, 3_500), Ok(()));
}

/// Requests without a digest are never treated as late.
#[test]
fn deal_without_a_digest_is_as_before() {
    let request = UnitRequest {
        needed: UNITS,
        ahead: 0.0,
    };
    let mut home = LimitHome::new(0);
    for now_ms in [1_000, 1_500, 2_500] {
        assert!(home.deal(terms(), request, now_ms).retry_after_ms.is_none());
    }
}

#[test]
fn denied_memory_is_bounded_and_fades() {
    let mut denied = DeniedRequests::default();
    for digest in 0..100_000 {
        denied.note(try_of(digest), 1_000);
    }
    assert!(denied.len() <= 5_000);
    assert!(denied.is_late(try_of(99_999), 2_000));
    assert!(!denied.is_late(try_of(1), 2_000));
    denied.note(try_of(1), 60_000);
    assert_eq!(denied.len(), 1);
}
