//! Which idle connections may carry a request that may run only once, in virtual time.

use quickcheck::QuickCheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::serving::idle_reuse::{
    INITIAL_IDLE_LIMIT_MS, IdleReuseLimit, MAX_AT_RISK, MAX_IDLE_LIMIT_MS, MIN_IDLE_LIMIT_MS,
    REUSES_PER_LOSS, Reuse, ReuseOutcome,
};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

/// Reuses by a box that sends some 25 requests per second to 90 servers, over five minutes.
const REUSES: u32 = 4_000;

fn reuse(rested_ms: Millis, end: ReuseOutcome) -> Reuse {
    Reuse {
        server: 1,
        rested_ms,
        end,
    }
}

fn note(learner: &mut IdleReuseLimit, rested_ms: Millis, end: ReuseOutcome) -> bool {
    learner.record(&reuse(rested_ms, end), 0)
}

fn grow(learner: &mut IdleReuseLimit, to_ms: Millis) {
    while learner.trusted_ms() < to_ms {
        let rested_ms = learner.trusted_ms();
        note(learner, rested_ms, ReuseOutcome::Answered);
    }
}

/// Uses connections that were idle for up to some seconds, and opens a new one beyond the idle
/// limit. Returns the number of reuses and of losses.
fn play(closed_after_ms: Millis, seed: u64) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut learner = IdleReuseLimit::default();
    let (mut reused, mut lost) = (0, 0);
    for _ in 0..REUSES {
        let rested_ms = rng.random_range(0..4_000);
        if rested_ms > learner.trusted_ms() {
            continue;
        }
        let is_lost = rested_ms > closed_after_ms;
        let end = if is_lost {
            ReuseOutcome::Broken
        } else {
            ReuseOutcome::Answered
        };
        reused += 1;
        lost += u32::from(is_lost);
        note(&mut learner, rested_ms, end);
    }
    (reused, lost)
}

#[test]
fn trusted_before_anything_is_learnt_is_the_start() {
    assert_eq!(
        IdleReuseLimit::default().trusted_ms(),
        INITIAL_IDLE_LIMIT_MS
    );
}

/// One box uses each of 90 servers every three seconds: with an idle limit of half a second, six of
/// seven requests would need a new connection.
#[test]
fn trusted_grows_where_reuse_goes_well() {
    let mut learner = IdleReuseLimit::default();
    for _ in 0..16 {
        let rested_ms = learner.trusted_ms();
        note(&mut learner, rested_ms, ReuseOutcome::Answered);
    }
    assert!(learner.trusted_ms() >= 4_000);
}

#[test]
fn trusted_grows_by_long_rests_alone() {
    let mut learner = IdleReuseLimit::default();
    for _ in 0..100 {
        note(&mut learner, 20, ReuseOutcome::Answered);
    }
    assert_eq!(learner.trusted_ms(), INITIAL_IDLE_LIMIT_MS);
}

#[test]
fn trusted_shrinks_at_once_below_a_rest_that_broke() {
    let mut learner = IdleReuseLimit::default();
    grow(&mut learner, 4_000);
    assert!(note(&mut learner, 3_000, ReuseOutcome::Broken));
    assert_eq!(learner.trusted_ms(), 1_500);
}

#[test]
fn trusted_shrinks_below_the_start_where_servers_forget_sooner() {
    let mut learner = IdleReuseLimit::default();
    note(&mut learner, 400, ReuseOutcome::Broken);
    assert_eq!(learner.trusted_ms(), 200);
}

#[test]
fn trusted_is_the_least_after_a_second_loss() {
    let mut learner = IdleReuseLimit::default();
    grow(&mut learner, 4_000);
    note(&mut learner, 3_000, ReuseOutcome::Broken);
    note(&mut learner, 1_400, ReuseOutcome::Broken);
    assert_eq!(learner.trusted_ms(), MIN_IDLE_LIMIT_MS);
}

#[test]
fn trusted_grows_again_only_after_many_reuses() {
    let mut learner = IdleReuseLimit::default();
    note(&mut learner, 400, ReuseOutcome::Broken);
    for _ in 1..REUSES_PER_LOSS {
        note(&mut learner, 200, ReuseOutcome::Answered);
    }
    assert_eq!(learner.trusted_ms(), 200);
    grow(&mut learner, 1_000);
}

/// A connection that breaks while in constant use indicates a crashed server, and nothing about
/// idle time.
#[test]
fn trusted_stays_where_a_connection_just_used_breaks() {
    let mut learner = IdleReuseLimit::default();
    assert!(!note(&mut learner, MIN_IDLE_LIMIT_MS, ReuseOutcome::Broken));
    assert_eq!(learner.trusted_ms(), INITIAL_IDLE_LIMIT_MS);
}

/// A server that stops responding does not affect the connections of others.
#[test]
fn silence_of_one_server_says_nothing_of_others() {
    let mut learner = IdleReuseLimit::default();
    grow(&mut learner, 4_000);
    for _ in 0..3 {
        assert!(!note(&mut learner, 2_000, ReuseOutcome::Silent));
    }
}

/// A link drops all connections at once.
#[test]
fn silence_of_two_servers_at_once_shrinks() {
    let mut learner = IdleReuseLimit::default();
    grow(&mut learner, 4_000);
    let silent = |server: ServerKey| Reuse {
        server,
        rested_ms: 2_000,
        end: ReuseOutcome::Silent,
    };
    assert!(!learner.record(&silent(1), 10_000));
    assert!(learner.record(&silent(2), 10_500));
    assert_eq!(learner.trusted_ms(), 1_000);
}

#[test]
fn silence_of_two_servers_long_apart_says_nothing() {
    let mut learner = IdleReuseLimit::default();
    grow(&mut learner, 4_000);
    let mut is_shrunk = false;
    for (server, now_ms) in [(1, 10_000), (2, 20_000)] {
        let silent = Reuse {
            server,
            ..reuse(2_000, ReuseOutcome::Silent)
        };
        is_shrunk |= learner.record(&silent, now_ms);
    }
    assert!(!is_shrunk);
}

/// All connections fall silent at once: only few requests are in flight before the first one shows
/// it.
#[test]
fn stake_is_bounded_while_answers_are_due() {
    let mut learner = IdleReuseLimit::default();
    grow(&mut learner, 4_000);
    let mut sent = 0;
    while learner.trusted_ms() >= 2_000 {
        assert!(learner.record_at_risk(2_000));
        sent += 1;
    }
    assert_eq!(sent, MAX_AT_RISK);
    assert_eq!(learner.trusted_ms(), INITIAL_IDLE_LIMIT_MS);
    learner.release();
    assert!(learner.trusted_ms() >= 2_000);
}

#[test]
fn stake_of_a_short_rest_is_none() {
    let mut learner = IdleReuseLimit::default();
    assert!(!learner.record_at_risk(INITIAL_IDLE_LIMIT_MS));
}

/// Servers close idle connections after an arbitrary time: at most two requests are lost per
/// thousand reuses, and two more.
#[test]
fn play_any_forgetting_keeps_the_bound() {
    fn holds(closed_after_ms: u16, seed: u64) -> bool {
        let closed_after_ms = Millis::from(closed_after_ms).max(MIN_IDLE_LIMIT_MS);
        let (reused, lost) = play(closed_after_ms, seed);
        lost <= 2 * (1 + reused / REUSES_PER_LOSS)
    }
    QuickCheck::new().quickcheck(holds as fn(u16, u64) -> bool);
}

#[test]
fn play_servers_that_forget_nothing_reuses_most() {
    let (reused, lost) = play(MAX_IDLE_LIMIT_MS, 1);
    assert_eq!(lost, 0);
    assert!(reused >= REUSES * 9 / 10);
}
