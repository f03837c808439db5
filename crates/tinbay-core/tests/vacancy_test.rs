//! Tests of the expected wait for an engine without an owner.

use tinbay_core::ids::{BoxId, EngineId};
use tinbay_core::units::Millis;
use tinbay_core::vacancy::{OwnerLoss, Vacancies, VacancyTerms};
use tinbay_core::view::BoxRun;

const TERMS: VacancyTerms = VacancyTerms {
    detect_ms: 3_000,
    take_over_ms: 500,
};

fn engine() -> EngineId {
    EngineId::new("engine-1")
}

fn run(name: &str) -> BoxRun {
    BoxRun {
        id: BoxId::new(name),
        incarnation: 1,
    }
}

fn note_lost(vacancies: &mut Vacancies, owner: &str, loss: OwnerLoss, now_ms: Millis) {
    vacancies.note_lost(&engine(), Some(&run(owner)), loss, &TERMS, now_ms);
}

#[test]
fn wait_of_an_owned_engine_is_none() {
    let mut vacancies = Vacancies::default();
    assert_eq!(vacancies.wait_ms(&engine(), 0), 0);
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 0);
    vacancies.note_owned(&engine());
    assert_eq!(vacancies.wait_ms(&engine(), 10), 0);
}

// Guards against restarting the expected wait with each request that observes the same loss.
#[test]
fn wait_counts_from_the_first_loss() {
    let mut vacancies = Vacancies::default();
    for now_ms in [0, 100, 2_000, 2_900] {
        note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, now_ms);
    }
    assert_eq!(vacancies.wait_ms(&engine(), 3_000), 500);
}

#[test]
fn wait_is_shorter_once_the_next_owner_answers() {
    let mut vacancies = Vacancies::default();
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 0);
    note_lost(&mut vacancies, "box-1", OwnerLoss::TakingOver, 1_000);
    assert_eq!(vacancies.wait_ms(&engine(), 1_000), 500);
}

#[test]
fn wait_of_an_overdue_takeover_grows() {
    let mut vacancies = Vacancies::default();
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 0);
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 3_400);
    assert_eq!(vacancies.wait_ms(&engine(), 3_500), 100);
    assert_eq!(vacancies.wait_ms(&engine(), 4_500), 1_000);
}

#[test]
fn wait_after_a_loss_long_ago_is_the_usual_one() {
    let mut vacancies = Vacancies::default();
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 0);
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 60_000);
    assert_eq!(vacancies.wait_ms(&engine(), 60_000), 3_500);
}

// Guards against refusing requests after the loss of a second owner within seconds, which must not
// count as the first vacancy being overdue.
#[test]
fn wait_after_the_loss_of_the_next_owner_counts_from_that_loss() {
    let mut vacancies = Vacancies::default();
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 0);
    note_lost(&mut vacancies, "box-2", OwnerLoss::TakingOver, 3_200);
    assert_eq!(vacancies.wait_ms(&engine(), 3_200), 500);
    note_lost(&mut vacancies, "box-2", OwnerLoss::Unreachable, 9_000);
    assert_eq!(vacancies.wait_ms(&engine(), 9_000), 3_500);
    assert_eq!(vacancies.wait_ms(&engine(), 12_000), 500);
}

#[test]
fn wait_after_the_loss_of_a_restarted_owner_counts_from_that_loss() {
    let mut vacancies = Vacancies::default();
    note_lost(&mut vacancies, "box-1", OwnerLoss::Unreachable, 0);
    let restarted = BoxRun {
        incarnation: 2,
        ..run("box-1")
    };
    let loss = OwnerLoss::Unreachable;
    vacancies.note_lost(&engine(), Some(&restarted), loss, &TERMS, 8_000);
    assert_eq!(vacancies.wait_ms(&engine(), 9_000), 2_500);
}
