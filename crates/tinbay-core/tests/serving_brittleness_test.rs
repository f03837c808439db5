//! Tests of the bounds on what boxes send to brittle servers.

use quickcheck::quickcheck;
use tinbay_core::serving::brittleness::{Brittleness, RoomCase, has_room};

fn brittle(per_s: f64) -> Brittleness {
    let mut brittleness = Brittleness::default();
    brittleness.record(Some(per_s), 900, 1_000);
    brittleness
}

#[test]
fn record_ends_with_an_answer_to_a_later_request_only() {
    let mut brittleness = brittle(4.0);
    brittleness.record(None, 999, 1_100);
    assert_eq!(brittleness.rejections_per_s(), Some(4.0));
    brittleness.record(None, 1_000, 1_100);
    assert_eq!(brittleness.rejections_per_s(), None);
    assert_eq!(brittleness.pause_ms(7), None);
}

#[test]
fn pause_keeps_the_rejections_of_all_boxes_within_the_bound() {
    assert_eq!(brittle(7.0).pause_ms(7), Some(1_000));
    assert_eq!(brittle(3.5).pause_ms(7), Some(2_000));
    assert_eq!(brittle(0.0).pause_ms(7), Some(5_000));
    assert_eq!(brittle(1_000.0).pause_ms(7), Some(100));
}

#[test]
fn has_room_for_one_request_of_each_box_where_others_are_unknown() {
    let case = RoomCase {
        slots: 6,
        boxes: 7,
        own_running: 0,
        own_unanswered: 0,
        running: None,
    };
    assert!(has_room(&case));
    assert!(!has_room(&RoomCase {
        own_running: 1,
        ..case
    }));
    assert!(has_room(&RoomCase {
        boxes: 2,
        own_running: 2,
        ..case
    }));
}

quickcheck! {
    /// Boxes that all know the same number and then send at once never exceed the slots, unless
    /// there are more boxes than slots.
    fn boxes_that_send_at_once_fit_in_the_slots(slots: u8, boxes: u8, running: u8) -> bool {
        let (slots, boxes) = (usize::from(slots).max(4), usize::from(boxes).max(1));
        let mut own_unanswered = 0;
        let case = |own_unanswered| RoomCase {
            slots,
            boxes,
            own_running: own_unanswered,
            own_unanswered,
            running: Some(usize::from(running)),
        };
        while has_room(&case(own_unanswered)) {
            own_unanswered += 1;
        }
        let sent = own_unanswered * boxes;
        sent == 0 || boxes > slots / 4 || usize::from(running) + sent <= slots
    }
}
