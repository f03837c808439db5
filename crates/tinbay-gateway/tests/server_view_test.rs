//! The view of a server by its holder's status, and the usage reports to the holder.

use std::collections::HashMap;

use tinbay_core::serving::contents::{HeldState, adapter_key};
use tinbay_core::serving::subscribers::ContentsChange;
use tinbay_gateway::servers::usage::Usage;
use tinbay_gateway::servers::view::{ServerStatus, View, ViewEntry};

fn entry(version: u64, state: HeldState) -> ViewEntry {
    ViewEntry {
        version,
        state,
        copies: 1,
    }
}

fn status(entries: &[(u32, ViewEntry)]) -> ServerStatus {
    ServerStatus {
        entries: entries.iter().copied().collect::<HashMap<_, _>>(),
        running_elsewhere: 7,
        delay: 0.5,
        backlog_ms: 300.0,
        failure_penalty: 2.0,
        takes_loads: false,
        load_wait_ms: 250.0,
        is_scarce: true,
    }
}

#[test]
fn apply_status_returns_newly_ready_adapters() {
    let mut view = View::default();
    let loading = entry(1, HeldState::Loading);
    let ready = entry(1, HeldState::Ready);
    let first = view.apply_status(status(&[(4, ready), (5, loading)]), 0);
    assert_eq!((first.ready, first.has_lost_adapter), (vec![4], false));
    let second = view.apply_status(status(&[(4, ready), (5, ready)]), 10);
    assert_eq!((second.ready, second.has_lost_adapter), (vec![5], false));
    let newer = entry(2, HeldState::Ready);
    let third = view.apply_status(status(&[(4, newer), (5, ready)]), 20);
    assert_eq!((third.ready, third.has_lost_adapter), (vec![4], true));
}

#[test]
fn apply_status_returns_lost_adapters() {
    let mut view = View::default();
    let ready = entry(1, HeldState::Ready);
    let loading = entry(1, HeldState::Loading);
    view.apply_status(status(&[(4, ready), (5, ready), (6, loading)]), 0);
    assert!(
        !view
            .apply_status(status(&[(4, ready), (5, ready)]), 10)
            .has_lost_adapter
    );
    assert!(
        view.apply_status(status(&[(4, loading), (5, ready)]), 20)
            .has_lost_adapter
    );
    assert!(view.apply_status(status(&[]), 30).has_lost_adapter);
}

#[test]
fn apply_status_same_status_returns_no_change() {
    let mut view = View::default();
    let entries = [
        (4, entry(1, HeldState::Ready)),
        (5, entry(0, HeldState::Loading)),
    ];
    view.apply_status(status(&entries), 0);
    assert_eq!(
        view.apply_status(status(&entries), 10),
        ContentsChange::default()
    );
}

#[test]
fn status_values_expire_before_contents() {
    let mut view = View::default();
    view.apply_status(status(&[(4, entry(1, HeldState::Ready))]), 1_000);
    assert!(view.is_fresh(1_299) && !view.is_fresh(1_300));
    assert_eq!(view.running_elsewhere(2_999), 7);
    assert!(!view.takes_loads(2_999));
    assert_eq!(view.running_elsewhere(3_000), 0);
    assert!(view.takes_loads(3_000));
    assert_eq!(view.backlog_ms(1_100), 200.0);
    assert!(view.failure_penalty(2_500) < 1.1);
    assert!(view.entry(4).is_some());
}

#[test]
fn is_silent_until_answer_or_retry() {
    let mut view = View::default();
    view.record_request(0);
    view.record_request(50);
    assert!(!view.is_silent(59) && view.is_silent(60));
    assert!(!view.is_silent(1_500));
    view.apply_status(status(&[]), 70);
    assert!(!view.is_silent(80));
}

#[test]
fn take_report_holds_failures_back_until_they_are_verified() {
    let mut usage = Usage::default();
    usage.record_failure(2.0);
    assert_eq!(usage.take_report(0, false).failure_penalty, 0.0);
    assert!(usage.is_due(0), "they are still to be reported");
    assert_eq!(usage.take_report(10, true).failure_penalty, 2.0);
    usage.record_failure(1.0);
    usage.clear_failures();
    assert_eq!(usage.take_report(20, true).failure_penalty, 0.0);
}

#[test]
fn take_report_returns_running_and_newly_begun() {
    let key = adapter_key("m/a");
    let mut usage = Usage::default();
    usage.begin(Some(key), 500);
    usage.begin(Some(key), 700);
    usage.end(Some(key));
    let report = usage.take_report(0, true);
    assert_eq!(report.uses[0].running, 1);
    assert_eq!(report.uses[0].begun, 2);
    assert_eq!(report.uses[0].begun_tokens, 1_200);
    assert_eq!(usage.take_report(10, true).uses[0].begun, 0);
}

#[test]
fn is_due_after_change_or_while_running() {
    let key = adapter_key("m/a");
    let mut usage = Usage::default();
    assert!(!usage.is_due(0));
    usage.begin(Some(key), 1);
    assert!(usage.is_due(0));
    usage.take_report(0, true);
    assert!(!usage.is_due(999) && usage.is_due(1_000));
    usage.end(Some(key));
    assert!(usage.is_due(10));
    usage.take_report(10, true);
    assert!(!usage.is_due(60_000));
    usage.record_failure(2.0);
    assert_eq!(usage.take_report(70_000, true).failure_penalty, 2.0);
}
