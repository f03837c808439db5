//! The weight store's allowance: no window holds more loads than allowed.

use std::collections::BTreeMap;

use quickcheck::QuickCheck;
use tinbay_core::serving::pacing::{LoadBound, LoadQuotaCounter, split_quotas};

const BOUND: LoadBound = LoadBound {
    window_ms: 5_000,
    overshoot: 1.1,
};

const RATE_PER_S: f64 = 9.3;

fn engines(counts: &[usize]) -> BTreeMap<String, usize> {
    counts
        .iter()
        .enumerate()
        .map(|(number, count)| (format!("box-{number}"), *count))
        .collect()
}

#[test]
fn allowed_rounds_down() {
    assert_eq!(BOUND.allowed(RATE_PER_S), 54);
}

#[test]
fn split_quotas_distributes_all_and_no_more() {
    let quotas = split_quotas(54, &engines(&[3, 3, 5, 1, 2, 4]));
    assert_eq!(quotas.values().sum::<usize>(), 54);
    assert_eq!(quotas["box-2"], 15);
}

#[test]
fn split_quotas_without_engines_is_empty() {
    assert!(split_quotas(54, &BTreeMap::new()).is_empty());
}

#[test]
fn split_quotas_sum_is_what_is_allowed() {
    fn property(counts: Vec<u8>) -> bool {
        let counts: Vec<usize> = counts.iter().map(|count| usize::from(count % 20)).collect();
        let quotas = split_quotas(54, &engines(&counts));
        let total: usize = counts.iter().sum();
        let distributed: usize = quotas.values().sum();
        distributed == if total == 0 { 0 } else { 54 }
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// All holders take loads whenever they may, starting at arbitrary times; no window holds more
/// loads than allowed.
#[test]
fn take_never_exceeds_window() {
    fn property(counts: Vec<u8>, starts: Vec<u16>) -> bool {
        let counts: Vec<usize> = counts
            .iter()
            .take(9)
            .map(|count| usize::from(count % 9))
            .collect();
        let quotas = split_quotas(BOUND.allowed(RATE_PER_S), &engines(&counts));
        let mut starts_ms: Vec<u64> = Vec::new();
        for (number, quota) in quotas.values().enumerate() {
            let mut counter = LoadQuotaCounter::default();
            let start_ms = u64::from(starts.get(number).copied().unwrap_or(0));
            for now_ms in (start_ms..start_ms + 20_000).step_by(10) {
                if counter.take(*quota, BOUND.window_ms, now_ms) {
                    starts_ms.push(now_ms);
                }
            }
        }
        starts_ms.sort_unstable();
        let in_window = |start: &u64| {
            starts_ms
                .iter()
                .filter(|time| *time >= start && **time < start + BOUND.window_ms)
                .count()
        };
        starts_ms
            .iter()
            .all(|start| in_window(start) <= BOUND.allowed(RATE_PER_S))
    }
    QuickCheck::new()
        .tests(30)
        .quickcheck(property as fn(Vec<u8>, Vec<u16>) -> bool);
}

/// No part of a quota's increase takes effect while loads that other holders began under it may be
/// in the window, and all of it does a window later.
#[test]
fn take_grown_quota_counts_a_window_later() {
    let mut counter = LoadQuotaCounter::default();
    let taken = |counter: &mut LoadQuotaCounter, quota, from_ms: u64, to_ms: u64| {
        (from_ms..to_ms)
            .step_by(10)
            .filter(|now_ms| counter.take(quota, BOUND.window_ms, *now_ms))
            .count()
    };
    assert_eq!(taken(&mut counter, 2, 0, 5_000), 2);
    assert!(taken(&mut counter, 20, 5_000, 10_250) <= 2);
    assert_eq!(taken(&mut counter, 20, 10_260, 15_000), 20);
}

/// Guards against a holder that restarts and begins as many loads again as it had begun before.
#[test]
fn take_never_exceeds_window_while_a_holder_restarts() {
    const QUOTA: usize = 54;
    const LAST_RESTART_MS: u64 = 35_000;
    let mut starts_ms: Vec<u64> = Vec::new();
    let mut counter = LoadQuotaCounter::default();
    for now_ms in (0..50_000).step_by(10) {
        if now_ms % 7_000 == 0 && (1..=LAST_RESTART_MS).contains(&now_ms) {
            counter = LoadQuotaCounter::after_restart(now_ms);
        }
        if counter.take(QUOTA, BOUND.window_ms, now_ms) {
            starts_ms.push(now_ms);
        }
    }
    let in_window = |start: u64| {
        let window = start..start + BOUND.window_ms;
        starts_ms
            .iter()
            .filter(|time| window.contains(time))
            .count()
    };
    assert!(starts_ms.iter().all(|start| in_window(*start) <= QUOTA));
    assert!(starts_ms.iter().any(|start| *start > LAST_RESTART_MS));
}

/// Engines move between boxes at arbitrary times, and all boxes take loads whenever they may; no
/// window holds more loads than allowed.
#[test]
fn take_never_exceeds_window_when_engines_move() {
    QuickCheck::new()
        .tests(60)
        .quickcheck(holds_window_when_engines_move as fn(Vec<(u8, u8, u8)>, Vec<u8>) -> bool);
}

/// Two moves in quick succession: the second increase of a quota must not count as available since
/// the first.
#[test]
fn take_never_exceeds_window_after_two_moves() {
    assert!(holds_window_when_engines_move(
        vec![(5, 127, 1), (0, 0, 0)],
        vec![109, 1, 27]
    ));
}

fn holds_window_when_engines_move(moves: Vec<(u8, u8, u8)>, starts: Vec<u8>) -> bool {
    const BOXES: usize = 4;
    let mut counts: Vec<usize> = (0..BOXES)
        .map(|number| usize::from(starts.get(number).copied().unwrap_or(3) % 5))
        .collect();
    let mut counters: Vec<LoadQuotaCounter> =
        (0..BOXES).map(|_| LoadQuotaCounter::default()).collect();
    let mut moves = moves.into_iter();
    let mut next_move_ms = 3_000;
    let mut starts_ms: Vec<u64> = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        if now_ms >= next_move_ms
            && let Some((from, to, delay)) = moves.next()
        {
            let (from, to) = (usize::from(from) % BOXES, usize::from(to) % BOXES);
            let moved = counts[from];
            counts[from] = 0;
            if from != to {
                counts[to] += moved;
            }
            next_move_ms = now_ms + 400 + u64::from(delay) * 40;
        }
        let quotas = split_quotas(BOUND.allowed(RATE_PER_S), &engines(&counts));
        for (number, counter) in counters.iter_mut().enumerate() {
            let quota = quotas.get(&format!("box-{number}")).copied().unwrap_or(0);
            if counter.take(quota, BOUND.window_ms, now_ms) {
                starts_ms.push(now_ms);
            }
        }
    }
    let in_window = |start: &u64| {
        starts_ms
            .iter()
            .filter(|time| *time >= start && **time < start + BOUND.window_ms)
            .count()
    };
    starts_ms
        .iter()
        .all(|start| in_window(start) <= BOUND.allowed(RATE_PER_S))
}
