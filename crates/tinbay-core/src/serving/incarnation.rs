//! Whether the incarnation of a server behind a connection is the one that its entry in the store
//! describes.
//!
//! A server may start again under its id and address, and its entry shows that only once the store
//! has taken it. A connection ends with the incarnation that accepted it.

use crate::units::Millis;

/// Age of a box's view of the servers from which on it may lack a restart. Where the store can be
/// reached, a view is confirmed more often than that.
pub const MAX_UNCONFIRMED_MS: Millis = 2_000;

/// Time after which the entry of a server that has just started has reached boxes that watch the
/// store.
pub const ENTRY_DELAY_MS: Millis = 1_000;

/// Whether a connection opened at `opened_ms` leads to the incarnation that the entry describes, as
/// far as the view of the servers shows, which was confirmed at `confirmed_ms` (`None` if never).
pub fn is_described(opened_ms: Millis, confirmed_ms: Option<Millis>, now_ms: Millis) -> bool {
    confirmed_ms.is_some_and(|confirmed_ms| {
        now_ms <= confirmed_ms + MAX_UNCONFIRMED_MS || opened_ms + ENTRY_DELAY_MS <= confirmed_ms
    })
}
