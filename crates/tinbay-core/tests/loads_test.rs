//! Tests of the distribution of the weight store's allowance.

use tinbay_core::ids::{EngineId, ModelRef};
use tinbay_core::loads::{Allowance, LoadArbiter, LoadRequest};

fn request(rank: u8, since_ms: u64, number: usize) -> LoadRequest {
    LoadRequest {
        rank,
        since_ms,
        engine: EngineId::new(format!("engine-{number}")),
        model: ModelRef::new(format!("adapter-{number}"), "v1"),
    }
}

fn arbiter() -> LoadArbiter {
    LoadArbiter::new(Allowance {
        loads_per_s: 10.0,
        at_once: 3,
    })
}

#[test]
fn grant_goes_by_rank_then_age() {
    let mut arbiter = arbiter();
    arbiter.ask(request(50, 1, 1));
    arbiter.ask(request(50, 0, 2));
    arbiter.ask(request(0, 9, 3));
    let granted: Vec<LoadRequest> = (0..4).flat_map(|step| arbiter.grant(step * 100)).collect();
    let order: Vec<u8> = granted.iter().map(|request| request.rank).collect();
    let ages: Vec<u64> = granted.iter().map(|request| request.since_ms).collect();
    assert_eq!(order, vec![0, 50, 50]);
    assert_eq!(ages, vec![9, 0, 1]);
}

#[test]
fn grant_never_more_at_once_than_full_speed() {
    let mut arbiter = arbiter();
    for number in 0..10 {
        arbiter.ask(request(0, 0, number));
    }
    let granted = (0..10).map(|step| arbiter.grant(step * 100).len());
    assert_eq!(
        granted.sum::<usize>(),
        3,
        "of ten loads that the rate would allow"
    );
    assert_eq!(
        arbiter.grant(10_000).len(),
        0,
        "three loads are still running"
    );
    let first = request(0, 0, 0);
    arbiter.done(&first.engine, &first.model);
    assert_eq!(arbiter.grant(10_100).len(), 1);
}

#[test]
fn grant_after_a_pause_is_not_ahead_of_the_rate() {
    let mut arbiter = arbiter();
    for number in 0..10 {
        arbiter.ask(request(0, 0, number));
    }
    assert_eq!(
        arbiter.grant(60_000).len(),
        1,
        "the others wait in the arbiter, ordered by rank"
    );
    arbiter.ask(request(0, 60_001, 99));
    arbiter.ask(request(50, 60_001, 98));
    assert_eq!(arbiter.grant(60_050).len(), 0);
    assert_eq!(arbiter.grant(60_100).len(), 1);
}

#[test]
fn grant_keeps_to_the_rate() {
    let mut arbiter = arbiter();
    let mut granted = 0;
    for step in 0..1_000 {
        arbiter.ask(request(0, step, step as usize));
        for request in arbiter.grant(step * 10) {
            arbiter.done(&request.engine, &request.model);
            granted += 1;
        }
    }
    assert!(
        (100..=104).contains(&granted),
        "10 a second for 10 s, found {granted}"
    );
}

#[test]
fn ask_again_with_better_rank_moves_up() {
    let mut arbiter = LoadArbiter::new(Allowance {
        loads_per_s: 1.0,
        at_once: 1,
    });
    arbiter.ask(request(50, 0, 1));
    arbiter.ask(request(40, 0, 2));
    arbiter.ask(request(0, 5, 1));
    let granted = arbiter.grant(5);
    assert_eq!(granted.first().map(|request| request.rank), Some(0));
    assert_eq!(arbiter.waiting(), 1, "one request per target");
}

#[test]
fn permit_of_a_lost_holder_runs_out() {
    let mut arbiter = LoadArbiter::new(Allowance {
        loads_per_s: 10.0,
        at_once: 1,
    });
    arbiter.ask(request(0, 0, 1));
    arbiter.ask(request(0, 0, 2));
    assert_eq!(arbiter.grant(0).len(), 1);
    assert_eq!(arbiter.grant(29_000).len(), 0);
    assert_eq!(arbiter.grant(31_000).len(), 1);
}

// Guards against an adapter that can no longer be loaded: its permit was granted to a box that has
// ended or was frozen, and the next owner of the engine asks for it.
#[test]
fn ask_for_a_load_with_a_permit_may_begin() {
    let mut arbiter = arbiter();
    assert!(!arbiter.ask(request(0, 0, 1)), "it waits for its grant");
    assert_eq!(arbiter.grant(0).len(), 1);
    assert!(arbiter.ask(request(0, 5, 1)));
    assert_eq!(arbiter.waiting(), 0);
    assert_eq!(arbiter.running(), 1, "one permit per target");
    let lost = request(0, 0, 1);
    arbiter.done(&lost.engine, &lost.model);
    assert!(!arbiter.ask(request(0, 9, 1)));
}
