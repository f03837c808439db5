//! Tests of idempotency keys and their table.

use quickcheck::{QuickCheck, TestResult};
use tinbay_core::ids::BoxId;
use tinbay_core::keys::{CLOCK_SKEW_MS, ClaimAnswer, KEY_LIFE_MS, KeyTable, RequestKey};

fn key(incarnation: u64, minted_ms: u64, nonce: u64) -> RequestKey {
    RequestKey {
        home: BoxId::new("box-1"),
        incarnation,
        minted_ms,
        nonce,
    }
}

fn table() -> KeyTable {
    KeyTable::new(BoxId::new("box-1"), 7)
}

#[test]
fn claim_first_is_granted_second_is_used() {
    let mut table = table();
    let key = key(7, 1_000, 1);
    assert_eq!(table.claim(&key, 1_000), ClaimAnswer::Granted);
    assert_eq!(table.claim(&key, 2_000), ClaimAnswer::Used);
}

#[test]
fn claim_of_another_run_is_unknown() {
    let mut table = table();
    assert_eq!(table.claim(&key(6, 1_000, 1), 1_000), ClaimAnswer::Unknown);
    let mut foreign = key(7, 1_000, 1);
    foreign.home = BoxId::new("box-2");
    assert_eq!(table.claim(&foreign, 1_000), ClaimAnswer::Unknown);
}

#[test]
fn claim_too_old_or_from_the_future_is_unknown() {
    let mut table = table();
    let now_ms = 10 * KEY_LIFE_MS;
    assert_eq!(
        table.claim(&key(7, now_ms - KEY_LIFE_MS, 1), now_ms),
        ClaimAnswer::Unknown
    );
    assert_eq!(
        table.claim(&key(7, now_ms + CLOCK_SKEW_MS + 1, 2), now_ms),
        ClaimAnswer::Unknown
    );
}

#[test]
fn release_not_run_allows_one_more() {
    let mut table = table();
    let key = key(7, 1_000, 1);
    assert_eq!(table.claim(&key, 1_000), ClaimAnswer::Granted);
    table.release_not_run(&key);
    assert_eq!(table.claim(&key, 1_000), ClaimAnswer::Regranted);
    assert_eq!(table.claim(&key, 1_000), ClaimAnswer::Used);
}

#[test]
fn forget_expired_keeps_memory_bounded() {
    let mut table = table();
    for nonce in 0..1_000 {
        table.claim(&key(7, nonce, nonce), nonce);
    }
    table.claim(&key(7, 3 * KEY_LIFE_MS, 5_000), 3 * KEY_LIFE_MS);
    assert_eq!(table.len(), 1);
}

#[test]
fn claim_any_sequence_grants_once() {
    // Without a release, a key is granted at most once, for any number, order and clock
    // readings of the claims.
    fn holds(claims: Vec<(u8, u32)>) -> bool {
        let mut table = table();
        let mut granted = [0; 256];
        for (nonce, wall_ms) in claims {
            let wall_ms = u64::from(wall_ms);
            let key = key(7, 1_000_000, u64::from(nonce));
            if table.claim(&key, wall_ms) == ClaimAnswer::Granted {
                granted[usize::from(nonce)] += 1;
            }
        }
        granted.iter().all(|count| *count <= 1)
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u8, u32)>) -> bool);
}

#[test]
fn parse_printed_key_round_trips() {
    fn holds(home: String, incarnation: u64, minted_ms: u64, nonce: u64) -> TestResult {
        if home.is_empty() {
            return TestResult::discard();
        }
        let key = RequestKey {
            home: BoxId::new(home),
            incarnation,
            minted_ms,
            nonce,
        };
        TestResult::from_bool(key.to_string().parse() == Ok(key))
    }
    QuickCheck::new().quickcheck(holds as fn(String, u64, u64, u64) -> TestResult);
}

#[test]
fn parse_any_text_does_not_panic() {
    fn holds(text: String) -> bool {
        let _ = text.parse::<RequestKey>();
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(holds as fn(String) -> bool);
}
