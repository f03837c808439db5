//! Tests of leases of a brittle server's slots.

use quickcheck::quickcheck;
use tinbay_core::slots::home::{
    HomeTerms, LEASE_LIFE_MS, LeaseEnd, LeaseId, SlotAnswer, SlotHome, SlotRequest,
};
use tinbay_core::slots::window::Window;

/// Time for which servers have been brittle when a home that has no predecessor begins.
const ONSET_MS: u64 = 0;

/// Time for which servers have been brittle when a home takes over from another one.
const LATER_MS: u64 = 5_000;

/// Time in which a home that takes over leases nothing.
const TAKEOVER_MS: u64 = 1_000;

const TERMS: HomeTerms = HomeTerms {
    slots: 6,
    rejections_per_s: 3.0,
    reached: 1.0,
};

fn id(box_key: u32, number: u32) -> LeaseId {
    LeaseId { box_key, number }
}

fn request(box_key: u32, rank: u8, max_wait_ms: u64) -> SlotRequest {
    SlotRequest {
        id: id(box_key, 1),
        rank,
        max_wait_ms,
    }
}

/// Requests a slot; returns the decisions made now.
fn ask(home: &mut SlotHome, request: SlotRequest, now_ms: u64) -> Vec<(LeaseId, SlotAnswer)> {
    home.request(request, now_ms);
    decide(home, now_ms)
}

fn decide(home: &mut SlotHome, now_ms: u64) -> Vec<(LeaseId, SlotAnswer)> {
    let decisions = home.decide(TERMS, now_ms);
    let decisions = decisions.iter();
    decisions
        .map(|decision| (decision.id, decision.answer))
        .collect()
}

fn is_leased(decisions: &[(LeaseId, SlotAnswer)], box_key: u32) -> bool {
    decisions.contains(&(id(box_key, 1), SlotAnswer::Leased))
}

/// A home without a predecessor whose slots are leased to the boxes 0 to 5.
fn full_home() -> SlotHome {
    let mut home = SlotHome::new(TERMS.slots, ONSET_MS, 0);
    for box_key in 0..6 {
        assert!(is_leased(
            &ask(&mut home, request(box_key, 0, 0), 0),
            box_key
        ));
    }
    home
}

#[test]
fn request_beyond_the_slots_is_rejected_at_once_if_it_may_not_wait() {
    let mut home = full_home();
    let decisions = ask(&mut home, request(6, 0, 0), 1);
    let [(rejected, SlotAnswer::Full { .. })] = decisions[..] else {
        panic!("{decisions:?}");
    };
    assert_eq!(rejected, id(6, 1));
    assert_eq!(home.leased(), 6);
}

#[test]
fn slot_that_becomes_free_goes_to_the_most_urgent() {
    let mut home = full_home();
    assert!(ask(&mut home, request(6, 2, 3_000), 1).is_empty());
    assert!(ask(&mut home, request(7, 1, 3_000), 2).is_empty());
    home.end(id(0, 1), LeaseEnd::Served, TERMS, 10);
    assert!(is_leased(&decide(&mut home, 10), 7));
    home.end(id(1, 1), LeaseEnd::Served, TERMS, 20);
    assert!(is_leased(&decide(&mut home, 20), 6));
}

#[test]
fn request_repeated_takes_one_slot() {
    let mut home = SlotHome::new(TERMS.slots, ONSET_MS, 0);
    for now_ms in [0, 50, 100] {
        assert!(is_leased(&ask(&mut home, request(1, 0, 0), now_ms), 1));
    }
    assert_eq!(home.leased(), 1);
}

#[test]
fn caller_that_leaves_the_queue_takes_no_slot() {
    let mut home = full_home();
    assert!(ask(&mut home, request(6, 0, 3_000), 1).is_empty());
    home.end(id(6, 1), LeaseEnd::Unknown, TERMS, 5);
    home.end(id(0, 1), LeaseEnd::Served, TERMS, 10);
    assert!(decide(&mut home, 10).is_empty());
    assert_eq!(home.leased(), 5);
}

#[test]
fn lease_of_a_silent_box_ends_and_a_renewed_one_stays() {
    let mut home = full_home();
    home.renew(0, &[1], LEASE_LIFE_MS - 100);
    decide(&mut home, LEASE_LIFE_MS);
    assert_eq!(home.leased(), 1);
}

#[test]
fn lease_that_its_box_no_longer_lists_ends() {
    let mut home = full_home();
    home.renew(0, &[], 1_100);
    assert_eq!(home.leased(), 5);
}

/// Guards against two homes, one after the other, that lease the same slots.
#[test]
fn home_that_takes_over_first_learns_what_is_leased() {
    let mut home = SlotHome::new(TERMS.slots, LATER_MS, 0);
    for box_key in 0..6 {
        home.renew(box_key, &[1], 100);
    }
    let decisions = ask(&mut home, request(6, 0, 0), TAKEOVER_MS + 50);
    assert!(!is_leased(&decisions, 6));
    assert_eq!(home.leased(), 6);
}

#[test]
fn home_that_takes_over_begins_with_few_slots() {
    let mut home = SlotHome::new(12, LATER_MS, 0);
    let terms = HomeTerms { slots: 12, ..TERMS };
    let mut leased = 0;
    for box_key in 0..12 {
        home.request(request(box_key, 0, 0), TAKEOVER_MS);
        let decisions = home.decide(terms, TAKEOVER_MS);
        let is_leased = |decision: &&_| {
            let decision: &tinbay_core::slots::home::Decision = decision;
            decision.answer == SlotAnswer::Leased
        };
        leased += decisions.iter().filter(is_leased).count();
    }
    assert_eq!(leased, 3);
}

/// Guards against a rejection that only the box knows whose request it was.
#[test]
fn rejections_stop_leases_to_all_boxes() {
    let mut home = full_home();
    for box_key in 0..2 {
        home.end(id(box_key, 1), LeaseEnd::Rejected, TERMS, 100);
    }
    assert!(!is_leased(&ask(&mut home, request(7, 0, 0), 200), 7));
    for box_key in 2..6 {
        home.end(id(box_key, 1), LeaseEnd::Served, TERMS, 200);
    }
    assert!(!is_leased(&ask(&mut home, request(8, 0, 0), 900), 8));
    assert!(is_leased(&ask(&mut home, request(9, 0, 0), 1_100), 9));
}

#[test]
fn server_that_survives_one_rejection_gets_nothing_for_a_second_after_it() {
    let terms = HomeTerms {
        rejections_per_s: 1.0,
        ..TERMS
    };
    let mut home = full_home();
    home.end(id(0, 1), LeaseEnd::Rejected, terms, 100);
    home.request(request(7, 0, 0), 1_000);
    let decisions = home.decide(terms, 1_000);
    assert!(
        decisions
            .iter()
            .all(|decision| decision.answer != SlotAnswer::Leased)
    );
}

#[test]
fn window_shrinks_with_rejections_and_grows_with_time() {
    let mut window = Window::full(8, 0);
    window.record_rejected(8, 0);
    assert_eq!(window.limit(), 6);
    window.record_served(8);
    assert_eq!(window.limit(), 6);
    window.grow(8, 1_000);
    assert_eq!(window.limit(), 7);
}

#[test]
fn window_of_a_failed_server_begins_with_one_slot_and_grows_with_answers() {
    let mut window = Window::full(8, 0);
    window.record_failed();
    assert_eq!(window.limit(), 8, "one failure may be its box's own");
    window.record_failed();
    assert_eq!(window.limit(), 1);
    window.record_served(8);
    window.record_served(8);
    assert_eq!(window.limit(), 3);
}

#[test]
fn home_that_reaches_most_boxes_loses_no_slot_to_a_few_that_are_down() {
    let own_slots = |reached| HomeTerms { reached, ..TERMS }.own_slots();
    assert_eq!(own_slots(23.0 / 24.0), 6);
    assert_eq!(own_slots(2.0 / 3.0), 4);
    assert_eq!(own_slots(1.0 / 3.0), 2);
    assert_eq!(own_slots(0.1), 0);
}

/// What one step of a schedule does.
#[derive(Debug, Clone, Copy)]
enum Step {
    Ask,
    End(LeaseEnd),
    Renew,
    Wait,
}

impl Step {
    fn of(draw: u8) -> Self {
        match draw % 10 {
            0..=4 => Step::Ask,
            5 => Step::End(LeaseEnd::Served),
            6 => Step::End(LeaseEnd::Rejected),
            7 => Step::End(LeaseEnd::Failed),
            8 => Step::Renew,
            _ => Step::Wait,
        }
    }
}

quickcheck! {
    /// Slots leased out never exceed those of the server, however many boxes ask, and whatever
    /// becomes of their requests. Boxes may outnumber the slots.
    fn leases_never_exceed_the_slots(slots: u8, schedule: Vec<(u8, u8)>) -> bool {
        let slots = usize::from(slots).max(1);
        let terms = HomeTerms { slots, ..TERMS };
        let mut home = SlotHome::new(slots, ONSET_MS, 0);
        let mut leased: Vec<LeaseId> = Vec::new();
        let mut now_ms = 0;
        for (number, (draw, box_key)) in schedule.into_iter().enumerate() {
            let box_key = u32::from(box_key);
            match Step::of(draw) {
                Step::Ask => {
                    let id = id(box_key, number as u32);
                    let max_wait_ms = u64::from(draw) * 4;
                    home.request(SlotRequest { id, rank: draw % 3, max_wait_ms }, now_ms);
                }
                Step::End(end) => {
                    if let Some(id) = leased.pop() {
                        home.end(id, end, terms, now_ms);
                    }
                }
                Step::Renew => {
                    let own = leased.iter().filter(|id| id.box_key == box_key);
                    let held: Vec<u32> = own.map(|id| id.number).collect();
                    home.renew(box_key, &held, now_ms);
                }
                Step::Wait => now_ms += u64::from(box_key),
            }
            let mut has_leased = false;
            for decision in home.decide(terms, now_ms) {
                if decision.answer == SlotAnswer::Leased && !leased.contains(&decision.id) {
                    leased.push(decision.id);
                    has_leased = true;
                }
            }
            // A box may renew a lease that has ended here, as it was silent, but whose request
            // still runs.
            if has_leased && home.leased() > slots {
                return false;
            }
        }
        true
    }

    /// Homes on both sides of a partition never lease out more than the slots together.
    fn two_sides_of_a_partition_share_the_slots(slots: u8, boxes: u16, side: u16) -> bool {
        let boxes = f64::from(boxes.max(2));
        let reached = f64::from(side) % boxes / boxes;
        let slots = usize::from(slots);
        let own_slots = |reached| HomeTerms { slots, reached, ..TERMS }.own_slots();
        own_slots(reached) + own_slots(1.0 - reached) <= slots
    }
}
