//! Orders that a holder sends: never more adapters than slots, no adapter twice, and the newest
//! versions.

use quickcheck::QuickCheck;
use tinbay_core::serving::configuration::{EngineProperties, ModelSpec};
use tinbay_core::serving::contents::{
    Action, AdapterKey, Contents, HeldState, ModelAllowance, OrderAnswer, OrderContext, adapter_key,
};
use tinbay_core::serving::servers::{HeldAdapter, Report};
use tinbay_core::serving::wanted_loads::WantedLoad;

fn spec(adapter_slots: usize) -> EngineProperties {
    EngineProperties {
        batch_slots: 32,
        supports_handover: false,
        adapter_slots,
        loads_per_s: 9.3,
        weights_mb: 66_600.0,
        models: vec![ModelSpec {
            name: "m".into(),
            weights_mb: 65_100.0,
            adapter_mb: 12.0,
            adapters: 100,
        }],
    }
}

fn report(adapters: &[(&str, u64)]) -> Report {
    let held = |(adapter, version): &(&str, u64)| HeldAdapter {
        adapter: adapter.to_string(),
        version: *version,
    };
    Report {
        order_count: 4,
        models: vec!["m".into()],
        adapters: adapters.iter().map(held).collect(),
        ..Report::default()
    }
}

fn known_contents(adapter_slots: usize, adapters: &[(&str, u64)]) -> Contents {
    let mut contents = Contents::new(&spec(adapter_slots), 0);
    contents.record_report(&report(adapters), 0);
    contents
}

fn want(adapter: &str) -> WantedLoad {
    WantedLoad {
        adapter: adapter.into(),
        version: None,
        is_copy: false,
    }
}

/// An allowance that is available or not, and counts how often it was taken.
struct FakeAllowance {
    is_left: bool,
    taken: usize,
}

impl ModelAllowance for FakeAllowance {
    fn take(&mut self) -> bool {
        self.taken += usize::from(self.is_left);
        self.is_left
    }
}

fn next(
    contents: &mut Contents,
    wants: &[WantedLoad],
    is_left: bool,
    now_ms: u64,
) -> Option<Action> {
    let mut allowance = FakeAllowance { is_left, taken: 0 };
    contents.next_action(wants, &context(&|_| false, now_ms), &mut allowance)
}

fn context(is_in_use: &dyn Fn(AdapterKey) -> bool, now_ms: u64) -> OrderContext<'_> {
    OrderContext {
        published_version: &|_| None,
        is_in_use,
        now_ms,
    }
}

fn load(adapter: &str, expected_count: u64) -> Action {
    Action::Load {
        adapter: adapter.into(),
        version: None,
        expected_count,
    }
}

#[test]
fn next_action_requests_report_first() {
    let mut contents = Contents::new(&spec(2), 0);
    assert_eq!(
        next(&mut contents, &[want("m/a")], true, 0),
        Some(Action::FetchReport)
    );
}

#[test]
fn next_action_loads_into_free_slot() {
    let mut contents = known_contents(2, &[]);
    assert_eq!(
        next(&mut contents, &[want("m/a")], true, 0),
        Some(load("m/a", 4))
    );
}

#[test]
fn next_action_model_waits_for_the_allowance() {
    let mut contents = Contents::new(&spec(2), 0);
    contents.record_report(&Report::default(), 0);
    assert_eq!(next(&mut contents, &[want("m/a")], false, 0), None);
}

/// The allowance applies only to base models.
#[test]
fn next_action_adapter_needs_no_allowance() {
    let contents = known_contents(2, &[]);
    let mut allowance = FakeAllowance {
        is_left: true,
        taken: 0,
    };
    let action = contents.next_action(&[want("m/a")], &context(&|_| false, 0), &mut allowance);
    assert_eq!(action, Some(load("m/a", 4)));
    assert_eq!(allowance.taken, 0);
    let mut contents = known_contents(2, &[]);
    assert_eq!(next(&mut contents, &[want("m/a")], false, 0), action);
}

#[test]
fn next_action_model_before_adapter() {
    let mut contents = Contents::new(&spec(2), 0);
    contents.record_report(&Report::default(), 0);
    assert_eq!(
        next(&mut contents, &[want("m/a")], true, 0),
        Some(load("m", 0))
    );
    contents.record_answer(&load("m", 0), OrderAnswer::Accepted, 0);
    assert_eq!(next(&mut contents, &[want("m/a")], true, 10), None);
    contents.record_answer(&load("m", 1), OrderAnswer::Done, 600);
    assert_eq!(
        next(&mut contents, &[want("m/a")], true, 610),
        Some(load("m/a", 1))
    );
}

#[test]
fn next_action_unloads_least_used_when_full() {
    let mut contents = known_contents(2, &[("m/a", 1), ("m/b", 1)]);
    contents.record_uses(adapter_key("m/a"), 3, 0);
    let unload = Action::Unload {
        adapter: "m/b".into(),
        expected_count: 4,
    };
    assert_eq!(
        next(&mut contents, &[want("m/c")], true, 1_000),
        Some(unload.clone())
    );
    contents.record_answer(&unload, OrderAnswer::Done, 1_000);
    assert_eq!(
        next(&mut contents, &[want("m/c")], true, 1_001),
        Some(load("m/c", 5))
    );
}

#[test]
fn next_action_keeps_a_recently_used_adapter() {
    let mut contents = known_contents(1, &[("m/a", 1)]);
    contents.record_uses(adapter_key("m/a"), 1, 1_000);
    assert_eq!(next(&mut contents, &[want("m/b")], true, 1_050), None);
}

/// An adapter in use is kept however long ago its last request began, as that request may still
/// run.
#[test]
fn next_action_never_unloads_an_adapter_in_use() {
    let contents = known_contents(1, &[("m/a", 1)]);
    let mut allowance = FakeAllowance {
        is_left: true,
        taken: 0,
    };
    let is_in_use = |key| key == adapter_key("m/a");
    let context = context(&is_in_use, 60_000);
    assert!(!contents.takes_loads(&is_in_use, 60_000));
    assert_eq!(
        contents.next_action(&[want("m/b")], &context, &mut allowance),
        None
    );
}

#[test]
fn takes_loads_with_a_free_or_evictable_slot() {
    let nothing = |_| false;
    assert!(known_contents(2, &[("m/a", 1)]).takes_loads(&nothing, 0));
    assert!(known_contents(1, &[("m/a", 1)]).takes_loads(&nothing, 1_000));
    assert!(!Contents::new(&spec(1), 0).takes_loads(&nothing, 1_000));
}

#[test]
fn record_uses_of_finds_adapter_by_fingerprint() {
    let mut contents = known_contents(2, &[("m/a", 1), ("m/b", 1)]);
    contents.record_uses_of(adapter_key("m/b") as u32, 3, 1_000);
    let unload = Action::Unload {
        adapter: "m/a".into(),
        expected_count: 4,
    };
    assert_eq!(
        next(&mut contents, &[want("m/c")], true, 1_200),
        Some(unload)
    );
}

fn second_version_of(adapter: &str) -> WantedLoad {
    WantedLoad {
        version: Some(2),
        ..want(adapter)
    }
}

#[test]
fn next_action_replaces_old_version() {
    let mut contents = known_contents(2, &[("m/a", 1)]);
    let action = next(&mut contents, &[second_version_of("m/a")], true, 5_000);
    let expected = Action::Load {
        adapter: "m/a".into(),
        version: Some(2),
        expected_count: 4,
    };
    assert_eq!(action, Some(expected));
}

/// The server would delay the order to replace the version, and all requests for the adapter, until
/// the last running request ends.
#[test]
fn next_action_never_replaces_a_busy_version() {
    let mut contents = known_contents(2, &[("m/a", 1)]);
    contents.record_uses(adapter_key("m/a"), 1, 4_600);
    let wants = [second_version_of("m/a")];
    assert_eq!(next(&mut contents, &wants, true, 5_000), None);
}

#[test]
fn next_action_unloads_old_version_first() {
    let mut contents = known_contents(2, &[("m/a", 1), ("m/b", 1)]);
    contents.record_uses(adapter_key("m/a"), 9, 100);
    let published_version = |adapter: &str| (adapter == "m/a").then_some(2);
    let mut allowance = FakeAllowance {
        is_left: true,
        taken: 0,
    };
    let context = OrderContext {
        published_version: &published_version,
        is_in_use: &|_| false,
        now_ms: 5_000,
    };
    let action = contents.next_action(&[want("m/c")], &context, &mut allowance);
    let expected = Action::Unload {
        adapter: "m/a".into(),
        expected_count: 4,
    };
    assert_eq!(action, Some(expected));
}

/// A report shows a replaced adapter in its old version until the last running request is done; the
/// order must not be counted again.
#[test]
fn record_report_keeps_a_replacement_under_way() {
    let mut contents = known_contents(2, &[("m/a", 1)]);
    let load = Action::Load {
        adapter: "m/a".into(),
        version: Some(2),
        expected_count: 4,
    };
    contents.record_answer(&load, OrderAnswer::Accepted, 5_000);
    let mut known = report(&[("m/a", 1)]);
    known.order_count = 5;
    contents.record_report(&known, 6_000);
    let states: Vec<HeldState> = contents.held().map(|(_, held)| held.state).collect();
    assert_eq!(states, [HeldState::Loading]);
}

#[test]
fn record_answer_lost_requests_report_after_delay() {
    let mut contents = known_contents(2, &[]);
    contents.record_answer(&load("m/a", 4), OrderAnswer::NoAnswer, 1_000);
    assert_eq!(next(&mut contents, &[want("m/a")], true, 1_599), None);
    assert_eq!(
        next(&mut contents, &[want("m/a")], true, 1_600),
        Some(Action::FetchReport)
    );
}

#[test]
fn is_cached_for_the_version_held_before() {
    let mut contents = known_contents(1, &[("m/a", 1)]);
    let unload = Action::Unload {
        adapter: "m/a".into(),
        expected_count: 4,
    };
    contents.record_answer(&unload, OrderAnswer::Done, 500);
    assert!(contents.is_cached(adapter_key("m/a"), None));
    assert!(!contents.is_cached(adapter_key("m/a"), Some(2)));
    assert!(!contents.is_cached(adapter_key("m/b"), None));
}

/// A server that follows its orders, with arbitrary load requests and lost answers: the holder
/// never orders more adapters than slots.
#[test]
fn next_action_never_exceeds_slots() {
    fn property(steps: Vec<(u8, bool)>) -> bool {
        let slots = 3;
        let mut contents = known_contents(slots, &[]);
        let mut server: Vec<String> = Vec::new();
        let mut order_count = 4;
        let mut now_ms = 0;
        for (number, is_lost) in steps {
            now_ms += 200;
            let wants = [want(&format!("m/a{}", number % 12))];
            let Some(action) = next(&mut contents, &wants, true, now_ms) else {
                continue;
            };
            let answer = match &action {
                Action::FetchReport => {
                    let adapters: Vec<(&str, u64)> =
                        server.iter().map(|name| (name.as_str(), 1)).collect();
                    let mut known = report(&adapters);
                    known.order_count = order_count;
                    contents.record_report(&known, now_ms);
                    continue;
                }
                Action::PollReport => {
                    let adapters: Vec<(&str, u64)> =
                        server.iter().map(|name| (name.as_str(), 1)).collect();
                    contents.record_poll(Some(&report(&adapters)), now_ms);
                    continue;
                }
                Action::Load {
                    adapter,
                    expected_count,
                    ..
                } => {
                    if server.contains(adapter) {
                        OrderAnswer::Done
                    } else if *expected_count != order_count {
                        OrderAnswer::Conflict
                    } else if server.len() >= slots {
                        return false;
                    } else {
                        server.push(adapter.clone());
                        order_count += 1;
                        OrderAnswer::Accepted
                    }
                }
                Action::Unload {
                    adapter,
                    expected_count,
                } => {
                    if *expected_count != order_count {
                        OrderAnswer::Conflict
                    } else {
                        server.retain(|held| held != adapter);
                        order_count += 1;
                        OrderAnswer::Done
                    }
                }
            };
            let answer = if is_lost {
                OrderAnswer::NoAnswer
            } else {
                answer
            };
            contents.record_answer(&action, answer, now_ms);
        }
        let loading_or_ready = contents
            .held()
            .filter(|(_, held)| matches!(held.state, HeldState::Loading | HeldState::Ready))
            .count();
        loading_or_ready <= slots
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, bool)>) -> bool);
}

/// Loads that take longer than the best time seen make the holder begin fewer at once, and no
/// copies.
#[test]
fn next_action_begins_fewer_loads_while_the_store_is_slow() {
    let mut contents = known_contents(16, &[]);
    let mut now_ms = 0;
    for number in 0..6 {
        let adapter = format!("m/slow{number}");
        let action = load(&adapter, 4 + number);
        contents.record_answer(&action, OrderAnswer::Accepted, now_ms);
        now_ms += 900;
        contents.record_answer(&action, OrderAnswer::Accepted, now_ms);
        now_ms += 100;
        contents.record_answer(&action, OrderAnswer::Done, now_ms);
    }
    let copy = WantedLoad {
        is_copy: true,
        ..want("m/copy")
    };
    assert_eq!(next(&mut contents, &[copy], true, now_ms), None);
    let first = next(&mut contents, &[want("m/a")], true, now_ms).expect("a load");
    contents.record_answer(&first, OrderAnswer::Accepted, now_ms);
    assert_eq!(next(&mut contents, &[want("m/b")], true, now_ms + 1), None);
}

/// Guards against servers that lose orders being limited to one load at a time, so that some
/// adapters are never served and requests are refused as their adapter would be loaded too late.
///
/// Whether a load is complete is seen by the answer to an order. Where most orders are answered
/// late or never, a load of 250 ms is seen to be complete a second late. This delay must not count
/// as part of the load, which would indicate a slow weight store.
#[test]
fn load_seen_late_is_not_a_slow_load() {
    let mut contents = known_contents(16, &[]);
    let mut now_ms = 0;
    for number in 0..10 {
        let adapter = format!("m/late{number}");
        let action = load(&adapter, 4 + number);
        contents.record_answer(&action, OrderAnswer::Accepted, now_ms);
        now_ms += 1_500;
        contents.record_answer(&action, OrderAnswer::Done, now_ms);
    }
    assert!(contents.load_wait_ms(0) <= 300.0);
    for adapter in ["m/a", "m/b", "m/c", "m/d"] {
        let action = next(&mut contents, &[want(adapter)], true, now_ms).expect("a load");
        contents.record_answer(&action, OrderAnswer::Accepted, now_ms);
    }
}
