//! Tests of what is believed about the brittleness of servers.

use tinbay_core::serving::brittleness::{Brittleness, BrittlenessReport, of_server};

fn brittle_at(per_s: f64, now_ms: u64) -> Brittleness {
    let mut brittleness = Brittleness::default();
    brittleness.record(Some(per_s), now_ms - 100, now_ms);
    brittleness
}

fn sound_at(now_ms: u64) -> Brittleness {
    let mut brittleness = Brittleness::default();
    brittleness.record(None, now_ms - 10, now_ms);
    brittleness
}

#[test]
fn record_ends_with_an_answer_to_a_later_request_only() {
    let mut brittleness = brittle_at(4.0, 1_000);
    brittleness.record(None, 999, 1_100);
    assert_eq!(brittleness.rejections_per_s(1_100), Some(4.0));
    brittleness.record(None, 1_000, 1_100);
    assert_eq!(brittleness.rejections_per_s(1_100), None);
}

#[test]
fn belief_without_answers_lasts_while_all_servers_may_be_down() {
    let brittleness = brittle_at(4.0, 1_000);
    assert_eq!(brittleness.rejections_per_s(15_999), Some(4.0));
    assert_eq!(brittleness.rejections_per_s(16_000), None);
}

/// Two boxes that pass on to each other what neither has heard from a server for a while must not
/// keep it alive.
#[test]
fn report_passed_to_and_fro_ends() {
    let mut boxes = [brittle_at(4.0, 1_000), Brittleness::default()];
    for now_ms in (1_100..20_000).step_by(100) {
        for (from, to) in [(0, 1), (1, 0)] {
            if let Some(report) = boxes[from].report(now_ms) {
                boxes[to].record_report(report, now_ms);
            }
        }
    }
    let is_brittle = |brittleness: &Brittleness| brittleness.rejections_per_s(20_000).is_some();
    assert!(!boxes.iter().any(is_brittle));
}

#[test]
fn report_carries_since_when_servers_are_brittle() {
    let mut known = Brittleness::default();
    let report = BrittlenessReport {
        rejections_per_s: 3.0,
        known_for_ms: 4_000,
        age_ms: 50,
    };
    assert!(known.record_report(report, 10_000));
    assert!(!known.record_report(report, 10_100), "known already");
    let report = known.report(11_000).expect("it is brittle");
    assert_eq!(report.known_for_ms, 5_000);
}

#[test]
fn server_that_says_it_is_brittle_is_so_whatever_its_service_is() {
    let own = brittle_at(3.0, 1_000);
    let merged = of_server(own, sound_at(2_000), 2_000);
    assert_eq!(merged.rejections_per_s(2_000), Some(3.0));
}

#[test]
fn server_that_said_nothing_is_as_its_service() {
    let merged = of_server(Brittleness::default(), brittle_at(3.0, 1_000), 1_100);
    assert_eq!(merged.rejections_per_s(1_100), Some(3.0));
}

#[test]
fn server_that_is_no_longer_brittle_is_so_until_its_service_is_again() {
    let own = sound_at(2_000);
    let after_others = of_server(own, brittle_at(3.0, 1_000), 2_100);
    assert_eq!(after_others.rejections_per_s(2_100), None);
    let again = of_server(own, brittle_at(3.0, 3_000), 3_100);
    assert_eq!(again.rejections_per_s(3_100), Some(3.0));
}
