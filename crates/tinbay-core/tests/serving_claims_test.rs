//! Claims on servers: never two holders within the gap, whatever the store and clocks do.

use quickcheck::{QuickCheck, TestResult};
use tinbay_core::serving::claims::{
    Claim, ClaimTable, ClaimTerms, ClaimValue, HolderEntry, Proof, may_take,
};

const TERMS: ClaimTerms = ClaimTerms {
    proof_life_ms: 10_000,
    holder_gap_ms: 3_000,
    margin_ms: 500,
};

fn claim(holder: &str, is_released: bool, seen_ms: u64) -> Claim {
    Claim {
        value: ClaimValue {
            holder: holder.into(),
            is_released,
        },
        token: 7,
        seen_ms,
    }
}

#[test]
fn may_take_unclaimed() {
    assert!(may_take(None, "a", HolderEntry::Listed, &TERMS, 0));
}

#[test]
fn may_take_not_from_listed_holder() {
    let held = claim("b", false, 0);
    assert!(!may_take(
        Some(&held),
        "a",
        HolderEntry::Listed,
        &TERMS,
        1_000_000
    ));
}

#[test]
fn may_take_after_proof_gap_and_margin() {
    let held = claim("b", false, 0);
    let entry = HolderEntry::MissingSince(1_000);
    assert!(!may_take(Some(&held), "a", entry, &TERMS, 14_499));
    assert!(may_take(Some(&held), "a", entry, &TERMS, 14_500));
}

#[test]
fn may_take_released_after_gap() {
    let released = claim("b", true, 1_000);
    assert!(!may_take(
        Some(&released),
        "a",
        HolderEntry::Listed,
        &TERMS,
        4_499
    ));
    assert!(may_take(
        Some(&released),
        "a",
        HolderEntry::Listed,
        &TERMS,
        4_500
    ));
}

#[test]
fn may_take_own_released_at_once() {
    let released = claim("a", true, 1_000);
    assert!(may_take(
        Some(&released),
        "a",
        HolderEntry::Listed,
        &TERMS,
        1_001
    ));
}

#[test]
fn note_passes_over_older_revision() {
    let mut table = ClaimTable::default();
    table.note("s", br#"{"holder":"b","is_released":false}"#, 9, 0);
    table.note("s", br#"{"holder":"a","is_released":false}"#, 8, 1);
    assert_eq!(table.token_of("s", "b"), Some(9));
    assert_eq!(table.token_of("s", "a"), None);
}

#[test]
fn token_of_released_is_none() {
    let mut table = ClaimTable::default();
    table.note("s", br#"{"holder":"a","is_released":true}"#, 9, 0);
    assert_eq!(table.token_of("s", "a"), None);
}

#[test]
fn proof_lasts_its_life_from_the_question() {
    let mut proof = Proof::default();
    assert!(!proof.holds(&TERMS, 0));
    proof.renew(1_000);
    proof.renew(500);
    assert!(proof.holds(&TERMS, 10_999));
    assert!(!proof.holds(&TERMS, 11_000));
}

/// The holder asks at any times while its entry stands; the entry goes at some moment; the
/// taker sees that at or after it. Then the last order of the holder and the first of the
/// taker lie the gap apart, also when the two clocks start at different moments.
#[test]
fn may_take_never_within_gap_of_last_order() {
    fn property(questions: Vec<u16>, gone_after: u16, seen_later: u16, offset: u16) -> TestResult {
        let gone_ms = u64::from(gone_after);
        let mut proof = Proof::default();
        for asked in questions.iter().map(|asked| u64::from(*asked)) {
            if asked <= gone_ms {
                proof.renew(asked);
            }
        }
        let last_order_ms = (0..=gone_ms + TERMS.proof_life_ms)
            .rev()
            .step_by(50)
            .find(|now_ms| proof.holds(&TERMS, *now_ms));
        let Some(last_order_ms) = last_order_ms else {
            return TestResult::discard();
        };
        let held = claim("holder", false, 0);
        let offset_ms = u64::from(offset);
        let since_ms = gone_ms + u64::from(seen_later) + offset_ms;
        let first_order_ms = (since_ms..)
            .step_by(50)
            .find(|now_ms| {
                let entry = HolderEntry::MissingSince(since_ms);
                may_take(Some(&held), "taker", entry, &TERMS, *now_ms)
            })
            .unwrap_or_default()
            - offset_ms;
        TestResult::from_bool(first_order_ms >= last_order_ms + TERMS.holder_gap_ms)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<u16>, u16, u16, u16) -> TestResult);
}
