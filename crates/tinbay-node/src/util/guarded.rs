//! Work that may go on only while something holds.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` and calls `may_go_on` before each of its steps. Stops and returns `None` once
/// `may_go_on` returns false.
///
/// A single check before the work is not enough: a process that is frozen during the work, for
/// example while it connects, would wake up and continue with work that is no longer allowed.
pub async fn while_allowed<T>(
    may_go_on: impl Fn() -> bool,
    work: impl Future<Output = T>,
) -> Option<T> {
    let mut work = pin!(work);
    poll_fn(|context| {
        if !may_go_on() {
            return Poll::Ready(None);
        }
        work.as_mut().poll(context).map(Some)
    })
    .await
}
