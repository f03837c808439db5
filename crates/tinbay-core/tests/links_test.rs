//! Tests of what a box concludes from its links, and of the choice of boxes to forward to.

use quickcheck::quickcheck;
use tinbay_core::links::targets::{Candidate, choose_targets};
use tinbay_core::links::{Link, LinkCounts, heard_since_ms};
use tinbay_core::units::Millis;

const NOW_MS: Millis = 100_000;

fn counts(down: usize, up: usize, idle: usize) -> LinkCounts {
    let mut down_link = Link::default();
    down_link.record_failed(NOW_MS - 300);
    let mut up_link = Link::default();
    up_link.record_heard(NOW_MS - 300);
    let mut counts = LinkCounts::default();
    for (link, number) in [(down_link, down), (up_link, up), (Link::default(), idle)] {
        (0..number).for_each(|_| counts.add(&link, heard_since_ms(NOW_MS, NOW_MS)));
    }
    counts
}

#[test]
fn link_down_stays_down_while_open_connections_carry_bytes() {
    let mut link = Link::default();
    assert!(link.record_failed(1_000));
    assert!(!link.record_failed(1_200), "it was down before");
    link.record_heard(1_300);
    assert!(link.is_down());
    assert!(link.is_down_for(400, 1_400));
    assert!(!link.is_down_for(401, 1_400));
    assert!(link.record_reached(1_500));
    assert!(!link.is_down());
    assert!(!link.record_reached(1_600), "it was up before");
}

#[test]
fn counts_one_failed_server_is_no_partition() {
    assert!(!counts(1, 0, 14).is_partitioned());
    assert!(!counts(1, 1, 0).is_partitioned());
    assert!(!counts(3, 9, 0).is_partitioned());
}

#[test]
fn counts_lost_zone_or_more_is_a_partition() {
    assert!(counts(4, 8, 0).is_partitioned());
    assert!(counts(5, 10, 0).is_partitioned());
    assert!(counts(15, 0, 0).is_partitioned());
    assert!(
        counts(2, 0, 500).is_partitioned(),
        "unused servers say nothing"
    );
}

#[test]
fn counts_servers_that_fail_one_after_another_are_no_partition() {
    let mut counts = counts(0, 2, 0);
    for _ in 0..3 {
        let mut link = Link::default();
        link.record_failed(NOW_MS - 500);
        link.record_server_failed();
        counts.add(&link, heard_since_ms(NOW_MS, NOW_MS));
    }
    let mut next = Link::default();
    next.record_failed(NOW_MS);
    counts.add(&next, heard_since_ms(NOW_MS, NOW_MS));
    assert!(!counts.is_partitioned());
    assert!(!counts.needs_other_box(false));
}

/// Guards against a box with few requests that takes itself for partitioned some time after two
/// servers have failed, as nothing is heard from the others.
#[test]
fn counts_idle_servers_as_up_that_answered_the_last_check() {
    let checked_ms = NOW_MS - 60_000;
    let mut answered = Link::default();
    answered.record_reached(checked_ms + 100);
    let mut failed = Link::default();
    failed.record_failed(checked_ms + 100);
    let mut counts = LinkCounts::default();
    for link in [
        answered, answered, answered, answered, answered, failed, failed,
    ] {
        counts.add(&link, heard_since_ms(checked_ms, NOW_MS));
    }
    assert_eq!((counts.up, counts.down), (5, 2));
    assert!(!counts.is_partitioned());
}

#[test]
fn link_of_a_failed_server_counts_again_after_it_was_reached() {
    let mut link = Link::default();
    link.record_failed(1_000);
    link.record_server_failed();
    link.record_reached(2_000);
    link.record_failed(3_000);
    let mut counts = LinkCounts::default();
    counts.add(&link, heard_since_ms(3_000, 3_000));
    assert_eq!(counts.failed, 0);
}

#[test]
fn counts_service_needs_another_box_when_all_its_links_are_down() {
    assert!(counts(3, 0, 0).needs_other_box(false));
    assert!(!counts(2, 1, 0).needs_other_box(false));
    assert!(counts(2, 1, 0).needs_other_box(true));
    assert!(
        counts(0, 0, 3).needs_other_box(true),
        "none is known to work"
    );
    assert!(!counts(0, 3, 0).needs_other_box(true));
    assert!(!counts(0, 0, 0).needs_other_box(false));
}

fn candidate(id: &str, is_same_zone: bool, has_declined: bool) -> Candidate<'_> {
    Candidate {
        id,
        is_same_zone,
        capacity: 100,
        has_declined,
    }
}

#[test]
fn targets_are_of_the_own_zone_first() {
    let candidates = [
        candidate("a", true, false),
        candidate("b", false, false),
        candidate("c", false, false),
        candidate("d", false, false),
    ];
    let targets = choose_targets("own", &candidates, || 0.5);
    assert_eq!(targets.len(), 3);
    assert_eq!(targets[0], "a");
}

#[test]
fn targets_are_of_all_zones_once_half_of_the_own_zone_declined() {
    let candidates = [
        candidate("a", true, false),
        candidate("b", true, true),
        candidate("c", false, false),
    ];
    let mut draws = [0.1, 0.9].into_iter();
    let targets = choose_targets("own", &candidates, || draws.next().expect("a draw"));
    assert_eq!(targets, ["c", "a"]);
}

#[test]
fn targets_are_none_if_all_declined() {
    let candidates = [candidate("a", true, true), candidate("b", false, true)];
    assert!(choose_targets("own", &candidates, || 0.5).is_empty());
}

quickcheck! {
    fn targets_of_a_large_fleet_are_few_and_stable(box_count: u16, draws: Vec<u8>) -> bool {
        let ids: Vec<String> = (0..box_count % 500).map(|number| format!("box-{number}")).collect();
        let candidates: Vec<Candidate<'_>> = ids
            .iter()
            .enumerate()
            .map(|(number, id)| candidate(id, number % 3 == 0, false))
            .collect();
        let mut seen: Vec<&str> = Vec::new();
        for draw in draws {
            let mut draw = f64::from(draw) / 256.0;
            let targets = choose_targets("own", &candidates, || {
                draw = (draw + 0.37) % 1.0;
                draw
            });
            seen.extend(targets);
        }
        seen.sort_unstable();
        seen.dedup();
        seen.len() <= 8
    }
}
