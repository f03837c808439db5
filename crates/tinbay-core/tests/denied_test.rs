//! Tests of how a limit treats retries of rejected requests.

use std::collections::VecDeque;

use tinbay_core::limits::denied::{CallerTry, RejectedRequests};
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

fn request_units(home: &mut LimitHome, digest: u64, now_ms: Millis) -> Result<(), Millis> {
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
fn simulate_surge() -> Surge {
    const MAX_RETRY_AFTER_MS: Millis = 4_000;
    let mut home = LimitHome::new(0);
    let mut surge = Surge::default();
    let mut retries_at: Vec<VecDeque<(u64, Millis)>> = vec![VecDeque::new(); 30_000];
    let mut digest = 0;
    for now_ms in 0..20_000 {
        for (retried, first_ms) in std::mem::take(&mut retries_at[now_ms as usize]) {
            if request_units(&mut home, retried, now_ms).is_ok() {
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
            match request_units(&mut home, digest, now_ms) {
                Ok(()) => surge.new += 1,
                Err(retry_after_ms) => {
                    let retry_ms = now_ms + retry_after_ms.clamp(1, MAX_RETRY_AFTER_MS);
                    retries_at[retry_ms as usize].push_back((digest, now_ms));
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
    let surge = simulate_surge();
    let allowed = (PER_S * 20.0 / UNITS) as usize;
    assert!(surge.late * 20 <= surge.new, "{surge:?}");
    assert!(surge.new * 10 >= allowed * 9, "{surge:?} of {allowed}");
}

/// Empties the home's bucket at `now_ms`.
fn drain(home: &mut LimitHome, now_ms: Millis) {
    let mut digest = 1 << 40;
    while request_units(home, digest, now_ms).is_ok() {
        digest += 1;
    }
}

#[test]
fn deal_retry_in_time_is_granted() {
    let mut home = LimitHome::new(0);
    drain(&mut home, 1_000);
    let retry_after_ms = request_units(&mut home, 7, 1_000).expect_err("the bucket is empty");
    assert!(retry_after_ms < OBJECTIVE_MS);
    assert_eq!(
        request_units(&mut home, 7, 1_000 + retry_after_ms.max(100)),
        Ok(())
    );
}

#[test]
fn deal_late_retry_is_granted_once_the_bucket_is_more_than_half_full() {
    let mut home = LimitHome::new(0);
    drain(&mut home, 1_000);
    request_units(&mut home, 7, 1_000).expect_err("the bucket is empty");
    drain(&mut home, 1_900);
    assert!(request_units(&mut home, 7, 1_950).is_err());
    assert_eq!(request_units(&mut home, 7, 3_500), Ok(()));
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
fn rejected_requests_are_bounded_and_expire() {
    let mut rejected = RejectedRequests::default();
    for digest in 0..100_000 {
        rejected.record(try_of(digest), 1_000);
    }
    assert!(rejected.len() <= 5_000);
    assert!(rejected.is_late(try_of(99_999), 2_000));
    assert!(!rejected.is_late(try_of(1), 2_000));
    rejected.record(try_of(1), 60_000);
    assert_eq!(rejected.len(), 1);
}
