//! Tests of a client account's limit over many boxes, on virtual time.

use quickcheck::QuickCheck;
use tinbay_core::limits::home::{DealTerms, LimitHome, UnitRequest};
use tinbay_core::limits::share::{LimitShare, ShareTerms};
use tinbay_core::limits::terms::{Limit, LimitTerms};
use tinbay_core::units::Millis;

/// Window over which the limit applies, and the fraction by which it may be exceeded.
const WINDOW_MS: Millis = 8_000;
const OVERSHOOT: f64 = 0.1;

const LIMIT: Limit = Limit {
    per_s: 60_000.0,
    burst: 60_000.0,
};

/// Cost of a request: 661 tokens, and 9,240 for one in 30.
fn cost_of(number: u64) -> f64 {
    if number.is_multiple_of(30) {
        9_240.0
    } else {
        661.0
    }
}

/// Units by which all boxes together may overdraw their shares.
const OVERDRAFT: f64 = 70_000.0;

fn share_terms(boxes: usize) -> ShareTerms {
    ShareTerms {
        limit_terms: LimitTerms::of_account(LIMIT, OVERDRAFT),
        boxes,
    }
}

fn grant_terms(limit: Limit, reached: f64, boxes: usize) -> DealTerms {
    DealTerms {
        limit_terms: LimitTerms::of_account(limit, OVERDRAFT),
        reached,
        boxes,
    }
}

fn needs(needed: f64) -> UnitRequest {
    let ahead = 0.0;
    UnitRequest { needed, ahead }
}

/// Admitted units by time.
#[derive(Default)]
struct Admitted(Vec<(Millis, f64)>);

impl Admitted {
    fn record(&mut self, units: f64, now_ms: Millis) {
        self.0.push((now_ms, units));
    }

    fn total(&self) -> f64 {
        self.0.iter().map(|(_, units)| units).sum()
    }

    /// Maximum of the units in any window.
    fn window_max(&self) -> f64 {
        let (mut max, mut sum, mut first) = (0.0_f64, 0.0, 0);
        for (at_ms, units) in &self.0 {
            sum += units;
            while self.0[first].0 + WINDOW_MS <= *at_ms {
                sum -= self.0[first].1;
                first += 1;
            }
            max = max.max(sum);
        }
        max
    }
}

/// The bound on the units of any window, plus `slack`.
fn allowed(limit: Limit, slack: f64) -> f64 {
    let window_s = WINDOW_MS as f64 / 1_000.0;
    (limit.per_s * window_s + limit.burst) * (1.0 + OVERSHOOT) + slack
}

/// Boxes that admit requests of one account, with one home, or two that each reach a part of them.
struct Fleet {
    boxes: Vec<LimitShare>,
    homes: Vec<LimitHome>,
}

impl Fleet {
    fn new(boxes: usize) -> Self {
        Self {
            boxes: vec![LimitShare::new(0); boxes],
            homes: vec![LimitHome::new(0); 2],
        }
    }

    /// Handles a request at a box that reaches one of the homes, or none. Returns whether it was
    /// admitted.
    fn admit(&mut self, at: usize, home: Option<(usize, f64)>, units: f64, now_ms: Millis) -> bool {
        let count = self.boxes.len();
        let share = &mut self.boxes[at];
        if share.take_given(units, now_ms) {
            return true;
        }
        let Some((home, reached)) = home else {
            return share.take_share(share_terms(count), units, now_ms).is_ok();
        };
        let request = UnitRequest {
            needed: units,
            ahead: share.ahead(now_ms),
        };
        let grant = self.homes[home].deal(grant_terms(LIMIT, reached, count), request, now_ms);
        share.note_given(grant.units, now_ms);
        if grant.retry_after_ms.is_some() {
            share.note_denied(now_ms);
            return false;
        }
        share.take_given(units, now_ms)
    }
}

/// Six times the limit at 74 boxes for 20 s: the admitted units stay within the limit and use
/// nearly all of it.
#[test]
fn deal_one_account_asks_six_times_its_limit() {
    let mut fleet = Fleet::new(74);
    let mut admitted = Admitted::default();
    let gap_ms = 661.0 / (6.0 * LIMIT.per_s) * 1_000.0;
    let mut number = 0;
    let mut at_ms = 0.0;
    while at_ms < 20_000.0 {
        let units = cost_of(number);
        let now_ms = at_ms as Millis;
        if fleet.admit(number as usize * 31 % 74, Some((0, 1.0)), units, now_ms) {
            admitted.record(units, now_ms);
        }
        number += 1;
        at_ms += gap_ms;
    }
    assert!(
        admitted.window_max() <= allowed(LIMIT, 0.0),
        "{}",
        admitted.window_max()
    );
    assert!(
        admitted.total() >= 0.97 * 20.0 * LIMIT.per_s,
        "{}",
        admitted.total()
    );
}

/// An account at 1/1.8 of its limit, with requests spread unevenly over the boxes: all are admitted
/// once the bucket has filled.
#[test]
fn deal_usual_use_is_never_refused() {
    let mut fleet = Fleet::new(74);
    let per_s = LIMIT.per_s / 1.8;
    let mut refused = 0;
    let mut now_ms = 0.0;
    for number in 0..2_000_u64 {
        let units = cost_of(number);
        let at = (number * number % 13) as usize;
        if !fleet.admit(at, Some((0, 1.0)), units, now_ms as Millis) && now_ms > 500.0 {
            refused += 1;
        }
        now_ms += units / per_s * 1_000.0;
    }
    assert_eq!(refused, 0);
}

/// The home fails, boxes use their shares for 4 s, then another box is the home: no window exceeds
/// the limit plus the overdraft.
#[test]
fn deal_home_goes_and_another_one_comes() {
    let mut fleet = Fleet::new(74);
    fleet.homes[1] = LimitHome::new(9_000);
    let mut admitted = Admitted::default();
    for number in 0..20_000_u64 {
        let now_ms = number;
        let home = match now_ms {
            0..5_000 => Some((0, 1.0)),
            5_000..9_000 => None,
            _ => Some((1, 1.0)),
        };
        let units = cost_of(number);
        if fleet.admit((number * 31 % 74) as usize, home, units, now_ms) {
            admitted.record(units, now_ms);
        }
    }
    let overdrawn = 74.0 * 960.0;
    assert!(
        admitted.window_max() <= allowed(LIMIT, overdrawn),
        "{}",
        admitted.window_max()
    );
}

/// For any partition of the fleet in two, each side with its own home, and any loss of the home, no
/// window exceeds the limit plus the overdraft.
///
/// The test fails without either of two rules: a home grants only for the boxes that it reaches,
/// and a grant clears the box's own share.
#[test]
fn deal_never_more_than_the_limit_however_the_fleet_is_cut() {
    fn property(seed: u32, first_part: u8, cut_s: u8, lone: u8) -> bool {
        const BOXES: usize = 20;
        let first = usize::from(first_part) % (BOXES + 1);
        let cut_ms = 1_000 * Millis::from(cut_s % 16);
        let lone_ms = 100 * Millis::from(lone);
        let mut fleet = Fleet::new(BOXES);
        let mut admitted = Admitted::default();
        for number in 0..30_000_u64 {
            let now_ms = number;
            let at = (u64::from(seed).wrapping_mul(number | 1) >> 7) as usize % BOXES;
            let home = if now_ms >= cut_ms + lone_ms && now_ms < cut_ms + lone_ms + 3_000 {
                None
            } else if now_ms < cut_ms {
                Some((0, 1.0))
            } else if at < first {
                Some((0, first as f64 / BOXES as f64))
            } else {
                Some((1, (BOXES - first) as f64 / BOXES as f64))
            };
            let units = cost_of(number);
            if fleet.admit(at, home, units, now_ms) {
                admitted.record(units, now_ms);
            }
        }
        let max = admitted.window_max();
        max <= allowed(LIMIT, OVERDRAFT)
    }
    let property = property as fn(u32, u8, u8, u8) -> bool;
    QuickCheck::new().tests(150).quickcheck(property);
}

/// Rejected callers get successive retry times, each when the bucket holds enough units.
#[test]
fn deal_spaces_the_retry_times() {
    let mut home = LimitHome::new(0);
    let deal = |home: &mut LimitHome| {
        home.deal(grant_terms(LIMIT, 1.0, 1_000_000), needs(6_000.0), 0)
            .retry_after_ms
    };
    assert_eq!(deal(&mut home), Some(100));
    assert_eq!(deal(&mut home), Some(200));
    assert_eq!(deal(&mut home), Some(300));
    assert_eq!(
        home.deal(grant_terms(LIMIT, 1.0, 1_000_000), needs(6_000.0), 100)
            .retry_after_ms,
        None
    );
}

/// A request that costs more than the bucket's capacity is admitted once the bucket is full.
#[test]
fn deal_request_larger_than_the_bucket() {
    let mut home = LimitHome::new(0);
    let large = needs(100_000.0);
    assert!(
        home.deal(grant_terms(LIMIT, 1.0, 1_000_000), large, 900)
            .retry_after_ms
            .is_some()
    );
    assert_eq!(
        home.deal(grant_terms(LIMIT, 1.0, 1_000_000), large, 1_000)
            .units,
        100_000.0
    );
    let next = home.deal(grant_terms(LIMIT, 1.0, 1_000_000), needs(661.0), 1_000);
    assert_eq!(next.units, 0.0);
}

#[test]
fn deal_lowered_limit_binds_at_once() {
    let mut home = LimitHome::new(0);
    let low = Limit {
        per_s: 1_000.0,
        burst: 1_000.0,
    };
    home.deal(grant_terms(LIMIT, 1.0, 1_000_000), needs(0.0), 1_900);
    assert_eq!(
        home.deal(grant_terms(low, 1.0, 1_000_000), needs(1_001.0), 2_000)
            .units,
        1_001.0
    );
    assert_eq!(
        home.deal(grant_terms(low, 1.0, 1_000_000), needs(500.0), 2_000)
            .units,
        0.0
    );
}

/// Granted units expire.
#[test]
fn take_given_expires() {
    let mut share = LimitShare::new(0);
    share.note_given(1_000.0, 0);
    assert!(share.take_given(100.0, 999));
    assert!(!share.take_given(100.0, 1_000));
}

#[test]
fn take_share_overdrawn_once_then_paid_back() {
    let mut share = LimitShare::new(0);
    let terms = ShareTerms {
        limit_terms: LimitTerms::of_account(LIMIT, 60_000.0),
        ..share_terms(60)
    };
    let take = |share: &mut LimitShare, now_ms| share.take_share(terms, 1_200.0, now_ms);
    assert_eq!(take(&mut share, 100), Err(100));
    assert_eq!(take(&mut share, 200), Ok(()));
    assert_eq!(take(&mut share, 200), Err(1_200));
    assert_eq!(take(&mut share, 1_400), Ok(()));
}

#[test]
fn give_back_lets_the_next_one_in() {
    let mut share = LimitShare::new(0);
    share.note_given(661.0, 0);
    assert!(share.take_given(661.0, 0));
    share.give_back(661.0, 10);
    assert!(share.take_given(661.0, 20));
}

/// A box does not use its own share right after the home has refused units.
#[test]
fn take_share_not_right_after_a_refusal_by_the_home() {
    let mut share = LimitShare::new(0);
    share.note_denied(100);
    assert_eq!(share.take_share(share_terms(1), 661.0, 600), Err(1_000));
    assert_eq!(share.take_share(share_terms(1), 661.0, 1_600), Ok(()));
}
