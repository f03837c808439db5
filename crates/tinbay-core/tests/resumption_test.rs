//! Tests of the belief which software version began a stream.

use std::collections::HashSet;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use tinbay_core::resumption::decision::{Knowledge, Origin, UnknownOrigin, decide};
use tinbay_core::resumption::history::{
    ADOPTION_DELAY_MS, HISTORY_MS, MAX_VIEW_AGE_MS, VersionHistory,
};
use tinbay_core::resumption::homes::{HOMES, HomeBox, select_homes};
use tinbay_core::resumption::ledger::{OriginLedger, Recorded, StreamStart};
use tinbay_core::resumption::pace::write_interval_ms;
use tinbay_core::resumption::{attempt_digest, draw};
use tinbay_core::units::Millis;

const SERVICE: u32 = 7;
const OTHER_SERVICE: u32 = 8;
const V1: u32 = 1;
const V2: u32 = 2;

fn start(attempt: u64, version: u32, until_ms: Millis) -> StreamStart {
    StreamStart {
        attempt,
        service: SERVICE,
        version,
        until_ms,
    }
}

fn knowledge(recorded: Recorded, versions: &[u32], is_complete: bool) -> Knowledge {
    Knowledge {
        recorded,
        versions: versions.to_vec(),
        is_complete,
    }
}

fn unknown(cause: UnknownOrigin) -> Origin {
    Origin::Unknown(cause)
}

#[test]
fn is_complete_not_before_a_whole_history_was_watched() {
    let mut history = VersionHistory::default();
    assert!(!history.is_complete(10 * HISTORY_MS));
    history.observe(SERVICE, V1, 1_000);
    history.begin_watch(1_000);
    assert!(!history.is_complete(1_000 + HISTORY_MS - 1));
    assert!(history.is_complete(1_000 + HISTORY_MS));
}

/// A version may have come and gone while the box did not watch the store.
#[test]
fn is_complete_not_after_a_gap_in_the_watch() {
    let mut history = VersionHistory::default();
    history.begin_watch(0);
    history.begin_watch(HISTORY_MS);
    assert!(!history.is_complete(HISTORY_MS + 1));
    assert!(history.is_complete(2 * HISTORY_MS));
}

#[test]
fn versions_gone_version_counts_until_its_streams_have_ended() {
    let mut history = VersionHistory::default();
    history.begin_watch(0);
    history.observe(SERVICE, V1, 500);
    history.observe(OTHER_SERVICE, V2, 500);
    let later_ms = 500 + HISTORY_MS;
    history.observe(SERVICE, V2, later_ms);
    history.tidy(later_ms);
    assert_eq!(history.versions(SERVICE, later_ms), [V1, V2]);
    assert_eq!(history.versions(SERVICE, later_ms + 1), [V2]);
    history.tidy(later_ms + 1);
    assert_eq!(history.versions(SERVICE, later_ms + 1), [V2]);
    assert!(history.versions(OTHER_SERVICE, later_ms + 1).is_empty());
}

/// A box whose view is as old as allowed must know of each version that began a stream.
#[test]
fn is_adopted_version_is_known_to_all_boxes_before_its_first_stream() {
    let mut history = VersionHistory::default();
    history.observe(SERVICE, V1, 0);
    history.begin_watch(0);
    history.observe(SERVICE, V2, 1_000);
    assert!(history.is_adopted(SERVICE, V1, 1_000));
    let known_ms = 1_000 + MAX_VIEW_AGE_MS;
    assert!(!history.is_adopted(SERVICE, V2, known_ms));
    assert!(!history.are_all_adopted(SERVICE, known_ms));
    let adopted_ms = 1_000 + ADOPTION_DELAY_MS;
    history.observe(SERVICE, V2, adopted_ms);
    assert!(history.is_adopted(SERVICE, V2, adopted_ms));
    assert!(history.are_all_adopted(SERVICE, adopted_ms));
}

#[test]
fn is_adopted_version_that_returns_is_new_again() {
    let mut history = VersionHistory::default();
    history.begin_watch(0);
    history.observe(SERVICE, V1, 0);
    let back_ms = 2 * HISTORY_MS;
    history.observe(SERVICE, V1, back_ms);
    assert!(!history.is_adopted(SERVICE, V1, back_ms));
    assert!(history.is_adopted(SERVICE, V1, back_ms + ADOPTION_DELAY_MS));
}

#[test]
fn find_record_lasts_as_long_as_the_caller_waits() {
    let mut ledger = OriginLedger::default();
    ledger.record(start(1, V1, 5_000), 1_000);
    assert_eq!(ledger.find(1, 4_999), (Recorded::Version(V1), 3_999));
    assert_eq!(ledger.find(2, 4_999).0, Recorded::Nothing);
    assert_eq!(ledger.find(1, 5_000).0, Recorded::Nothing);
    ledger.tidy(5_000);
    assert!(ledger.is_empty());
}

#[test]
fn record_two_versions_of_an_attempt_conflict() {
    let mut ledger = OriginLedger::default();
    for (version, expected) in [
        (V1, Recorded::Version(V1)),
        (V1, Recorded::Version(V1)),
        (V2, Recorded::Conflicting),
        (V1, Recorded::Conflicting),
        (V2, Recorded::Conflicting),
    ] {
        ledger.record(start(1, version, 5_000), 0);
        assert_eq!(ledger.find(1, 1).0, expected);
    }
    ledger.mark_unsent(1);
    assert!(ledger.take_unsent(9, |_| true, 1).is_empty());
}

/// Records that became necessary only after their streams began must be sent, each once.
#[test]
fn take_unsent_only_due_ones_and_once() {
    let mut ledger = OriginLedger::default();
    for attempt in 0..5 {
        ledger.record(start(attempt, V1, 5_000), 0);
        ledger.mark_unsent(attempt);
    }
    let never = ledger.take_unsent(9, |service| service == OTHER_SERVICE, 1);
    assert!(never.is_empty());
    assert_eq!(ledger.unsent_services(), HashSet::from([SERVICE]));
    let taken = |ledger: &mut OriginLedger, count| {
        let starts = ledger.take_unsent(count, |_| true, 1);
        let attempts = starts.into_iter().map(|start| start.attempt);
        attempts.collect::<Vec<_>>()
    };
    assert_eq!(taken(&mut ledger, 2), [0, 1]);
    assert_eq!(taken(&mut ledger, 9), [2, 3, 4]);
    assert!(taken(&mut ledger, 9).is_empty());
    assert!(ledger.unsent_services().is_empty());
    ledger.mark_all_unsent();
    assert_eq!(taken(&mut ledger, 9), [4, 3, 2, 1, 0]);
}

#[test]
fn record_full_ledger_drops_the_oldest() {
    let mut ledger = OriginLedger::with_capacity(3);
    for attempt in 0..5 {
        ledger.record(start(attempt, V1, 5_000), attempt);
    }
    let found = (0..5).filter(|attempt| ledger.find(*attempt, 10).0 != Recorded::Nothing);
    assert_eq!(found.collect::<Vec<_>>(), [2, 3, 4]);
}

/// Whatever is recorded when, a ledger stays within its bound and never names a version that was
/// not recorded for the attempt.
#[test]
fn ledger_is_bounded_and_names_only_what_was_recorded() {
    fn property(steps: Vec<(u8, bool, u8, u8)>) -> bool {
        let mut ledger = OriginLedger::with_capacity(8);
        let mut recorded = HashSet::new();
        let mut now_ms = 0;
        for (attempt, is_first, life_ms, pause_ms) in steps {
            let attempt = u64::from(attempt % 16);
            let version = if is_first { V1 } else { V2 };
            now_ms += Millis::from(pause_ms % 8);
            ledger.record(
                start(attempt, version, now_ms + Millis::from(life_ms)),
                now_ms,
            );
            ledger.mark_unsent(attempt);
            recorded.insert((attempt, version));
            if pause_ms % 3 == 0 {
                ledger.tidy(now_ms);
            }
            let is_named = |attempt: u64| match ledger.find(attempt, now_ms).0 {
                Recorded::Nothing => true,
                Recorded::Version(version) => recorded.contains(&(attempt, version)),
                Recorded::Conflicting => {
                    recorded.contains(&(attempt, V1)) && recorded.contains(&(attempt, V2))
                }
            };
            if ledger.len() > 8 || !(0..16).all(is_named) {
                return false;
            }
        }
        ledger.take_unsent(usize::MAX, |_| true, now_ms).len() <= 8
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u8, bool, u8, u8)>) -> bool);
}

#[test]
fn decide_record_counts_even_if_it_is_the_only_one() {
    let known = [
        knowledge(Recorded::Nothing, &[V1, V2], false),
        knowledge(Recorded::Version(V2), &[V1], true),
        knowledge(Recorded::Nothing, &[V1], true),
    ];
    assert_eq!(decide(&known), Origin::Recorded(V2));
}

#[test]
fn decide_conflicting_records_are_refused() {
    let first = knowledge(Recorded::Version(V1), &[V1], true);
    let conflicting = knowledge(Recorded::Conflicting, &[V1], true);
    let second = knowledge(Recorded::Version(V2), &[V1], true);
    for known in [[first.clone(), second], [first, conflicting]] {
        assert_eq!(decide(&known), unknown(UnknownOrigin::Conflicting));
    }
}

#[test]
fn decide_sole_version_needs_a_box_that_saw_the_whole_history() {
    let started_lately = knowledge(Recorded::Nothing, &[V1], false);
    let knows_no_server = knowledge(Recorded::Nothing, &[], true);
    let complete = knowledge(Recorded::Nothing, &[V1], true);
    let uncertain = unknown(UnknownOrigin::Uncertain);
    assert_eq!(decide([]), uncertain);
    assert_eq!(decide([&started_lately]), uncertain);
    assert_eq!(decide([&knows_no_server]), uncertain);
    assert_eq!(decide([&started_lately, &knows_no_server]), uncertain);
    assert_eq!(decide([&started_lately, &complete]), Origin::Sole(V1));
    assert_eq!(decide([&complete]), Origin::Sole(V1));
}

#[derive(Debug, Clone)]
struct AnyKnowledge(Knowledge);

impl Arbitrary for AnyKnowledge {
    fn arbitrary(g: &mut Gen) -> Self {
        let recorded = match u8::arbitrary(g) % 8 {
            0 => Recorded::Version(V1),
            1 => Recorded::Version(V2),
            2 => Recorded::Conflicting,
            _ => Recorded::Nothing,
        };
        let versions: &[u32] = match u8::arbitrary(g) % 5 {
            0 => &[],
            1 => &[V1, V2],
            2 => &[V2],
            _ => &[V1],
        };
        AnyKnowledge(knowledge(recorded, versions, bool::arbitrary(g)))
    }
}

/// Without a record, no stream may be resumed at a version if any box has seen another one, or if
/// no box has seen the whole history; with records, only at the version that all of them name.
#[test]
fn decide_never_guesses() {
    fn property(known: Vec<AnyKnowledge>) -> bool {
        let known: Vec<Knowledge> = known.into_iter().map(|known| known.0).collect();
        let records: HashSet<u32> = known
            .iter()
            .filter_map(|known| match known.recorded {
                Recorded::Version(version) => Some(version),
                _ => None,
            })
            .collect();
        let is_conflicting = known
            .iter()
            .any(|known| known.recorded == Recorded::Conflicting);
        match decide(&known) {
            Origin::Recorded(version) => !is_conflicting && records == HashSet::from([version]),
            Origin::Sole(version) => {
                let seen = known.iter().flat_map(|known| &known.versions);
                let is_certain =
                    |known: &Knowledge| known.is_complete && known.versions == [version];
                records.is_empty()
                    && !is_conflicting
                    && seen.into_iter().all(|seen| *seen == version)
                    && known.iter().any(is_certain)
            }
            Origin::Unknown(_) => is_conflicting || records.len() != 1,
        }
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<AnyKnowledge>) -> bool);
}

fn boxes(ids: &[String]) -> Vec<HomeBox<'_>> {
    let zones = ["z1", "z2", "z3"];
    let boxes = ids.iter().enumerate();
    boxes
        .map(|(number, id)| HomeBox {
            id,
            zone: zones[number % zones.len()],
        })
        .collect()
}

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("box-{number}")).collect()
}

#[test]
fn select_homes_two_zones_where_there_are_two() {
    let ids = ids(9);
    let boxes = boxes(&ids);
    for attempt in 0..100 {
        let homes = select_homes(attempt, &boxes, HOMES);
        let zone = |id: &str| {
            let found = boxes.iter().find(|candidate| candidate.id == id);
            found.map(|found| found.zone)
        };
        assert_eq!(homes.len(), HOMES);
        assert_ne!(zone(homes[0]), zone(homes[1]));
    }
}

#[test]
fn select_homes_small_fleets() {
    let one = [HomeBox {
        id: "a",
        zone: "z1",
    }];
    let same_zone = [
        one[0],
        HomeBox {
            id: "b",
            zone: "z1",
        },
    ];
    assert!(select_homes(1, &[], 2).is_empty());
    assert_eq!(select_homes(1, &one, 2), ["a"]);
    assert_eq!(select_homes(1, &same_zone, 4).len(), 2);
    assert_eq!(select_homes(1, &same_zone, 1).len(), 1);
}

/// After one home has failed, the other one must still be asked.
#[test]
fn select_homes_failed_home_leaves_the_other_among_those_asked() {
    fn property(attempt: u64, count: u8) -> TestResult {
        if count < 2 {
            return TestResult::discard();
        }
        let ids = ids(usize::from(count % 40) + 2);
        let boxes = boxes(&ids);
        let homes = select_homes(attempt, &boxes, HOMES);
        let survives = |failed: &str, other: &str| {
            let up = boxes.iter().filter(|candidate| candidate.id != failed);
            let up: Vec<HomeBox<'_>> = up.copied().collect();
            select_homes(attempt, &up, HOMES).contains(&other)
        };
        TestResult::from_bool(survives(homes[0], homes[1]) && survives(homes[1], homes[0]))
    }
    QuickCheck::new().quickcheck(property as fn(u64, u8) -> TestResult);
}

/// Both attempts of a caller must draw the same service of a route, and the weights must hold.
#[test]
fn draw_is_even_over_attempts() {
    let attempts = (0..10_000).map(|number| attempt_digest(&format!("attempt-{number}")));
    let draws: Vec<f64> = attempts.map(draw).collect();
    assert!(draws.iter().all(|draw| (0.0..1.0).contains(draw)));
    let share = draws.iter().filter(|draw| **draw < 0.1).count() as f64 / draws.len() as f64;
    assert!((0.08..0.12).contains(&share), "{share}");
}

/// A home writes all its records, then those that it has got since.
#[test]
fn latest_at_home_is_without_those_written_before() {
    let mut ledger = OriginLedger::default();
    for attempt in 1..=4 {
        ledger.record(start(attempt, V1, 100), 0);
    }
    for attempt in [1, 2, 4] {
        ledger.mark_at_home(attempt);
        ledger.mark_at_home(attempt);
    }
    assert_eq!(ledger.homed_count(), 3);
    let attempts = |skipped, max_count, now_ms| -> Vec<u64> {
        let starts = ledger.latest_at_home(&[SERVICE], skipped, max_count, now_ms);
        starts.iter().map(|start| start.attempt).collect()
    };
    assert_eq!(attempts(0, 10, 0), [4, 2, 1]);
    assert_eq!(attempts(2, 10, 0), [4]);
    assert_eq!(attempts(0, 1, 0), [4]);
    assert!(attempts(0, 10, 100).is_empty());
    assert!(ledger.latest_at_home(&[OTHER_SERVICE], 0, 10, 0).is_empty());
}

/// Records with conflicting versions must not come back as one of them.
#[test]
fn latest_at_home_leaves_out_conflicting_versions() {
    let mut ledger = OriginLedger::default();
    ledger.record(start(1, V1, 100), 0);
    ledger.mark_at_home(1);
    ledger.record(start(1, V2, 100), 0);
    assert!(ledger.latest_at_home(&[SERVICE], 0, 10, 0).is_empty());
}

/// A version of which only records are left counts as seen, so that no other one is the sole one.
#[test]
fn observe_earlier_makes_a_service_one_of_several_versions() {
    let mut history = VersionHistory::default();
    history.begin_watch(0);
    history.observe(SERVICE, V1, 0);
    assert!(history.services_of_several_versions(0).is_empty());
    history.observe_earlier(SERVICE, V2, 0);
    assert_eq!(history.services_of_several_versions(0), [SERVICE]);
    assert!(history.is_adopted(SERVICE, V2, 0));
    assert!(
        history
            .services_of_several_versions(HISTORY_MS + 1)
            .is_empty()
    );
}

/// However many boxes there are, they spend a bounded share of the store's writes.
#[test]
fn write_interval_grows_with_the_fleet() {
    assert_eq!(write_interval_ms(1, 400.0), 100);
    assert_eq!(write_interval_ms(7, 400.0), 140);
    assert_eq!(write_interval_ms(70, 1_200.0), 466);
    for (boxes, writes_per_s) in [(7, 400.0), (70, 1_200.0), (2_200, 1_200.0)] {
        let interval_ms = write_interval_ms(boxes, writes_per_s) as f64;
        assert!(boxes as f64 * 1_000.0 / interval_ms <= writes_per_s / 7.0);
    }
}
