//! In which terms a box may send orders to engines that do not check them.

use tinbay_node::owners::BoxLease;

/// A lease that was acquired at 1,000 ms and is valid until 5,000 ms.
fn acquired() -> BoxLease {
    let lease = BoxLease::default();
    lease.extend(5_000, 1_000);
    lease
}

#[test]
fn term_stays_while_the_lease_is_renewed_in_time() {
    let lease = acquired();
    let term = lease.term();
    lease.extend(8_000, 4_999);
    assert!(lease.is_held_since(term, 7_999));
    assert!(!lease.is_held_since(term, 8_000));
}

// Guards against an owner that goes on with its engines after a freeze, once it has a lease again,
// beside the box that has taken them over.
#[test]
fn term_ends_when_the_lease_lapses() {
    let lease = acquired();
    let term = lease.term();
    lease.extend(9_000, 5_000);
    assert!(!lease.is_held_since(term, 5_000));
    assert!(lease.is_held_since(lease.term(), 5_000));
}

#[test]
fn has_lapsed_in_outage_from_a_failure_after_the_lapse() {
    let lease = acquired();
    let term = lease.term();
    lease.record_failure(4_999);
    assert!(!lease.has_lapsed_in_outage(term));
    lease.record_failure(5_000);
    assert!(lease.has_lapsed_in_outage(term));
    lease.extend(10_000, 6_000);
    assert!(!lease.has_lapsed_in_outage(term));
    assert!(!lease.has_lapsed_in_outage(lease.term()));
}
