//! Where requests go, and what boxes tell the holder of a server.

use quickcheck::QuickCheck;
use tinbay_core::serving::contents::adapter_key;
use tinbay_core::serving::guests::{AdapterUse, Guests};
use tinbay_core::serving::homes::{Candidate, Pick, Presence, pick};
use tinbay_core::serving::wants::{Want, Wants};

fn candidate(presence: Presence, load: f64) -> Candidate {
    Candidate {
        presence,
        load,
        takes_loads: true,
    }
}

#[test]
fn pick_loads_at_the_first_where_none_has_it() {
    let candidates = [
        candidate(Presence::Absent, 0.1),
        candidate(Presence::Absent, 0.1),
    ];
    assert_eq!(pick(&candidates), Pick::Load { at: 0 });
}

#[test]
fn pick_sends_where_it_is_rather_than_load() {
    let candidates = [
        candidate(Presence::Absent, 0.0),
        candidate(Presence::Ready, 0.4),
    ];
    assert_eq!(pick(&candidates), Pick::Send { to: 1, copy: None });
}

#[test]
fn pick_walks_on_past_a_busy_server() {
    let candidates = [
        candidate(Presence::Ready, 2.0),
        candidate(Presence::Absent, 0.1),
    ];
    assert_eq!(pick(&candidates), Pick::Load { at: 1 });
}

#[test]
fn pick_has_a_copy_made_beside_a_crowded_server() {
    let candidates = [
        candidate(Presence::Ready, 0.8),
        candidate(Presence::Absent, 0.28),
    ];
    let expected = Pick::Send {
        to: 0,
        copy: Some(1),
    };
    assert_eq!(pick(&candidates), expected);
}

#[test]
fn pick_has_no_second_copy_made_while_one_is_coming() {
    let candidates = [
        candidate(Presence::Ready, 0.8),
        candidate(Presence::Coming, 0.7),
        candidate(Presence::Absent, 0.1),
    ];
    assert_eq!(pick(&candidates), Pick::Send { to: 0, copy: None });
}

#[test]
fn pick_nowhere_without_a_server_that_takes_loads() {
    let full = Candidate {
        takes_loads: false,
        ..candidate(Presence::Absent, 0.1)
    };
    assert_eq!(pick(&[full]), Pick::Nowhere);
    assert_eq!(pick(&[]), Pick::Nowhere);
}

/// A request goes only where its adapter serves, and nothing is loaded where no load can begin.
#[test]
fn pick_only_what_can_be_done() {
    fn property(draws: Vec<(u8, u8, bool)>) -> bool {
        let candidates: Vec<Candidate> = draws
            .iter()
            .map(|(presence, load, takes_loads)| Candidate {
                presence: match presence % 4 {
                    0 => Presence::Ready,
                    1 => Presence::Coming,
                    2 => Presence::Absent,
                    _ => Presence::Outdated,
                },
                load: f64::from(*load) / 64.0,
                takes_loads: *takes_loads,
            })
            .collect();
        match pick(&candidates) {
            Pick::Send { to, copy } => {
                let can_copy = |at: usize| {
                    candidates[at].presence == Presence::Absent && candidates[at].takes_loads
                };
                candidates[to].presence == Presence::Ready && copy.is_none_or(can_copy)
            }
            Pick::Load { at } => {
                let is_coming = candidates[at].presence == Presence::Coming;
                candidates[at].presence != Presence::Ready
                    && (is_coming || candidates[at].takes_loads)
            }
            Pick::Nowhere => candidates.iter().all(|candidate| {
                let can_serve = matches!(candidate.presence, Presence::Ready | Presence::Coming);
                !can_serve && !candidate.takes_loads
            }),
        }
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

fn want(adapter: &str, is_copy: bool) -> Want {
    Want {
        adapter: adapter.into(),
        version: None,
        is_copy,
    }
}

fn names(wants: &mut Wants, now_ms: u64) -> Vec<String> {
    let current = wants.current(now_ms);
    current.into_iter().map(|want| want.adapter).collect()
}

#[test]
fn current_awaited_before_copies_and_the_longest_wanted_first() {
    let mut wants = Wants::default();
    wants.ask(want("m/copy", true), 0);
    wants.ask(want("m/late", false), 200);
    wants.ask(want("m/early", false), 100);
    assert_eq!(names(&mut wants, 300), ["m/early", "m/late", "m/copy"]);
}

#[test]
fn current_drops_what_is_asked_no_more() {
    let mut wants = Wants::default();
    wants.ask(want("m/a", false), 0);
    wants.ask(want("m/b", false), 0);
    wants.ask(want("m/b", false), 900);
    assert_eq!(names(&mut wants, 1_500), ["m/b"]);
}

#[test]
fn ask_waiting_request_makes_a_copy_awaited() {
    let mut wants = Wants::default();
    wants.ask(want("m/a", true), 0);
    wants.ask(want("m/a", false), 10);
    assert!(!wants.current(20)[0].is_copy);
    wants.ask(want("m/a", true), 30);
    assert!(!wants.current(40)[0].is_copy);
}

#[test]
fn ask_newest_version_counts() {
    let mut wants = Wants::default();
    wants.ask(want("m/a", false), 0);
    let newer = Want {
        version: Some(2),
        ..want("m/a", false)
    };
    wants.ask(newer, 10);
    wants.ask(want("m/a", false), 20);
    assert_eq!(wants.current(30)[0].version, Some(2));
}

fn uses(adapter: &str, running: u16) -> Vec<AdapterUse> {
    vec![AdapterUse {
        adapter: adapter_key(adapter) as u32,
        running,
        begun: 0,
    }]
}

#[test]
fn running_of_others_leaves_out_the_asker() {
    let mut guests = Guests::default();
    guests.note_uses("box-1", uses("m/a", 3), 0);
    guests.note_uses("box-2", uses("m/a", 4), 0);
    assert_eq!(guests.running_of_others("box-1", 100), 4);
    guests.note_uses("box-2", uses("m/a", 1), 200);
    assert_eq!(guests.running_of_others("box-1", 300), 1);
}

#[test]
fn is_in_use_until_the_box_says_no_or_falls_silent() {
    let adapter = adapter_key("m/a") as u32;
    let mut guests = Guests::default();
    guests.note_uses("box-1", uses("m/a", 1), 0);
    assert!(guests.is_in_use(adapter, 2_900));
    assert!(!guests.is_in_use(adapter, 3_000));
    guests.note_uses("box-1", uses("m/a", 1), 3_100);
    guests.note_uses("box-1", uses("m/a", 0), 3_200);
    assert!(!guests.is_in_use(adapter, 3_200));
}

#[test]
fn note_uses_asks_for_a_word_some_times_a_second() {
    let mut guests = Guests::default();
    assert!(guests.note_uses("box-1", uses("m/a", 1), 0));
    guests.note_told("box-1", 0);
    assert!(!guests.note_uses("box-1", uses("m/a", 2), 100));
    assert!(guests.note_uses("box-1", uses("m/a", 2), 250));
}
