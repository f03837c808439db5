//! Tests of the tracking of silent boxes.

use tinbay_core::ids::{BoxId, Incarnation};
use tinbay_core::silence::Silences;
use tinbay_core::view::BoxRun;

fn run(incarnation: Incarnation) -> BoxRun {
    BoxRun {
        id: BoxId::new("box-1"),
        incarnation,
    }
}

#[test]
fn silent_ms_counts_from_the_last_word() {
    let mut silences = Silences::default();
    silences.note_heard(&run(1), 1_000);
    assert_eq!(silences.silent_ms(&run(1), 1_500), 500);
    silences.note_heard(&run(1), 2_000);
    assert_eq!(silences.silent_ms(&run(1), 2_100), 100);
}

// Guards against declaring a restarted box dead because of the silence of its earlier run.
#[test]
fn silent_ms_of_a_new_run_counts_from_when_it_was_met() {
    let mut silences = Silences::default();
    silences.note_heard(&run(1), 0);
    assert_eq!(silences.silent_ms(&run(2), 3_000), 0);
    assert_eq!(silences.silent_ms(&run(2), 3_400), 400);
}

#[test]
fn silent_ms_of_a_box_never_heard_counts_from_the_first_question() {
    let mut silences = Silences::default();
    assert_eq!(silences.silent_ms(&run(1), 7_000), 0);
    assert_eq!(silences.silent_ms(&run(1), 10_000), 3_000);
}

#[test]
fn silent_ms_of_a_run_that_came_back_counts_from_its_last_word() {
    let mut silences = Silences::default();
    silences.note_heard(&run(1), 1_000);
    silences.forget_before(500);
    assert_eq!(silences.silent_ms(&run(1), 5_000), 4_000);
}

#[test]
fn silent_ms_after_a_box_was_forgotten_begins_anew() {
    let mut silences = Silences::default();
    silences.note_heard(&run(1), 0);
    silences.forget_before(1);
    assert_eq!(silences.silent_ms(&run(1), 5_000), 0);
    silences.forget(&run(1).id);
    assert_eq!(silences.silent_ms(&run(1), 9_000), 0);
}
