//! The budget of extra attempts, over all boxes.

use quickcheck::QuickCheck;
use tinbay_core::serving::budget::{AttemptBudget, BudgetTerms};
use tinbay_core::units::Millis;

const TERMS: BudgetTerms = BudgetTerms {
    ratio: 0.2,
    extra: 52.0,
    window_ms: 10_000,
};

/// A time after which a box has earned all that it can save up.
const LATER_MS: Millis = 100_000;

/// Interval at which boxes of a simulated fleet send requests.
const STEP_MS: Millis = 100;

const STEPS: usize = 400;

const MAX_BOXES: usize = 8;

/// Time after its start when a box has read a current list of boxes.
const LISTED_AFTER_MS: Millis = 300;

/// Time after its start until when the others may be missing there, as they have just started, too.
const COMPLETE_AFTER_MS: Millis = 600;

/// Boxes that count on their own never make more extra attempts in total than allowed.
#[test]
fn take_retry_within_terms_over_all_boxes() {
    fn property(boxes: u8, first_attempts: Vec<u16>) -> bool {
        let boxes = usize::from(boxes % 9) + 1;
        let mut taken = 0;
        let mut first_count = 0;
        for _ in 0..boxes {
            let mut budget = AttemptBudget::new(0);
            let mut times: Vec<u64> = first_attempts
                .iter()
                .map(|time| u64::from(time % 5_000))
                .collect();
            times.sort_unstable();
            for time in &times {
                budget.record_first_attempt(&TERMS, Some(boxes), *time);
                first_count += 1;
            }
            taken += (0..100)
                .filter(|_| budget.take_retry(&TERMS, Some(boxes), 5_000))
                .count();
        }
        taken as f64 <= TERMS.ratio * f64::from(first_count) + TERMS.extra
    }
    QuickCheck::new().quickcheck(property as fn(u8, Vec<u16>) -> bool);
}

/// A box of a simulated fleet.
struct SimulatedBox {
    budget: AttemptBudget,
    started_ms: Millis,
    is_gone: bool,
}

impl SimulatedBox {
    fn started_at(started_ms: Millis) -> Self {
        Self {
            budget: AttemptBudget::new(started_ms),
            started_ms,
            is_gone: false,
        }
    }
}

/// First and extra attempts of a simulated fleet, by step.
#[derive(Default)]
struct Attempts {
    first: Vec<usize>,
    extra: Vec<usize>,
}

impl Attempts {
    /// Whether the extra attempts are within the terms in each window; first attempts count in the
    /// window, in the one before it or in the one half a window before it, whichever has the most.
    fn are_within_terms(&self) -> bool {
        let window = (TERMS.window_ms / STEP_MS) as usize;
        (0..self.extra.len()).all(|from| {
            let starts = [0, window / 2, window].map(|shift| from.checked_sub(shift));
            let firsts = starts.into_iter().flatten();
            let first = firsts.map(|from| sum(&self.first, from, window)).max();
            let first = first.unwrap_or_default() as f64;
            sum(&self.extra, from, window) as f64 <= TERMS.ratio * first + TERMS.extra
        })
    }
}

fn sum(counts: &[usize], from: usize, steps: usize) -> usize {
    counts.iter().skip(from).take(steps).sum()
}

/// Plays a fleet whose boxes retry as much as they may, and restart or end for good.
fn play_fleet(boxes: usize, requests_per_step: usize, faults: &[(u8, u16, bool)]) -> Attempts {
    let mut fleet: Vec<SimulatedBox> = Vec::new();
    fleet.resize_with(boxes, || SimulatedBox::started_at(0));
    let mut attempts = Attempts::default();
    for step in 0..STEPS {
        let now_ms = step as Millis * STEP_MS;
        let due = faults
            .iter()
            .filter(|(_, at, _)| usize::from(*at) % STEPS == step);
        for (number, _, ends) in due {
            fleet[usize::from(*number) % boxes] = SimulatedBox {
                is_gone: *ends,
                ..SimulatedBox::started_at(now_ms)
            };
        }
        let running = fleet.iter().filter(|simulated| !simulated.is_gone).count();
        let (mut first, mut extra) = (0, 0);
        for simulated in fleet.iter_mut().filter(|simulated| !simulated.is_gone) {
            let counted = match now_ms - simulated.started_ms {
                ..LISTED_AFTER_MS => None,
                LISTED_AFTER_MS..COMPLETE_AFTER_MS => Some(1),
                COMPLETE_AFTER_MS.. => Some(running),
            };
            for _ in 0..requests_per_step {
                let budget = &mut simulated.budget;
                budget.record_first_attempt(&TERMS, counted, now_ms);
            }
            first += requests_per_step;
            while simulated.budget.take_retry(&TERMS, counted, now_ms) {
                extra += 1;
            }
        }
        attempts.first.push(first);
        attempts.extra.push(extra);
    }
    attempts
}

/// Guards against boxes that restart and spend again what the process before has spent: 270 extra
/// attempts where 148 were allowed.
#[test]
fn take_retry_within_terms_while_boxes_restart_and_end() {
    fn property(boxes: u8, requests_per_step: u8, faults: Vec<(u8, u16, bool)>) -> bool {
        let boxes = usize::from(boxes) % MAX_BOXES + 1;
        let requests_per_step = usize::from(requests_per_step) % 4;
        play_fleet(boxes, requests_per_step, &faults).are_within_terms()
    }
    QuickCheck::new().quickcheck(property as fn(u8, u8, Vec<(u8, u16, bool)>) -> bool);
}

/// All boxes restart every second, which random faults hardly ever do.
#[test]
fn take_retry_within_terms_while_all_boxes_restart_in_series() {
    for boxes in 1..=MAX_BOXES {
        let restart =
            |step: usize| (0..boxes).map(move |number| (number as u8, step as u16, false));
        let faults: Vec<_> = (0..STEPS).step_by(10).flat_map(restart).collect();
        for requests_per_step in 0..4 {
            let attempts = play_fleet(boxes, requests_per_step, &faults);
            assert!(attempts.are_within_terms(), "{boxes} boxes");
        }
    }
}

/// Guards against a box that takes the fixed allowance of all boxes before it knows how many there
/// are.
#[test]
fn take_retry_earns_nothing_while_the_boxes_are_not_known() {
    let mut budget = AttemptBudget::new(0);
    budget.record_first_attempt(&TERMS, None, 0);
    assert!(!budget.take_retry(&TERMS, None, LATER_MS));
    assert!(!budget.take_retry(&TERMS, Some(1), LATER_MS));
    assert!(budget.take_retry(&TERMS, Some(1), 2 * LATER_MS));
}

/// Guards against memory that grows with each request to a service that needs no retry.
#[test]
fn first_attempts_are_kept_for_one_window_without_any_retry() {
    let mut budget = AttemptBudget::new(0);
    for now_ms in 0..100_000 {
        budget.record_first_attempt(&TERMS, Some(1), now_ms);
    }
    assert!(budget.first_attempts() as u64 <= TERMS.window_ms + 1);
}

/// A box that has run for long without requests for a service can retry the first ones.
#[test]
fn take_retry_of_a_process_that_runs_for_long_needs_no_first_attempts() {
    let mut budget = AttemptBudget::new(0);
    assert!(!budget.take_retry(&TERMS, Some(7), 5));
    let mut budget = AttemptBudget::new(0);
    assert!(budget.take_retry(&TERMS, Some(7), LATER_MS));
}

#[test]
fn take_retry_is_allowed_again_after_the_window() {
    let mut budget = AttemptBudget::new(0);
    let taken = (0..100)
        .filter(|_| budget.take_retry(&TERMS, Some(1), LATER_MS))
        .count();
    assert!(taken > 0);
    assert!(!budget.take_retry(&TERMS, Some(1), LATER_MS));
    assert!(budget.take_retry(&TERMS, Some(1), LATER_MS + TERMS.window_ms + 1));
}
