//! Placement of requests, load requests, reports of boxes, spread of adapters and prefill rate.

use quickcheck::QuickCheck;
use tinbay_core::serving::contents::adapter_key;
use tinbay_core::serving::placement::{Candidate, Pick, Presence, pick};
use tinbay_core::serving::prefill::{Backlog, PrefillRate};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::spread::Spreads;
use tinbay_core::serving::subscribers::{AdapterUse, ContentsChange, Subscribers};
use tinbay_core::serving::wanted_loads::{WantedLoad, WantedLoads};

fn candidate(presence: Presence, load: f64) -> Candidate {
    Candidate {
        presence,
        load,
        takes_loads: true,
        load_wait: 0.4,
    }
}

#[test]
fn pick_loads_at_first_where_none_holds_it() {
    let candidates = [
        candidate(Presence::Absent, 0.1),
        candidate(Presence::Absent, 0.1),
    ];
    assert_eq!(pick(&candidates, 1), Pick::Load { at: 0 });
}

/// Loads requested at one server queue behind each other; the next server can begin at once.
#[test]
fn pick_loads_past_a_server_with_many_queued_loads() {
    let backlogged = Candidate {
        load_wait: 3.0,
        ..candidate(Presence::Absent, 0.1)
    };
    let candidates = [backlogged, candidate(Presence::Absent, 0.3)];
    assert_eq!(pick(&candidates, 1), Pick::Load { at: 1 });
}

#[test]
fn pick_sends_to_ready_server_rather_than_load() {
    let candidates = [
        candidate(Presence::Absent, 0.0),
        candidate(Presence::Ready, 0.4),
    ];
    let expected = Pick::Send {
        to: 1,
        copy: Some(0),
    };
    assert_eq!(pick(&candidates, 2), expected);
}

#[test]
fn pick_skips_a_busy_server() {
    let candidates = [
        candidate(Presence::Ready, 2.0),
        candidate(Presence::Absent, 0.1),
    ];
    assert_eq!(pick(&candidates, 1), Pick::Load { at: 1 });
}

#[test]
fn pick_requests_missing_copy() {
    let candidates = [
        candidate(Presence::Ready, 0.2),
        candidate(Presence::Absent, 0.1),
    ];
    let expected = Pick::Send {
        to: 0,
        copy: Some(1),
    };
    assert_eq!(pick(&candidates, 2), expected);
}

/// The server is busy with other adapters, one of which a copy would displace.
#[test]
fn pick_requests_no_copy_beyond_the_spread() {
    let candidates = [
        candidate(Presence::Ready, 0.9),
        candidate(Presence::Absent, 0.4),
    ];
    assert_eq!(pick(&candidates, 1), Pick::Send { to: 0, copy: None });
}

#[test]
fn pick_requests_no_second_copy_during_a_load() {
    let candidates = [
        candidate(Presence::Ready, 0.8),
        candidate(Presence::Loading, 0.7),
        candidate(Presence::Absent, 0.1),
    ];
    assert_eq!(pick(&candidates, 3), Pick::Send { to: 0, copy: None });
}

#[test]
fn pick_nowhere_without_a_server_that_takes_loads() {
    let full = Candidate {
        takes_loads: false,
        ..candidate(Presence::Absent, 0.1)
    };
    assert_eq!(pick(&[full], 1), Pick::Nowhere);
    assert_eq!(pick(&[], 1), Pick::Nowhere);
}

/// A request is sent only to a server with the adapter ready, and loads are requested only where
/// one can begin.
#[test]
fn pick_only_what_can_be_done() {
    fn property(draws: Vec<(u8, u8, bool)>) -> bool {
        let candidates: Vec<Candidate> = draws
            .iter()
            .map(|(presence, load, takes_loads)| Candidate {
                presence: match presence % 4 {
                    0 => Presence::Ready,
                    1 => Presence::Loading,
                    2 => Presence::Absent,
                    _ => Presence::Outdated,
                },
                load: f64::from(*load) / 64.0,
                takes_loads: *takes_loads,
                load_wait: 0.4,
            })
            .collect();
        match pick(&candidates, 2) {
            Pick::Send { to, copy } => {
                let can_copy = |at: usize| {
                    candidates[at].presence == Presence::Absent && candidates[at].takes_loads
                };
                candidates[to].presence == Presence::Ready && copy.is_none_or(can_copy)
            }
            Pick::Load { at } => {
                let is_coming = candidates[at].presence == Presence::Loading;
                candidates[at].presence != Presence::Ready
                    && (is_coming || candidates[at].takes_loads)
            }
            Pick::Nowhere => candidates.iter().all(|candidate| {
                let can_serve = matches!(candidate.presence, Presence::Ready | Presence::Loading);
                !can_serve && !candidate.takes_loads
            }),
        }
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

fn want(adapter: &str, is_copy: bool) -> WantedLoad {
    WantedLoad {
        adapter: adapter.into(),
        version: None,
        is_copy,
    }
}

fn names(wants: &mut WantedLoads, now_ms: u64) -> Vec<String> {
    let current = wants.current(now_ms);
    current.into_iter().map(|want| want.adapter).collect()
}

#[test]
fn current_awaited_before_copies_and_oldest_first() {
    let mut wants = WantedLoads::default();
    wants.add(want("m/copy", true), 0);
    wants.add(want("m/late", false), 200);
    wants.add(want("m/early", false), 100);
    assert_eq!(names(&mut wants, 300), ["m/early", "m/late", "m/copy"]);
}

#[test]
fn current_drops_requests_that_are_not_repeated() {
    let mut wants = WantedLoads::default();
    wants.add(want("m/a", false), 0);
    wants.add(want("m/b", false), 0);
    wants.add(want("m/b", false), 900);
    assert_eq!(names(&mut wants, 1_500), ["m/b"]);
}

#[test]
fn add_waiting_request_makes_a_copy_awaited() {
    let mut wants = WantedLoads::default();
    wants.add(want("m/a", true), 0);
    wants.add(want("m/a", false), 10);
    assert!(!wants.current(20)[0].is_copy);
    wants.add(want("m/a", true), 30);
    assert!(!wants.current(40)[0].is_copy);
}

#[test]
fn add_newest_version_counts() {
    let mut wants = WantedLoads::default();
    wants.add(want("m/a", false), 0);
    let newer = WantedLoad {
        version: Some(2),
        ..want("m/a", false)
    };
    wants.add(newer, 10);
    wants.add(want("m/a", false), 20);
    assert_eq!(wants.current(30)[0].version, Some(2));
}

fn uses(adapter: &str, running: u16) -> Vec<AdapterUse> {
    vec![AdapterUse {
        adapter: adapter_key(adapter) as u32,
        running,
        begun: 0,
        begun_tokens: 0,
    }]
}

#[test]
fn running_of_others_excludes_own_requests() {
    let mut subscribers = Subscribers::default();
    subscribers.record_uses("box-1", uses("m/a", 3), 0);
    subscribers.record_uses("box-2", uses("m/a", 4), 0);
    assert_eq!(subscribers.running_of_others("box-1", 100), 4);
    subscribers.record_uses("box-2", uses("m/a", 1), 200);
    assert_eq!(subscribers.running_of_others("box-1", 300), 1);
}

#[test]
fn is_in_use_until_the_box_reports_otherwise_or_expires() {
    let adapter = adapter_key("m/a") as u32;
    let mut subscribers = Subscribers::default();
    subscribers.record_uses("box-1", uses("m/a", 1), 0);
    assert!(subscribers.is_in_use(adapter, 2_900));
    assert!(!subscribers.is_in_use(adapter, 3_000));
    subscribers.record_uses("box-1", uses("m/a", 1), 3_100);
    subscribers.record_uses("box-1", uses("m/a", 0), 3_200);
    assert!(!subscribers.is_in_use(adapter, 3_200));
}

fn ready(adapter: Fingerprint) -> ContentsChange {
    ContentsChange {
        ready: vec![adapter],
        has_lost_adapter: false,
    }
}

fn boxes_affected_by(
    subscribers: &Subscribers,
    change: &ContentsChange,
    now_ms: u64,
) -> Vec<String> {
    let mut boxes: Vec<String> = subscribers
        .boxes_affected_by(change, now_ms)
        .map(str::to_string)
        .collect();
    boxes.sort();
    boxes
}

#[test]
fn boxes_affected_by_ready_adapter_are_waiting_boxes() {
    let mut subscribers = Subscribers::default();
    subscribers.record_wait("box-1", 7, 0);
    subscribers.record_wait("box-2", 8, 0);
    subscribers.record_uses("box-3", uses("m/a", 1), 0);
    subscribers.record_status_sent("box-3", 0);
    assert_eq!(boxes_affected_by(&subscribers, &ready(7), 999), ["box-1"]);
    assert!(boxes_affected_by(&subscribers, &ready(7), 1_000).is_empty());
    assert!(boxes_affected_by(&subscribers, &ContentsChange::default(), 10).is_empty());
}

#[test]
fn boxes_affected_by_lost_adapter_are_boxes_with_fresh_status() {
    let lost = ContentsChange {
        ready: Vec::new(),
        has_lost_adapter: true,
    };
    let mut subscribers = Subscribers::default();
    subscribers.record_wait("box-1", 7, 0);
    subscribers.record_message("box-2", 0);
    subscribers.record_status_sent("box-2", 0);
    assert_eq!(boxes_affected_by(&subscribers, &lost, 299), ["box-2"]);
    assert!(boxes_affected_by(&subscribers, &lost, 300).is_empty());
}

#[test]
fn copies_grow_with_prefill_time() {
    let mut spreads = Spreads::default();
    assert_eq!(spreads.copies(1, 0.0, 0), 1);
    for now_ms in (0..3_000).step_by(100) {
        spreads.record_started(1, 90.0, now_ms);
        spreads.copies(1, 0.0, now_ms);
    }
    let grown = spreads.copies(1, 0.0, 3_000);
    assert!(grown >= 3, "{grown} copies for nine tenths of a server");
    for now_ms in (3_000..40_000).step_by(100) {
        spreads.copies(1, 0.0, now_ms);
    }
    assert_eq!(spreads.copies(1, 0.0, 40_000), 1);
}

#[test]
fn copies_grow_where_requests_take_the_slots() {
    let mut spreads = Spreads::default();
    spreads.record_started(1, 1.0, 0);
    assert_eq!(spreads.copies(1, 0.8, 500), 2);
}

#[test]
fn copies_stay_for_a_rare_adapter() {
    let mut spreads = Spreads::default();
    spreads.record_started(1, 240.0, 0);
    for now_ms in (0..2_000).step_by(100) {
        assert_eq!(spreads.copies(1, 0.02, now_ms), 1);
    }
}

#[test]
fn backlog_shrinks_with_time() {
    let mut backlog = Backlog::default();
    backlog.add(300.0, 1_000);
    backlog.add(100.0, 1_100);
    assert_eq!(backlog.at(1_200), 200.0);
    assert_eq!(backlog.at(5_000), 0.0);
}

#[test]
fn prefill_rate_follows_measurements() {
    let mut rate = PrefillRate::default();
    for _ in 0..400 {
        rate.record(4_000, 100.0);
    }
    assert!((rate.tokens_per_ms() - 40.0).abs() < 1.0);
    assert!((rate.time_ms(8_000) - 200.0).abs() < 10.0);
}

/// With a rate that is too low every engine appears to have a backlog, which must not keep the rate
/// from being corrected.
#[test]
fn prefill_rate_too_low_is_corrected() {
    let mut rate = PrefillRate::default();
    for _ in 0..400 {
        rate.record_answer(700, 0.0, 3_000.0);
    }
    assert!(rate.tokens_per_ms() < 3.0);
    for _ in 0..2_000 {
        rate.record_answer(700, 5_000.0, 20.0);
    }
    assert!(rate.tokens_per_ms() > 20.0);
}

#[test]
fn prefill_rate_ignores_busy_engine() {
    let mut rate = PrefillRate::default();
    let before = rate;
    rate.record_answer(700, 21.0, 3_000.0);
    rate.record_answer(499, 0.0, 3_000.0);
    assert_eq!(rate, before);
}

/// Rounding of the sums may move the rate just beyond its bounds.
#[test]
fn prefill_rate_stays_in_bounds_when_sums_are_rounded() {
    let mut rate = PrefillRate::default();
    rate.record(1_602, 0.0);
    rate.record(15_689, 0.0);
    assert!(rate.tokens_per_ms() <= 400.0);
}

#[test]
fn prefill_rate_stays_in_bounds() {
    fn property(notes: Vec<(u16, u16)>) -> bool {
        let mut rate = PrefillRate::default();
        for (tokens, took_ms) in notes {
            rate.record(u32::from(tokens) * 40, f64::from(took_ms));
        }
        (2.0..=400.0).contains(&rate.tokens_per_ms())
    }
    QuickCheck::new().quickcheck(property as fn(Vec<(u16, u16)>) -> bool);
}
