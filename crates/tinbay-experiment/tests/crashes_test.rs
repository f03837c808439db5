//! Simulated prompt parts that crash servers, in a fleet of many boxes.

use tinbay_experiment::crashes::{CrashCause, CrashParameters, simulate};

fn terms() -> CrashParameters {
    CrashParameters {
        boxes: 74,
        zones: 6,
        servers: 260,
        accounts: 40,
        sessions: 30,
        requests_per_s: 1_500.0,
        crashing_per_s: 10.0,
        warm_up_s: 4,
        seconds: 8,
        lost: 0.01,
        seed: 1,
    }
}

#[test]
fn play_same_seed_gives_the_same() {
    let first = simulate(&terms(), CrashCause::PromptPart).expect("simulation runs");
    let second = simulate(&terms(), CrashCause::PromptPart).expect("simulation runs");
    assert_eq!(first.crashes, second.crashes);
    assert_eq!(first.most_bytes_per_s, second.most_bytes_per_s);
    assert_eq!(first.all_know_after_ms, second.all_know_after_ms);
}

/// No more than three requests reach servers later than three seconds after the fifth crash, and no
/// sound part is refused.
#[test]
fn play_part_that_crashes_servers_is_refused_in_time() {
    for seed in 1..=5 {
        let measures = simulate(&CrashParameters { seed, ..terms() }, CrashCause::PromptPart);
        let measures = measures.expect("simulation runs");
        assert!(measures.crashing > 70);
        assert!(measures.arrived_late <= 3, "seed {seed}: {measures:?}");
        assert!(measures.all_know_after_ms.is_some(), "seed {seed}");
        assert_eq!(measures.sound_sets_refused, 0, "seed {seed}: {measures:?}");
    }
}

/// The servers of a zone end at the same moment, in a fleet that has just started as well.
#[test]
fn play_zone_that_ends_refuses_nothing() {
    let just_started = (3..=20).flat_map(|seed| [(seed, 0), (seed, 1)]);
    for (seed, warm_up_s) in [(1, 4), (2, 1)].into_iter().chain(just_started) {
        let terms = CrashParameters {
            seed,
            warm_up_s,
            ..terms()
        };
        let measures = simulate(&terms, CrashCause::ZoneEnds).expect("simulation runs");
        assert_eq!(measures.sound_refused, 0, "seed {seed}: {measures:?}");
        assert_eq!(measures.sound_sets_refused, 0, "seed {seed}: {measures:?}");
    }
}
