//! Tests of the share of a server's connections that one box may open.

use quickcheck::quickcheck;
use tinbay_core::serving::connections::max_connections;

quickcheck! {
    /// Guards against a share with a floor of several connections, which many boxes exceed: 299
    /// boxes with four each opened twice as many as a server with 590 accepts.
    fn all_boxes_open_no_more_connections_than_accepted(accepted: u16, boxes: u16) -> bool {
        let (accepted, boxes) = (usize::from(accepted), usize::from(boxes));
        boxes >= accepted || max_connections(accepted, Some(boxes)) * boxes <= accepted
    }
}

#[test]
fn box_of_a_large_fleet_may_open_one_connection() {
    assert_eq!(max_connections(590, Some(299)), 1);
    assert_eq!(max_connections(590, Some(2_200)), 1);
    assert_eq!(max_connections(590, Some(79)), 7);
}

/// Guards against a box that starts and opens as many connections as if it were the only one.
#[test]
fn max_connections_while_the_boxes_are_not_known_is_one() {
    assert_eq!(max_connections(100, None), 1);
}
