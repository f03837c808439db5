//! Tests of the scheduler of one engine.

mod common;

use common::{Bench, Fate, ask, model};
use tinbay_core::engine::{
    Command, EngineContents, EngineOwner, EngineShape, Event, OwnerSettings, RefusalReason,
    Scheduler,
};
use tinbay_core::ids::RequestId;

const SHAPE: EngineShape = EngineShape {
    slots: 2,
    batch_limit: 4,
};

fn bench() -> Bench {
    let owner = EngineOwner::new(SHAPE, OwnerSettings::default());
    Bench::new(Box::new(owner), SHAPE)
}

fn ran_at(bench: &Bench, id: u64) -> Option<u64> {
    match bench.fates.get(&RequestId(id)) {
        Some(Fate::Ran { at_ms, .. }) => Some(*at_ms),
        _ => None,
    }
}

#[test]
fn submit_cold_model_loads_then_runs() {
    let mut bench = bench();
    bench.submit(ask(1, 0, true, 0, 1_000));
    bench.run_until(400);
    assert_eq!(bench.loaded, vec![model(0)]);
    assert!(ran_at(&bench, 1).is_some_and(|at_ms| at_ms >= common::LOAD_MS));
    assert_eq!(bench.faults, Vec::<String>::new());
}

#[test]
fn dispatch_urgent_work_goes_before_batch() {
    let mut bench = bench();
    bench.submit(ask(1, 0, false, 0, 60_000));
    bench.run_until(300);
    for id in 10..30 {
        bench.submit(ask(id, 0, false, 300, 60_000));
    }
    bench.submit(ask(99, 0, true, 300, 1_000));
    bench.run_until(2_000);
    let urgent_ms = ran_at(&bench, 99).expect("the urgent request runs");
    let later = (10..30).filter(|id| ran_at(&bench, *id).is_some_and(|at| at >= urgent_ms));
    assert!(
        later.count() >= 15,
        "batch work waits behind the urgent request"
    );
}

// Guards against unloading an adapter in use: the caller's box dies, and the engine may still run
// the request.
#[test]
fn detached_run_keeps_its_adapter_until_the_engine_reports() {
    let mut owner = EngineOwner::new(SHAPE, OwnerSettings::default());
    let loaded = vec![model(0), model(1)];
    let contents = |inherited: Vec<_>| EngineContents {
        loaded: loaded.clone(),
        inherited,
    };
    owner.handle(0, Event::Learnt(contents(Vec::new())));
    owner.handle(0, Event::Submit(ask(1, 0, true, 0, 5_000)));
    owner.handle(0, Event::Submit(ask(2, 1, true, 0, 5_000)));
    owner.handle(10, Event::Detached(RequestId(1)));
    let wanted = owner.handle(20, Event::Submit(ask(3, 2, true, 20, 5_000)));
    let granted = owner.handle(30, Event::LoadGranted(model(2)));
    let unloads = |commands: &[Command]| {
        let unload = |command: &Command| matches!(command, Command::Unload(_));
        commands.iter().any(unload)
    };
    assert!(!unloads(&wanted) && !unloads(&granted), "{granted:?}");
    owner.handle(500, Event::Observed(contents(Vec::new())));
    let mut commands = owner.handle(520, Event::Tick);
    commands.extend(owner.handle(530, Event::LoadGranted(model(2))));
    assert!(
        commands.contains(&Command::Unload(model(0))),
        "{commands:?}"
    );
}

#[test]
fn unload_spares_model_with_urgent_work_waiting() {
    let mut bench = bench();
    for number in 0..2 {
        bench.submit(ask(number as u64, number, true, 0, 5_000));
    }
    bench.run_until(300);
    // Both slots serve urgent work without a pause while batch work waits for a third model.
    bench.submit(ask(50, 2, false, 300, 60_000));
    for step in 0..100 {
        let now_ms = bench.now_ms;
        for number in 0..2 {
            let id = 100 + step * 2 + number as u64;
            bench.submit(ask(id, number, true, now_ms, 5_000));
        }
        bench.run_until(now_ms + 20);
    }
    assert_eq!(bench.faults, Vec::<String>::new());
    assert_eq!(bench.unloads, Vec::new());
}

#[test]
fn drained_slot_reopens_after_the_urgent_request() {
    let mut bench = bench();
    for number in 0..2 {
        bench.submit(ask(number as u64, number, false, 0, 60_000));
    }
    bench.run_until(300);
    // Batch work keeps both slots busy, with a backlog. Then an urgent request for a third model
    // takes one of them.
    for id in 10..40 {
        bench.submit(ask(id, (id % 2) as usize, false, 300, 60_000));
    }
    bench.submit(ask(99, 2, true, 300, 5_000));
    bench.run_until(8_000);
    assert!(ran_at(&bench, 99).is_some(), "the urgent request runs");
    let waiting: Vec<u64> = (10..40)
        .filter(|id| ran_at(&bench, *id).is_none())
        .collect();
    assert_eq!(waiting, Vec::<u64>::new(), "all batch work runs eventually");
    assert_eq!(bench.faults, Vec::<String>::new());
}

#[test]
fn swap_batch_models_all_run() {
    // Five models compete for two slots.
    let mut bench = bench();
    let mut id = 0;
    while bench.now_ms < 10_000 {
        for number in 0..5 {
            id += 1;
            let now_ms = bench.now_ms;
            bench.submit(ask(id, number, number == 0, now_ms, 8_000));
        }
        let next_ms = bench.now_ms + 100;
        bench.run_until(next_ms);
    }
    bench.run_until(30_000);
    let refused = bench
        .fates
        .values()
        .filter(|fate| matches!(fate, Fate::Refused { .. }));
    assert_eq!(refused.count(), 0, "there is capacity for all requests");
    assert_eq!(bench.faults, Vec::<String>::new());
}

#[test]
fn tick_expired_request_is_refused_at_once() {
    let mut bench = bench();
    bench.failing.push(model(7));
    bench.submit(ask(1, 0, false, 0, 60_000));
    bench.run_until(300);
    for id in 10..14 {
        bench.submit(ask(id, 0, true, 300, 10_000));
    }
    bench.submit(ask(99, 0, false, 300, 30));
    bench.run_until(1_000);
    match bench.fates.get(&RequestId(99)) {
        Some(Fate::Refused { at_ms }) => assert!(*at_ms <= 360),
        other => panic!("refused expected, found {other:?}"),
    }
}

#[test]
fn submit_hopeless_deadline_is_refused_at_once() {
    let mut bench = bench();
    bench.submit(ask(1, 0, false, 0, 60_000));
    bench.run_until(300);
    for id in 10..200 {
        bench.submit(ask(id, 0, true, 300, 60_000));
    }
    bench.submit(ask(999, 0, true, 300, 10));
    assert_eq!(
        bench.fates.get(&RequestId(999)),
        Some(&Fate::Refused { at_ms: 300 })
    );
}

#[test]
fn load_failed_refuses_waiting_and_backs_off() {
    let mut bench = bench();
    bench.failing.push(model(0));
    bench.submit(ask(1, 0, true, 0, 5_000));
    bench.run_until(200);
    assert!(matches!(
        bench.fates.get(&RequestId(1)),
        Some(Fate::Refused { .. })
    ));
    bench.submit(ask(2, 0, true, 200, 5_000));
    assert!(matches!(
        bench.fates.get(&RequestId(2)),
        Some(Fate::Refused { .. })
    ));
    bench.failing.clear();
    bench.run_until(5_000);
    bench.submit(ask(3, 0, true, 5_000, 5_000));
    bench.run_until(6_000);
    assert!(
        ran_at(&bench, 3).is_some(),
        "the load is retried after the backoff"
    );
}

#[test]
fn released_owner_refuses_queue_and_dispatches_nothing() {
    let mut owner = EngineOwner::new(SHAPE, OwnerSettings::default());
    owner.handle(0, Event::Learnt(EngineContents::default()));
    owner.handle(0, Event::Submit(ask(1, 0, true, 0, 5_000)));
    let commands = owner.handle(10, Event::Released);
    let refused = Command::Refuse {
        id: RequestId(1),
        reason: RefusalReason::NotOwner,
        retry_after_ms: 0,
    };
    assert!(commands.contains(&refused));
    assert_eq!(
        owner.handle(20, Event::Submit(ask(2, 0, true, 20, 5_000))),
        Vec::new()
    );
}

#[test]
fn learnt_foreign_requests_hold_places_and_slots() {
    let mut owner = EngineOwner::new(SHAPE, OwnerSettings::default());
    owner.handle(
        0,
        Event::Learnt(EngineContents {
            loaded: vec![model(0), model(1)],
            inherited: vec![model(0), model(1), model(0), model(1)],
        }),
    );
    let commands = owner.handle(0, Event::Submit(ask(1, 0, true, 0, 5_000)));
    assert_eq!(
        commands,
        Vec::new(),
        "the batch is full of an earlier owner's requests"
    );
    let commands = owner.handle(0, Event::Submit(ask(2, 2, true, 0, 5_000)));
    let unloads = commands.iter().any(|c| matches!(c, Command::Unload(_)));
    assert!(
        !unloads,
        "models of an earlier owner's requests stay loaded"
    );
    let seen = EngineContents {
        loaded: vec![model(0), model(1)],
        inherited: vec![model(1)],
    };
    let commands = owner.handle(100, Event::Observed(seen));
    assert!(
        commands.iter().any(|c| matches!(
            c,
            Command::Dispatch {
                id: RequestId(1),
                ..
            }
        )),
        "dispatch continues once they have ended"
    );
}

#[test]
fn engine_leaves_refuses_queue_and_new_until_next_run() {
    let mut bench = bench();
    bench.submit(ask(1, 0, true, 0, 5_000));
    bench.run_until(300);
    for id in 10..20 {
        bench.submit(ask(id, 0, true, 300, 5_000));
    }
    bench.give(Event::EngineLeaves);
    bench.submit(ask(30, 0, true, 300, 5_000));
    let refused = bench
        .fates
        .values()
        .filter(|fate| matches!(fate, Fate::Refused { .. }));
    assert_eq!(
        refused.count(),
        7,
        "six of ten requests waiting behind a batch of four, and the new one"
    );
    bench.restart();
    bench.submit(ask(40, 0, true, 300, 5_000));
    bench.run_until(900);
    assert!(ran_at(&bench, 40).is_some());
}

#[test]
fn unload_failed_is_not_ordered_again_at_once() {
    let mut owner = EngineOwner::new(SHAPE, OwnerSettings::default());
    owner.handle(
        0,
        Event::Learnt(EngineContents {
            loaded: vec![model(0), model(1)],
            inherited: Vec::new(),
        }),
    );
    owner.handle(0, Event::Submit(ask(1, 2, true, 0, 60_000)));
    let mut unloads = 0;
    for now_ms in 1..400 {
        let commands = owner.handle(now_ms, Event::LoadGranted(model(2)));
        for command in commands {
            if let Command::Unload(model) = command {
                unloads += 1;
                owner.handle(now_ms, Event::UnloadFailed(model));
            }
        }
    }
    assert!(
        unloads <= 2,
        "one attempt for each of two slots, found {unloads}"
    );
}

#[test]
fn restart_empty_engine_loads_again() {
    let mut bench = bench();
    bench.submit(ask(1, 0, true, 0, 5_000));
    bench.run_until(300);
    bench.restart();
    bench.submit(ask(2, 0, true, bench.now_ms, 5_000));
    bench.run_until(900);
    assert!(ran_at(&bench, 2).is_some());
    assert_eq!(bench.faults, Vec::<String>::new());
}
