//! Claims on servers: the orders of two holders are always separated by the gap, whatever happens
//! to the store and the clocks.

use quickcheck::{QuickCheck, TestResult};
use tinbay_core::serving::claims::{ClaimTable, ClaimTerms, ClaimValue, HolderEntry, Proof};
use tinbay_core::serving::position::{Era, Position};

const TERMS: ClaimTerms = ClaimTerms {
    proof_life_ms: 10_000,
    holder_gap_ms: 3_000,
    margin_ms: 500,
};

const SERVER: &str = "s";

/// A position in the era that most tests use.
fn at(revision: u64) -> Position {
    Position::new(Era(1), revision)
}

fn value(holder: &str, is_released: bool, era: u64) -> Vec<u8> {
    let value = ClaimValue {
        holder: holder.into(),
        is_released,
        era: Era(era),
        process: 0,
    };
    serde_json::to_vec(&value).expect("a value")
}

/// A claim table in the first era of a system, with one claim first seen at `seen_ms`.
fn table(holder: &str, is_released: bool, seen_ms: u64) -> ClaimTable {
    let mut table = ClaimTable::default();
    table.begin_era(Era(1), 0, 0);
    table.record_settled(Era(1));
    table.record(SERVER, &value(holder, is_released, 1), at(7), seen_ms);
    table
}

#[test]
fn may_take_unclaimed() {
    let table = ClaimTable::default();
    assert!(table.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 0));
}

#[test]
fn may_take_not_from_listed_holder() {
    let held = table("b", false, 0);
    assert!(!held.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 1_000_000));
}

#[test]
fn may_take_after_proof_gap_and_margin() {
    let held = table("b", false, 0);
    let entry = HolderEntry::MissingSince(1_000);
    assert!(!held.may_take(SERVER, "a", entry, &TERMS, 14_499));
    assert!(held.may_take(SERVER, "a", entry, &TERMS, 14_500));
}

#[test]
fn may_take_released_after_gap() {
    let released = table("b", true, 1_000);
    let entry = HolderEntry::Listed;
    assert!(!released.may_take(SERVER, "a", entry, &TERMS, 4_499));
    assert!(released.may_take(SERVER, "a", entry, &TERMS, 4_500));
}

#[test]
fn token_of_claim_is_none_from_the_start_of_its_release() {
    let mut held = table("a", false, 0);
    assert!(held.token_of(SERVER, "a", 10).is_some());
    held.begin_release(SERVER);
    assert!(held.is_being_released(SERVER));
    assert!(held.token_of(SERVER, "a", 20).is_none());
    assert_eq!(held.holder_of(SERVER), Some("a"), "the result is not known");
    held.record(SERVER, &value("a", false, 1), at(9), 30);
    assert!(!held.is_being_released(SERVER));
    assert!(held.token_of(SERVER, "a", 40).is_some());
}

#[test]
fn may_take_own_released_at_once() {
    let released = table("a", true, 1_000);
    assert!(released.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 1_001));
}

/// Guards against orders under a claim whose release by the process before is still on its way: once
/// it is carried out, another box orders as well.
#[test]
fn claim_of_the_process_before_gives_no_token_and_is_taken_at_once() {
    let mut restarted = ClaimTable::of_process(5);
    restarted.begin_era(Era(1), 0, 0);
    restarted.record(SERVER, &value("a", false, 1), at(7), 0);
    assert_eq!(restarted.token_of(SERVER, "a", 10), None);
    assert!(restarted.held_by("a").is_empty());
    assert!(restarted.is_held_by_earlier_process(SERVER, "a"));
    assert!(restarted.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 10));
    assert!(!restarted.may_take(SERVER, "b", HolderEntry::Listed, &TERMS, 10));
    let rewritten = ClaimValue {
        holder: "a".into(),
        is_released: false,
        era: Era(1),
        process: 5,
    };
    let rewritten = serde_json::to_vec(&rewritten).expect("a value");
    restarted.record(SERVER, &rewritten, at(9), 20);
    assert_eq!(
        restarted.token_of(SERVER, "a", 30),
        Some(at(9).fencing_token())
    );
    assert!(!restarted.is_held_by_earlier_process(SERVER, "a"));
    assert!(!restarted.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 30));
}

/// Guards against a box that takes a claim of its process before from a restored store at once, while
/// another box still orders under a claim that the store has lost.
#[test]
fn claim_of_the_process_before_in_a_restored_store_is_not_taken_at_once() {
    let mut restarted = ClaimTable::of_process(5);
    restarted.begin_era(Era(2), 0, 0);
    restarted.record(SERVER, &value("a", false, 1), Position::new(Era(2), 3), 0);
    assert!(!restarted.is_held_by_earlier_process(SERVER, "a"));
    assert!(!restarted.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 10));
}

/// Boxes of the release before write claims that name no process.
#[test]
fn claim_that_names_no_process_is_of_an_earlier_one() {
    let mut restarted = ClaimTable::of_process(5);
    restarted.begin_era(Era(1), 0, 0);
    let unnamed = br#"{"holder":"a","is_released":false,"era":1}"#;
    restarted.record(SERVER, unnamed, at(7), 0);
    assert!(restarted.is_held_by_earlier_process(SERVER, "a"));
}

#[test]
fn record_ignores_older_revision() {
    let mut table = table("b", false, 0);
    table.record(SERVER, &value("a", false, 1), at(6), 1);
    assert_eq!(table.token_of(SERVER, "b", 2), Some(at(7).fencing_token()));
    assert_eq!(table.token_of(SERVER, "a", 2), None);
}

#[test]
fn token_of_released_is_none() {
    assert_eq!(table("a", true, 0).token_of(SERVER, "a", 1), None);
}

#[test]
fn fencing_token_increases_over_restores() {
    let before = Position::new(Era(1), 5_000_000_000);
    let after = Position::new(Era(2), 1);
    assert!(before.fencing_token() < after.fencing_token());
}

/// The store was restored without the claim: the holder continues until its proof ends and rewrites
/// the claim, and nobody else takes it before every proof of the former era has expired.
#[test]
fn begin_era_holder_continues_and_others_wait() {
    let mut held = table("a", false, 0);
    held.begin_era(Era(2), 9_000, 1_000);
    assert!(held.is_to_be_renewed(SERVER, "a", 8_999));
    assert!(held.token_of(SERVER, "a", 8_999).is_some());
    assert_eq!(held.token_of(SERVER, "a", 9_000), None);
    assert_eq!(held.stored_position(SERVER), Position::missing(Era(2)));
    let entry = HolderEntry::MissingSince(0);
    assert!(!held.may_take(SERVER, "b", entry, &TERMS, 14_499));
    assert!(held.may_take(SERVER, "b", entry, &TERMS, 14_500));
    held.record(
        SERVER,
        &value("a", false, 2),
        Position::new(Era(2), 3),
        2_000,
    );
    assert!(!held.may_take(SERVER, "b", HolderEntry::Listed, &TERMS, 50_000));
    assert!(held.token_of(SERVER, "a", 50_000).is_some());
}

/// The store was restored with an older claim of a box that had since lost the server: that box
/// must not treat it as its own, whether it ran during the restore or starts after it.
#[test]
fn record_claim_of_former_era_is_not_binding() {
    let mut running_before = table("b", false, 0);
    running_before.begin_era(Era(2), 9_000, 1_000);
    running_before.record(
        SERVER,
        &value("a", false, 1),
        Position::new(Era(2), 3),
        1_100,
    );
    assert_eq!(running_before.holder_of(SERVER), Some("b"));
    assert_eq!(running_before.token_of(SERVER, "a", 1_200), None);
    assert_eq!(
        running_before.stored_position(SERVER),
        Position::new(Era(2), 3)
    );
    let mut started = ClaimTable::default();
    started.begin_era(Era(2), 0, 500);
    started.record(SERVER, &value("a", false, 1), Position::new(Era(2), 3), 600);
    assert_eq!(started.token_of(SERVER, "a", 700), None);
    let entry = HolderEntry::Listed;
    assert!(!started.may_take(SERVER, "a", entry, &TERMS, 13_999));
    assert!(started.may_take(SERVER, "a", entry, &TERMS, 14_000));
    started.record_settled(Era(2));
    assert!(started.may_take(SERVER, "a", entry, &TERMS, 700));
}

#[test]
fn record_claim_of_late_answer_is_ignored() {
    let mut table = table("b", false, 0);
    table.begin_era(Era(2), 0, 1_000);
    table.record(SERVER, &value("a", false, 1), at(9), 1_100);
    assert_eq!(table.stored_position(SERVER), Position::missing(Era(2)));
}

#[test]
fn proof_lasts_its_life_from_the_query() {
    let mut proof = Proof::default();
    assert!(!proof.holds(&TERMS, 0));
    proof.renew(1_000);
    proof.renew(500);
    assert!(proof.holds(&TERMS, 10_999));
    assert!(!proof.holds(&TERMS, 11_000));
}

/// The holder renews its proof at arbitrary times while its entry exists; the entry disappears at
/// some moment, which the other box sees at or after that moment. The last order of the holder and
/// the first order of the other box must be separated by the gap, also when the two clocks have
/// different origins.
#[test]
fn may_take_never_within_gap_of_last_order() {
    fn property(
        queries: Vec<u16>,
        missing_after_ms: u16,
        seen_after_ms: u16,
        offset_ms: u16,
    ) -> TestResult {
        let missing_ms = u64::from(missing_after_ms);
        let mut proof = Proof::default();
        for sent_ms in queries.iter().map(|sent_ms| u64::from(*sent_ms)) {
            if sent_ms <= missing_ms {
                proof.renew(sent_ms);
            }
        }
        let last_order_ms = (0..=missing_ms + TERMS.proof_life_ms)
            .rev()
            .step_by(50)
            .find(|now_ms| proof.holds(&TERMS, *now_ms));
        let Some(last_order_ms) = last_order_ms else {
            return TestResult::discard();
        };
        let held = table("holder", false, 0);
        let offset_ms = u64::from(offset_ms);
        let since_ms = missing_ms + u64::from(seen_after_ms) + offset_ms;
        let first_order_ms = (since_ms..)
            .step_by(50)
            .find(|now_ms| {
                let entry = HolderEntry::MissingSince(since_ms);
                held.may_take(SERVER, "taker", entry, &TERMS, *now_ms)
            })
            .unwrap_or_default()
            - offset_ms;
        TestResult::from_bool(first_order_ms >= last_order_ms + TERMS.holder_gap_ms)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<u16>, u16, u16, u16) -> TestResult);
}
