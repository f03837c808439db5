//! When a box requests adapter loads from the holders of servers, and when it reads the store
//! itself instead of through relays.

use tinbay_gateway::front::choice::HolderRequests;
use tinbay_gateway::port::store::StoreError;
use tinbay_gateway::watch::WatchPace;
use tinbay_gateway::watch::source::{StoreReadLimiter, StoreReadLimiters};

const SERVER: u64 = 7;

#[test]
fn try_begin_load_request_first_and_after_an_interval() {
    let mut requests = HolderRequests::default();
    assert!(requests.try_begin_load_request(SERVER, 1_000));
    assert!(!requests.try_begin_load_request(SERVER, 1_000));
    assert!(!requests.try_begin_load_request(SERVER, 1_199));
    assert!(requests.try_begin_load_request(SERVER, 1_200));
    assert!(!requests.try_begin_load_request(SERVER, 1_399));
}

#[test]
fn is_load_expected_until_load_is_overdue() {
    let mut requests = HolderRequests::default();
    assert!(!requests.is_load_expected(SERVER, 1_000));
    requests.try_begin_load_request(SERVER, 1_000);
    assert!(requests.is_load_expected(SERVER, 1_299) && !requests.is_load_expected(SERVER, 1_300));
    requests.record_expected_wait(SERVER, 250.0);
    assert!(requests.is_load_expected(SERVER, 1_799) && !requests.is_load_expected(SERVER, 1_800));
}

/// Only the first answer after a load request says how long that load takes; later ones are for
/// loads requested at their time.
#[test]
fn record_expected_wait_first_answer_counts() {
    let mut requests = HolderRequests::default();
    requests.record_expected_wait(SERVER, 250.0);
    assert_eq!(requests.expected_ms(SERVER), None);
    requests.try_begin_load_request(SERVER, 1_000);
    requests.record_expected_wait(SERVER, 250.0);
    requests.record_expected_wait(SERVER, 900.0);
    assert_eq!(requests.expected_ms(SERVER), Some(1_250));
}

/// While the store is unreachable for all boxes, each box that normally reads through relays makes
/// one call in two seconds over all prefixes.
#[test]
fn store_turn_one_call_until_one_succeeds() {
    let limiter = StoreReadLimiter::default();
    let take = |now_ms| limiter.try_acquire(2_000, now_ms);
    assert!(take(0));
    assert!(!take(0) && !take(1_999));
    assert!(take(2_000));
    assert!(!take(2_100));
    assert_eq!(limiter.record_result(Ok(()), 2_100), Ok(()));
    assert!(take(2_100) && take(2_200) && take(4_099));
    assert!(!take(4_100));
}

/// A read that waits for changes must not let the limit of the other prefixes run out: they would wait
/// for the next pause although the store answers.
#[test]
fn allows_wait_while_reads_stay_unlimited() {
    let limiter = StoreReadLimiter::default();
    assert!(!limiter.allows_wait(1_000, 0));
    assert_eq!(limiter.record_result(Ok(()), 0), Ok(()));
    assert!(limiter.allows_wait(1_000, 999));
    assert!(!limiter.allows_wait(1_000, 1_000));
    assert!(limiter.allows_wait(600, 1_000));
}

fn pace(has_own_read_limiter: bool) -> WatchPace {
    WatchPace {
        wait_ms: 600,
        gap_ms: 20,
        allows_stale_start: false,
        has_own_read_limiter,
    }
}

/// The store may answer this box and reject its relays. The configuration must then be read at
/// once, whatever was read before.
#[test]
fn store_turns_of_the_configuration_wait_for_no_other_prefix() {
    let limiters = StoreReadLimiters::default();
    assert!(limiters.of(pace(false)).try_acquire(2_000, 0));
    assert!(!limiters.of(pace(false)).try_acquire(2_000, 10));
    assert!(limiters.of(pace(true)).try_acquire(2_000, 10));
}

/// A box that reads the store for its zone asks other boxes first while the store rejects it.
#[test]
fn note_failure_until_a_read_succeeds() {
    let limiter = StoreReadLimiter::default();
    assert!(!limiter.is_failing());
    let _ = limiter.record_result::<()>(Err(StoreError::NoAnswer), 100);
    assert!(limiter.is_failing());
    let _ = limiter.record_result::<()>(Err(StoreError::HistoryGone), 200);
    assert!(limiter.is_failing());
    let _ = limiter.record_result(Ok(()), 300);
    assert!(!limiter.is_failing());
}

/// A relay rejected by the store must keep trying it even while other boxes answer. Otherwise its
/// whole zone would lose direct access to the store.
#[test]
fn takes_relay_retries_after_a_failure() {
    let limiter = StoreReadLimiter::default();
    assert!(limiter.allows_relay_read(0) && limiter.allows_relay_read(10));
    let _ = limiter.record_result::<()>(Err(StoreError::NoAnswer), 100);
    assert!(limiter.allows_relay_read(200));
    assert!(!limiter.allows_relay_read(300) && !limiter.allows_relay_read(1_199));
    assert!(limiter.allows_relay_read(1_200));
    let _ = limiter.record_result(Ok(()), 1_210);
    assert!(limiter.allows_relay_read(1_220) && limiter.allows_relay_read(1_230));
}

/// A slow store must still be read: a late answer raises the time-out for the next read.
#[test]
fn delay_limit_grows_with_a_slow_store_and_falls_again() {
    let limiter = StoreReadLimiter::default();
    let min_ms = limiter.delay_limit_ms();
    let no_answer = || limiter.record_result::<()>(Err(StoreError::NoAnswer), 0);
    assert!(no_answer().is_err());
    assert_eq!(limiter.delay_limit_ms(), 2 * min_ms);
    limiter.record_delay(600);
    assert!(limiter.delay_limit_ms() > 1_200);
    limiter.record_delay(0);
    assert!(
        limiter.delay_limit_ms() > 1_200,
        "an early answer tells nothing"
    );
    limiter.record_delay(3);
    assert_eq!(limiter.delay_limit_ms(), min_ms);
}
