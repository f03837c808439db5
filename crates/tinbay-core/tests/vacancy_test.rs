//! How long an engine without an owner is expected to stay without one.

use tinbay_core::ids::EngineId;
use tinbay_core::vacancy::{OwnerLoss, Vacancies, VacancyTerms};

const TERMS: VacancyTerms = VacancyTerms {
    detect_ms: 3_000,
    take_over_ms: 500,
};

fn engine() -> EngineId {
    EngineId::new("engine-1")
}

#[test]
fn wait_of_an_owned_engine_is_none() {
    let mut vacancies = Vacancies::default();
    assert_eq!(vacancies.wait_ms(&engine(), 0), 0);
    vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, 0);
    vacancies.note_owned(&engine());
    assert_eq!(vacancies.wait_ms(&engine(), 10), 0);
}

// Each request found the loss anew and expected the whole time of a takeover from then on.
#[test]
fn wait_counts_from_the_first_loss() {
    let mut vacancies = Vacancies::default();
    for now_ms in [0, 100, 2_000, 2_900] {
        vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, now_ms);
    }
    assert_eq!(vacancies.wait_ms(&engine(), 3_000), 500);
}

#[test]
fn wait_is_shorter_once_the_next_owner_answers() {
    let mut vacancies = Vacancies::default();
    vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, 0);
    vacancies.note_lost(&engine(), OwnerLoss::TakingOver, &TERMS, 1_000);
    assert_eq!(vacancies.wait_ms(&engine(), 1_000), 500);
}

#[test]
fn wait_of_an_overdue_takeover_grows() {
    let mut vacancies = Vacancies::default();
    vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, 0);
    vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, 3_400);
    assert_eq!(vacancies.wait_ms(&engine(), 3_500), 100);
    assert_eq!(vacancies.wait_ms(&engine(), 4_500), 1_000);
}

#[test]
fn wait_after_a_loss_long_ago_is_the_usual_one() {
    let mut vacancies = Vacancies::default();
    vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, 0);
    vacancies.note_lost(&engine(), OwnerLoss::Unreachable, &TERMS, 60_000);
    assert_eq!(vacancies.wait_ms(&engine(), 60_000), 3_500);
}
