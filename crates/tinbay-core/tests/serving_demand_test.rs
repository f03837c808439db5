//! Who asks for adapters: what a box tells, what a holder counts, where adapters go.

use tinbay_core::serving::asking::Asking;
use tinbay_core::serving::contents::{Holding, Want, adapter_key};
use tinbay_core::serving::ledger::Ledger;
use tinbay_core::serving::placing::{Candidate, Placing};

const HOME: u64 = 1;
const OTHER_HOME: u64 = 2;

fn told(asking: &mut Asking, server: u64, now_ms: u64) -> Vec<(u64, Want)> {
    asking.tell(&|asked| asked == server, now_ms)
}

fn asked(adapter: &str, asked: f64, waiting: f64) -> Want {
    Want {
        adapter: adapter.into(),
        version: None,
        asked,
        waiting,
        is_copy: false,
    }
}

fn counts(ledger: &mut Ledger, now_ms: u64) -> Vec<(String, i64)> {
    let wants = ledger.wants(&[HOME], now_ms);
    wants
        .into_iter()
        .map(|want| (want.adapter, want.asked.round() as i64))
        .collect()
}

#[test]
fn tell_first_only_what_changed_then_all_again() {
    let mut asking = Asking::default();
    assert!(asking.begin(HOME, "m/a", None, true, 0));
    asking.end(adapter_key("m/a"));
    assert_eq!(told(&mut asking, HOME, 10).len(), 1);
    assert!(told(&mut asking, HOME, 20).is_empty());
    assert_eq!(told(&mut asking, HOME, 5_000).len(), 1);
}

#[test]
fn tell_repeats_while_a_request_waits() {
    let mut asking = Asking::default();
    asking.begin(HOME, "m/a", None, true, 0);
    assert_eq!(told(&mut asking, HOME, 10)[0].1.waiting, 1.0);
    assert_eq!(told(&mut asking, HOME, 20)[0].1.waiting, 1.0);
    assert!(told(&mut asking, OTHER_HOME, 20).is_empty());
}

#[test]
fn begin_at_another_home_withdraws_from_the_first() {
    let mut asking = Asking::default();
    asking.begin(HOME, "m/a", None, true, 0);
    told(&mut asking, HOME, 10);
    asking.begin(OTHER_HOME, "m/a", None, true, 20);
    let first = told(&mut asking, HOME, 30);
    assert_eq!((first[0].1.asked, first[0].1.waiting), (0.0, 0.0));
    let second = told(&mut asking, OTHER_HOME, 30);
    assert!(second[0].1.asked > 1.9);
}

#[test]
fn forget_withdraws_what_was_told() {
    let mut asking = Asking::default();
    asking.begin(HOME, "m/a", None, true, 0);
    asking.end(adapter_key("m/a"));
    told(&mut asking, HOME, 10);
    asking.forget(adapter_key("m/a"));
    let last = told(&mut asking, HOME, 20);
    assert_eq!(last.len(), 1);
    assert_eq!(last[0].1.asked, 0.0);
}

#[test]
fn ask_for_copy_lapses() {
    let mut asking = Asking::default();
    asking.ask_for_copy(HOME, Want::of_copy("m/a", None, 5.0), 0);
    assert_eq!(told(&mut asking, HOME, 500).len(), 1);
    assert!(told(&mut asking, HOME, 1_500).is_empty());
}

#[test]
fn wants_sum_over_boxes_most_wanted_first() {
    let mut ledger = Ledger::default();
    ledger.note("box-1", HOME, &asked("m/a", 2.0, 0.0), 0);
    ledger.note("box-1", HOME, &asked("m/b", 3.0, 0.0), 0);
    ledger.note("box-2", HOME, &asked("m/a", 2.0, 0.0), 0);
    let expected = [("m/a".to_string(), 4), ("m/b".to_string(), 3)];
    assert_eq!(counts(&mut ledger, 0), expected);
}

/// A box that starts anew counts from zero; what it told before must not be lost.
#[test]
fn note_from_a_restarted_box_adds() {
    let mut ledger = Ledger::default();
    ledger.note("box-1", HOME, &asked("m/a", 5.0, 0.0), 0);
    ledger.note("box-1", HOME, &asked("m/a", 1.0, 0.0), 100);
    ledger.note("box-1", HOME, &asked("m/a", 2.0, 0.0), 200);
    assert_eq!(counts(&mut ledger, 200), [("m/a".to_string(), 7)]);
}

#[test]
fn note_withdrawn_takes_its_part_away() {
    let mut ledger = Ledger::default();
    ledger.note("box-1", HOME, &asked("m/a", 5.0, 0.0), 0);
    ledger.note("box-2", HOME, &asked("m/a", 1.0, 0.0), 0);
    ledger.note("box-1", HOME, &asked("m/a", 0.0, 0.0), 100);
    assert_eq!(counts(&mut ledger, 100), [("m/a".to_string(), 1)]);
}

#[test]
fn wants_of_a_silent_box_wait_no_longer() {
    let mut ledger = Ledger::default();
    ledger.note("box-1", HOME, &asked("m/a", 1.0, 1.0), 0);
    assert!(ledger.wants(&[HOME], 500)[0].is_awaited());
    assert!(!ledger.wants(&[HOME], 1_500)[0].is_awaited());
}

#[test]
fn remember_adds_what_the_holder_before_counted() {
    let mut before = Ledger::default();
    before.note("box-1", HOME, &asked("m/a", 4.0, 0.0), 0);
    let mut after = Ledger::default();
    after.remember(HOME, &before.memory(HOME, 0), 0);
    assert!(after.wants(&[HOME], 0).is_empty());
    after.note("box-1", HOME, &asked("m/a", 1.0, 0.0), 0);
    assert_eq!(counts(&mut after, 0), [("m/a".to_string(), 5)]);
}

#[test]
fn forget_leaves_nothing() {
    let mut ledger = Ledger::default();
    ledger.note("box-1", HOME, &asked("m/a", 4.0, 1.0), 0);
    ledger.forget(HOME, adapter_key("m/a"));
    assert!(ledger.wants(&[HOME], 0).is_empty());
    assert!(ledger.memory(HOME, 0).is_empty());
}

fn candidate(server: u64, holding: Holding, had: bool, load: f64) -> Candidate {
    Candidate {
        server,
        holding,
        had,
        load,
    }
}

#[test]
fn place_where_it_is_then_where_it_was_then_least_loaded() {
    let mut placing = Placing::default();
    let empty = candidate(1, Holding::None, false, 0.1);
    let had = candidate(2, Holding::None, true, 0.8);
    let holds = candidate(3, Holding::Current, false, 0.9);
    let stale = candidate(4, Holding::Stale, false, 0.0);
    let placed = (7, false);
    assert_eq!(placing.place(placed, &[empty, had, holds, stale]), Some(3));
    assert_eq!(placing.place(placed, &[empty, had, stale]), Some(2));
    assert_eq!(placing.place(placed, &[empty, stale]), Some(1));
    assert_eq!(placing.chosen(placed), Some(1));
    placing.forget(placed);
    assert_eq!(placing.chosen(placed), None);
}

#[test]
fn place_copy_never_where_it_is_held() {
    let mut placing = Placing::default();
    let holds = candidate(1, Holding::Current, false, 0.0);
    let stale = candidate(2, Holding::Stale, false, 0.0);
    assert_eq!(placing.place((7, true), &[holds, stale]), None);
    let empty = candidate(3, Holding::None, false, 0.9);
    assert_eq!(placing.place((7, true), &[holds, stale, empty]), Some(3));
}
