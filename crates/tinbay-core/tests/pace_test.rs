//! Response times and slowness of servers, and how they affect the choice of a server, in virtual
//! time.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::pace::answer_times::{MIN_ANSWERS, ResponseTimes};
use tinbay_core::pace::slowness::{Slowness, slowed_load};
use tinbay_core::units::Millis;

/// Usual response time of the service, and its objective.
const USUAL_MS: f64 = 20.0;
const OBJECTIVE_MS: f64 = 100.0;

/// Duration of a slow period of one server, and the factor by which it is slower.
const SLOW_PERIOD_MS: Millis = 600;
const SLOW_FACTOR: f64 = 2.5;

/// Interval between the requests of one box.
const REQUEST_INTERVAL_MS: Millis = 40;

fn times_of(answers: impl Iterator<Item = f64>) -> ResponseTimes {
    let mut times = ResponseTimes::default();
    for took_ms in answers {
        times.record(took_ms, 0);
    }
    times
}

#[test]
fn quantile_of_few_answers_is_unknown() {
    let times = times_of((1..MIN_ANSWERS).map(f64::from));
    assert_eq!(times.quantile_ms(0.5), None);
}

#[test]
fn quantile_is_near_the_true_one() {
    let times = times_of((1..=1_000).map(f64::from));
    for quantile in [0.1, 0.5, 0.95] {
        let observed_ms = times.quantile_ms(quantile).expect("enough answers");
        let true_ms = quantile * 1_000.0;
        assert!(
            (observed_ms / true_ms - 1.0).abs() <= 0.11,
            "{quantile}: {observed_ms}"
        );
    }
}

#[test]
fn quantile_drops_answers_before_the_window() {
    let mut times = times_of((0..100).map(|_| 500.0));
    for number in 0..100 {
        times.record(10.0, 31_000 + number);
    }
    let observed_ms = times.quantile_ms(0.95).expect("enough answers");
    assert!(observed_ms <= 11.0, "{observed_ms}");
}

#[test]
fn slowness_unknown_is_one() {
    assert_eq!(Slowness::default().factor(5_000), 1.0);
}

#[test]
fn slowness_follows_a_slow_period_within_some_answers() {
    let mut slowness = Slowness::default();
    for number in 0..3 {
        slowness.record(
            USUAL_MS,
            USUAL_MS * SLOW_FACTOR,
            number * REQUEST_INTERVAL_MS,
        );
    }
    assert!(slowness.factor(3 * REQUEST_INTERVAL_MS) >= 2.0);
}

/// The end of a slow period is not observed where the server gets no more requests.
#[test]
fn slowness_fades_within_two_seconds() {
    let mut slowness = Slowness::default();
    for number in 0..10 {
        slowness.record(
            USUAL_MS,
            USUAL_MS * SLOW_FACTOR,
            number * REQUEST_INTERVAL_MS,
        );
    }
    assert!(slowness.factor(10 * REQUEST_INTERVAL_MS + 2_000) <= 1.15);
}

#[test]
fn slowness_of_one_outlier_is_bounded() {
    let mut slowness = Slowness::default();
    slowness.record(USUAL_MS, 1e9, 0);
    assert!(slowness.factor(0) <= 8.0);
}

#[test]
fn slowed_load_without_slowness_is_the_load() {
    assert_eq!(slowed_load(0.7, 0.2, 1.0), 0.7);
}

#[test]
fn slowed_load_of_an_idle_slow_server_is_more_than_of_a_busy_one() {
    let idle = slowed_load(0.0, USUAL_MS / OBJECTIVE_MS, SLOW_FACTOR);
    let busy = slowed_load(1.0 / 6.0, USUAL_MS / OBJECTIVE_MS, 1.0);
    assert!(idle > busy);
}

/// Fraction of answers within the objective, with each request sent either to the least loaded
/// server or to a random one.
fn fraction_in_time(chooses_least_loaded: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut servers = [Slowness::default(); 4];
    let mut slow_until_ms = [0; 4];
    let (mut in_time, mut sum) = (0, 0);
    for number in 0..20_000_u64 {
        let now_ms = number * REQUEST_INTERVAL_MS;
        for until_ms in &mut slow_until_ms {
            // Slow periods of 600 ms in 15% of the time.
            if *until_ms <= now_ms && rng.random_bool(0.012) {
                *until_ms = now_ms + SLOW_PERIOD_MS;
            }
        }
        let load =
            |server: &Slowness| slowed_load(0.0, USUAL_MS / OBJECTIVE_MS, server.factor(now_ms));
        let any = rng.random_range(0..servers.len());
        let best = (0..servers.len())
            .map(|offset| (any + offset) % servers.len())
            .min_by(|left, right| load(&servers[*left]).total_cmp(&load(&servers[*right])))
            .unwrap_or(any);
        let server = if chooses_least_loaded { best } else { any };
        let factor = if now_ms < slow_until_ms[server] {
            SLOW_FACTOR
        } else {
            1.0
        };
        let took_ms = factor * rng.random_range(0.5..2.5) * USUAL_MS;
        servers[server].record(USUAL_MS * 1.5, took_ms, now_ms);
        in_time += u32::from(took_ms <= OBJECTIVE_MS);
        sum += 1;
    }
    f64::from(in_time) / f64::from(sum)
}

/// Servers are 2.5 times slower for 600 ms in 15% of the time: with 25 answers per second, choosing
/// the least loaded server must halve the late answers.
#[test]
fn choosing_by_slowness_halves_late_answers() {
    let (random, chosen) = (fraction_in_time(false), fraction_in_time(true));
    assert!(1.0 - chosen <= 0.5 * (1.0 - random), "{random} {chosen}");
}
