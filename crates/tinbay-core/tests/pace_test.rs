//! How fast servers look, and where work goes because of it, in virtual time.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::pace::answer_times::{AnswerTimes, MIN_ANSWERS};
use tinbay_core::pace::slowness::{Slowness, slowed_load};
use tinbay_core::units::Millis;

/// Usual answer time of the service, and its objective.
const USUAL_MS: f64 = 20.0;
const OBJECTIVE_MS: f64 = 100.0;

/// A spell in which one server is slower by that factor.
const SPELL_MS: Millis = 600;
const SPELL_FACTOR: f64 = 2.5;

/// Pause between the requests of one box.
const GAP_MS: Millis = 40;

fn times_of(answers: impl Iterator<Item = f64>) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for took_ms in answers {
        times.note(took_ms, 0);
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
    for part in [0.1, 0.5, 0.95] {
        let told_ms = times.quantile_ms(part).expect("answers enough");
        let true_ms = part * 1_000.0;
        assert!((told_ms / true_ms - 1.0).abs() <= 0.11, "{part}: {told_ms}");
    }
}

#[test]
fn quantile_forgets_what_is_long_past() {
    let mut times = times_of((0..100).map(|_| 500.0));
    for number in 0..100 {
        times.note(10.0, 31_000 + number);
    }
    let told_ms = times.quantile_ms(0.95).expect("answers enough");
    assert!(told_ms <= 11.0, "{told_ms}");
}

#[test]
fn slowness_unknown_is_one() {
    assert_eq!(Slowness::default().factor(5_000), 1.0);
}

#[test]
fn slowness_follows_a_spell_within_some_answers() {
    let mut slowness = Slowness::default();
    for number in 0..3 {
        slowness.note(USUAL_MS, USUAL_MS * SPELL_FACTOR, number * GAP_MS);
    }
    assert!(slowness.factor(3 * GAP_MS) >= 2.0);
}

/// A spell ends unseen where no work goes to the server any more.
#[test]
fn slowness_fades_within_two_seconds() {
    let mut slowness = Slowness::default();
    for number in 0..10 {
        slowness.note(USUAL_MS, USUAL_MS * SPELL_FACTOR, number * GAP_MS);
    }
    assert!(slowness.factor(10 * GAP_MS + 2_000) <= 1.15);
}

#[test]
fn slowness_of_one_wild_answer_is_bounded() {
    let mut slowness = Slowness::default();
    slowness.note(USUAL_MS, 1e9, 0);
    assert!(slowness.factor(0) <= 8.0);
}

#[test]
fn slowed_load_of_servers_alike_is_their_load() {
    assert_eq!(slowed_load(0.7, 0.2, 1.0), 0.7);
}

#[test]
fn slowed_load_of_an_idle_slow_server_is_more_than_of_a_busy_one() {
    let idle = slowed_load(0.0, USUAL_MS / OBJECTIVE_MS, SPELL_FACTOR);
    let busy = slowed_load(1.0 / 6.0, USUAL_MS / OBJECTIVE_MS, 1.0);
    assert!(idle > busy);
}

/// Part of the answers in the objective, with each request sent to the server that counts least
/// busy, or to any.
fn play(is_chosen: bool) -> f64 {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut servers = [Slowness::default(); 4];
    let mut slow_until_ms = [0; 4];
    let (mut in_aim, mut sum) = (0, 0);
    for number in 0..20_000_u64 {
        let now_ms = number * GAP_MS;
        for until_ms in &mut slow_until_ms {
            // A spell of 600 ms in 15% of the time.
            if *until_ms <= now_ms && rng.random_bool(0.012) {
                *until_ms = now_ms + SPELL_MS;
            }
        }
        let load =
            |server: &Slowness| slowed_load(0.0, USUAL_MS / OBJECTIVE_MS, server.factor(now_ms));
        let any = rng.random_range(0..servers.len());
        let best = (0..servers.len())
            .map(|offset| (any + offset) % servers.len())
            .min_by(|left, right| load(&servers[*left]).total_cmp(&load(&servers[*right])))
            .unwrap_or(any);
        let server = if is_chosen { best } else { any };
        let factor = if now_ms < slow_until_ms[server] {
            SPELL_FACTOR
        } else {
            1.0
        };
        let took_ms = factor * rng.random_range(0.5..2.5) * USUAL_MS;
        servers[server].note(USUAL_MS * 1.5, took_ms, now_ms);
        in_aim += u32::from(took_ms <= OBJECTIVE_MS);
        sum += 1;
    }
    f64::from(in_aim) / f64::from(sum)
}

/// Servers are 2.5 times slower for 600 ms in 15% of the time: a box that sees 25 answers a second
/// halves what comes too late.
#[test]
fn play_spells_of_slowness_halves_what_is_late() {
    let (any, chosen) = (play(false), play(true));
    assert!(1.0 - chosen <= 0.5 * (1.0 - any), "{any} {chosen}");
}
