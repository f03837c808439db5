//! Tests of what a view of the servers shows of the incarnation behind a connection.

use quickcheck::quickcheck;
use tinbay_core::serving::incarnation::{ENTRY_DELAY_MS, MAX_UNCONFIRMED_MS, is_described};
use tinbay_core::units::Millis;

#[test]
fn is_described_without_a_view_is_false() {
    assert!(!is_described(5_000, None, 5_000));
}

#[test]
fn is_described_by_a_recent_view() {
    assert!(is_described(5_000, Some(5_000 - MAX_UNCONFIRMED_MS), 5_000));
}

/// Guards against a stream at a server that has started again in another software version while the
/// store is down.
#[test]
fn is_described_on_a_connection_opened_in_an_outage_is_false() {
    assert!(!is_described(5_000, Some(4_500), 9_000));
}

#[test]
fn is_described_on_a_connection_that_is_older_than_the_outage() {
    let opened_ms = 5_000;
    assert!(is_described(
        opened_ms,
        Some(opened_ms + ENTRY_DELAY_MS),
        60_000
    ));
}

quickcheck! {
    /// A connection that was opened earlier is never less certain.
    fn is_described_is_monotonic_in_the_age_of_the_connection(
        opened_ms: u32, earlier_ms: u32, confirmed_ms: u32, age_ms: u32
    ) -> bool {
        let (opened_ms, confirmed_ms) = (Millis::from(opened_ms), Millis::from(confirmed_ms));
        let now_ms = confirmed_ms.max(opened_ms) + Millis::from(age_ms);
        let earlier_ms = opened_ms.saturating_sub(Millis::from(earlier_ms));
        let is_known = |opened_ms| is_described(opened_ms, Some(confirmed_ms), now_ms);
        !is_known(opened_ms) || is_known(earlier_ms)
    }
}
