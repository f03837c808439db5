//! Differential test: on random interleavings, the scheduler answers the same requests as the naive
//! one.

mod common;

use common::{Bench, Fate, ask, model};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::engine::{EngineOwner, EngineShape, OwnerSettings, Scheduler};
use tinbay_core::ids::RequestId;
use tinbay_core::naive::NaiveScheduler;

/// Number of interleavings.
const INTERLEAVINGS: u64 = 10_000;

/// Requests per interleaving.
const REQUESTS: u64 = 12;

/// Longer than any request has to wait, so that both schedulers run all of them.
const WAIT_MS: u64 = 60_000;

/// Runs one interleaving. The same seed gives both schedulers the same requests and restarts.
fn run(scheduler: Box<dyn Scheduler>, shape: EngineShape, seed: u64) -> Bench {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut bench = Bench::new(scheduler, shape);
    for id in 0..REQUESTS {
        let pause_ms = rng.random_range(0..80);
        let number = rng.random_range(0..5);
        let urgent = rng.random_bool(0.4);
        let restart = rng.random_bool(0.05);
        let until_ms = bench.now_ms + pause_ms;
        bench.run_until(until_ms);
        if restart {
            bench.restart();
        }
        let now_ms = bench.now_ms;
        bench.submit(ask(id, number, urgent, now_ms, WAIT_MS));
    }
    for _ in 0..8 {
        let until_ms = bench.now_ms + 2_000;
        bench.run_until(until_ms);
        bench.submit_refused_again();
    }
    bench
}

#[test]
fn schedule_random_interleavings_answers_as_naive() {
    for seed in 0..INTERLEAVINGS {
        let shape = EngineShape {
            slots: 1 + (seed % 3) as u32,
            batch_limit: 1 + (seed % 4) as u32,
        };
        let owner = EngineOwner::new(shape, OwnerSettings::default());
        let ours = run(Box::new(owner), shape, seed);
        let naive = run(Box::new(NaiveScheduler::new(shape)), shape, seed);
        assert_eq!(ours.faults, Vec::<String>::new(), "seed {seed}");
        for id in 0..REQUESTS {
            let answer = |bench: &Bench| match bench.fates.get(&RequestId(id)) {
                Some(Fate::Ran { model, .. }) => Some(model.clone()),
                _ => None,
            };
            let (ours, naive) = (answer(&ours), answer(&naive));
            assert!(ours.is_some(), "seed {seed}: request {id} was not answered");
            assert_eq!(ours, naive, "seed {seed}: request {id}");
        }
    }
}

#[test]
fn fake_engine_notices_a_wrong_dispatch() {
    // Shows that the check can fail: it detects a scheduler that dispatches before loading.
    struct Hasty;
    impl Scheduler for Hasty {
        fn handle(
            &mut self,
            _now_ms: u64,
            event: tinbay_core::engine::Event,
        ) -> Vec<tinbay_core::engine::Command> {
            match event {
                tinbay_core::engine::Event::Submit(ask) => {
                    vec![tinbay_core::engine::Command::Dispatch {
                        id: ask.id,
                        stall_ms: 0,
                    }]
                }
                _ => Vec::new(),
            }
        }
        fn queued(&self) -> usize {
            0
        }
        fn running(&self) -> usize {
            0
        }
        fn expected_wait_ms(&self, _now_ms: u64, _rank: u8) -> u64 {
            0
        }
    }
    let shape = EngineShape {
        slots: 1,
        batch_limit: 1,
    };
    let mut bench = Bench::new(Box::new(Hasty), shape);
    bench.submit(ask(1, 0, true, 0, 1_000));
    assert_eq!(
        bench.faults,
        vec![format!("RequestId(1) sent before {} was loaded", model(0))]
    );
}
