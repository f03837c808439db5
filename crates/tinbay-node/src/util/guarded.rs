//! Work that may go on only while something holds.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::Poll;

/// Runs `work` as long as `may_go_on` holds, asked before each of its steps; none once it no
/// longer does.
///
/// A check before the work alone is not enough: a process that is frozen in the midst of it,
/// as while it connects, would go on after it wakes with what it may no longer do.
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
