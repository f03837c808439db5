//! Work that may continue only while a condition holds.

use std::cell::Cell;

use tinbay_node::util::guarded::while_allowed;

/// Waits first, as for a connection, and then has an effect.
async fn wait_then_mark(waits: &tokio::sync::Notify, is_marked: &Cell<bool>) {
    waits.notified().await;
    is_marked.set(true);
}

#[tokio::test]
async fn while_allowed_goes_on_while_it_may() {
    let waits = tokio::sync::Notify::new();
    let is_marked = Cell::new(false);
    waits.notify_one();
    let end = while_allowed(|| true, wait_then_mark(&waits, &is_marked)).await;
    assert_eq!(end, Some(()));
    assert!(is_marked.get());
}

// A box that is frozen while it connects and wakes up after its lease has expired must not send the
// order.
#[tokio::test]
async fn while_allowed_takes_no_step_after_it_lapsed() {
    let waits = tokio::sync::Notify::new();
    let is_marked = Cell::new(false);
    let is_allowed = Cell::new(true);
    let work = while_allowed(|| is_allowed.get(), wait_then_mark(&waits, &is_marked));
    let lapse = async {
        tokio::task::yield_now().await;
        is_allowed.set(false);
        waits.notify_one();
    };
    let (end, ()) = tokio::join!(work, lapse);
    assert_eq!(end, None);
    assert!(!is_marked.get());
}
