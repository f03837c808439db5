//! Claims on servers: the orders of two holders are always separated by the gap, whatever happens
//! to the store and the clocks.

use std::net::{IpAddr, Ipv4Addr};

use quickcheck::{QuickCheck, TestResult};
use tinbay_core::serving::claims::{
    ClaimTable, ClaimTerms, ClaimValue, HolderEntry, OwnProcess, Proof, RecordOutcome,
};
use tinbay_core::serving::position::{Era, Position};

const TERMS: ClaimTerms = ClaimTerms {
    proof_life_ms: 10_000,
    delivery_ms: 2_000,
    holder_gap_ms: 3_000,
    margin_ms: 500,
};

const SERVER: &str = "s";

/// A position in the era that most tests use.
fn at(revision: u64) -> Position {
    Position::new(Era(1), revision)
}

/// A process on one of several machines.
fn process(id: u64, machine: u8) -> OwnProcess {
    OwnProcess {
        id,
        machine: Some(IpAddr::V4(Ipv4Addr::new(10, 0, 0, machine))),
    }
}

/// A claim that names no process, of the first era.
fn claim(holder: &str) -> ClaimValue {
    ClaimValue {
        holder: holder.into(),
        is_released: false,
        era: Era(1),
        process: 0,
        machine: None,
        continued_token: None,
    }
}

/// A claim of a process in the first era.
fn claim_of(holder: &str, process: OwnProcess) -> ClaimValue {
    ClaimValue {
        process: process.id,
        machine: process.machine,
        ..claim(holder)
    }
}

fn encode(claim: &ClaimValue) -> Vec<u8> {
    serde_json::to_vec(claim).expect("a value")
}

fn value(holder: &str, is_released: bool, era: u64) -> Vec<u8> {
    encode(&ClaimValue {
        is_released,
        era: Era(era),
        ..claim(holder)
    })
}

/// A claim table of a process in the first era, with one claim at revision 7.
fn table_of(own: OwnProcess, claim: &ClaimValue) -> ClaimTable {
    let mut table = ClaimTable::of_process(own);
    table.begin_era(Era(1), 0, 0);
    table.record_settled(Era(1));
    table.record(SERVER, &encode(claim), at(7), 0);
    table
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
fn may_take_after_proof_delivery_gap_and_margin() {
    let held = table("b", false, 0);
    let entry = HolderEntry::MissingSince(1_000);
    assert!(!held.may_take(SERVER, "a", entry, &TERMS, 16_499));
    assert!(held.may_take(SERVER, "a", entry, &TERMS, 16_500));
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
    let own = process(5, 1);
    let mut restarted = table_of(own, &claim_of("a", process(4, 1)));
    assert_eq!(restarted.token_of(SERVER, "a", 10), None);
    assert!(restarted.held_by("a").is_empty());
    assert!(restarted.is_held_by_earlier_process(SERVER, "a"));
    assert!(restarted.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 10));
    assert!(!restarted.may_take(SERVER, "b", HolderEntry::Listed, &TERMS, 10));
    restarted.record(SERVER, &encode(&claim_of("a", own)), at(9), 20);
    assert_eq!(
        restarted.token_of(SERVER, "a", 30),
        Some(at(9).fencing_token())
    );
    assert!(!restarted.is_held_by_earlier_process(SERVER, "a"));
    assert!(!restarted.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 30));
}

/// Guards against a token that rises while orders of the process before may still arrive: where a
/// server checks no fence, a late one follows those of the new process with a lower token.
#[test]
fn claim_of_the_process_before_is_continued_with_its_token() {
    let (before, own) = (process(4, 1), process(5, 1));
    let mut restarted = table_of(own, &claim_of("a", before));
    let token = restarted.continued_token(SERVER, "a", 10);
    assert_eq!(token, Some(at(7).fencing_token()));
    let continued = ClaimValue {
        continued_token: token,
        ..claim_of("a", own)
    };
    restarted.record(SERVER, &encode(&continued), at(9), 20);
    assert_eq!(restarted.token_of(SERVER, "a", 30), token);
    let once_more = table_of(process(6, 1), &continued);
    assert_eq!(once_more.continued_token(SERVER, "a", 10), token);
    assert_eq!(once_more.continued_token(SERVER, "b", 10), None);
}

#[test]
fn claim_that_was_released_is_not_continued() {
    let own = process(5, 1);
    let released = ClaimValue {
        is_released: true,
        ..claim_of("a", own)
    };
    let table = table_of(own, &released);
    assert_eq!(table.continued_token(SERVER, "a", 10), None);
}

/// Guards against a token that rises as a holder writes its claim anew in a restored store.
#[test]
fn claim_renewed_in_a_new_era_keeps_its_token() {
    let own = process(5, 1);
    let mut held = table_of(own, &claim_of("a", own));
    held.begin_era(Era(2), 9_000, 1_000);
    let token = held.continued_token(SERVER, "a", 8_999);
    assert_eq!(token, Some(at(7).fencing_token()));
    assert_eq!(held.continued_token(SERVER, "a", 9_000), None);
    let renewed = ClaimValue {
        era: Era(2),
        continued_token: token,
        ..claim_of("a", own)
    };
    let position = Position::new(Era(2), 3);
    held.record(SERVER, &encode(&renewed), position, 2_000);
    assert_eq!(held.token_of(SERVER, "a", 50_000), token);
    assert!(token < Some(position.fencing_token()), "the next holder's");
}

/// Guards against another machine under the name of a box that takes the box's claims at once, and
/// orders beside it.
#[test]
fn claim_of_another_machine_with_the_same_name_is_taken_as_that_of_another_box() {
    let held = table_of(process(5, 2), &claim_of("a", process(4, 1)));
    assert!(!held.is_held_by_earlier_process(SERVER, "a"));
    assert_eq!(held.continued_token(SERVER, "a", 10), None);
    let entry = HolderEntry::MissingSince(1_000);
    assert!(!held.may_take(SERVER, "a", entry, &TERMS, 16_499));
    assert!(held.may_take(SERVER, "a", entry, &TERMS, 16_500));
    let released = ClaimValue {
        is_released: true,
        ..claim_of("a", process(4, 1))
    };
    let released = table_of(process(5, 2), &released);
    assert!(!released.may_take(SERVER, "a", entry, &TERMS, 3_499));
    assert!(released.may_take(SERVER, "a", entry, &TERMS, 3_500));
}

/// Guards against an unreadable value at the key of a claim that is never replaced: the revision at
/// which it was written was not known.
#[test]
fn record_unreadable_claim_of_an_unknown_holder_is_taken_after_its_last_orders() {
    let mut table = ClaimTable::of_process(process(5, 1));
    table.begin_era(Era(1), 0, 0);
    table.record_settled(Era(1));
    let outcome = table.record(SERVER, b"[]", at(7), 1_000);
    assert_eq!(outcome, RecordOutcome::Unreadable);
    assert_eq!(table.stored_position(SERVER), at(7));
    assert_eq!(table.holder_of(SERVER), None);
    assert_eq!(table.continued_token(SERVER, "a", 1_000), None);
    let entry = HolderEntry::Listed;
    assert!(!table.may_take(SERVER, "a", entry, &TERMS, 16_499));
    assert!(table.may_take(SERVER, "a", entry, &TERMS, 16_500));
    table.record(SERVER, &value("b", false, 1), at(8), 1_100);
    assert_eq!(table.holder_of(SERVER), Some("b"));
}

#[test]
fn record_unreadable_claim_has_the_holder_write_it_again() {
    let own = process(5, 1);
    let mut held = table_of(own, &claim_of("a", own));
    let token = held.token_of(SERVER, "a", 10);
    held.record(SERVER, b"", at(9), 20);
    assert!(held.is_to_be_renewed(SERVER, "a", 30));
    assert_eq!(held.token_of(SERVER, "a", 30), token);
    assert_eq!(held.continued_token(SERVER, "a", 30), token);
    assert_eq!(held.stored_position(SERVER), at(9));
    assert!(!held.may_take(SERVER, "b", HolderEntry::Listed, &TERMS, 50_000));
    held.record(SERVER, &encode(&claim_of("a", own)), at(10), 40);
    assert!(!held.is_to_be_renewed(SERVER, "a", 50));
}

/// Guards against a release of all claims at a planned stop that begins anew with each claim that
/// is being released.
#[test]
fn held_by_leaves_out_what_is_being_released() {
    let own = process(5, 1);
    let mut table = table_of(own, &claim_of("a", own));
    assert_eq!(table.held_by("a"), [SERVER]);
    table.begin_release(SERVER);
    assert!(table.held_by("a").is_empty());
}

/// Guards against a box that takes a claim of its process before from a restored store at once, while
/// another box still orders under a claim that the store has lost.
#[test]
fn claim_of_the_process_before_in_a_restored_store_is_not_taken_at_once() {
    let mut restarted = ClaimTable::of_process(process(5, 1));
    restarted.begin_era(Era(2), 0, 0);
    restarted.record(SERVER, &value("a", false, 1), Position::new(Era(2), 3), 0);
    assert!(!restarted.is_held_by_earlier_process(SERVER, "a"));
    assert!(!restarted.may_take(SERVER, "a", HolderEntry::Listed, &TERMS, 10));
}

/// Boxes of the release before write claims that name no process.
#[test]
fn claim_that_names_no_process_is_of_an_earlier_one() {
    let mut restarted = ClaimTable::of_process(process(5, 1));
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
    assert!(!held.may_take(SERVER, "b", entry, &TERMS, 16_499));
    assert!(held.may_take(SERVER, "b", entry, &TERMS, 16_500));
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
    assert!(!started.may_take(SERVER, "a", entry, &TERMS, 15_999));
    assert!(started.may_take(SERVER, "a", entry, &TERMS, 16_000));
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
/// some moment, which the other box sees at or after that moment. The latest arrival of an order of
/// the holder and the first order of the other box must be separated by the gap, also when the two
/// clocks have different origins.
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
        let last_arrival_ms = last_order_ms + TERMS.delivery_ms;
        TestResult::from_bool(first_order_ms >= last_arrival_ms + TERMS.holder_gap_ms)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<u16>, u16, u16, u16) -> TestResult);
}
