//! Whether a request may be served under the key that it shows.
//!
//! A key that operators have taken away must not let a request in that its caller sent longer
//! after that than is allowed. A box can't know at once; it knows up to when its copy of the
//! configuration was certainly complete. A key in a copy that was complete at `c` was taken away
//! after `c` at the earliest. A request that is decided at `d` was sent before `d`. So while
//! `d - c` is no longer than the time allowed, it was sent in time, however long it runs or waits
//! for its server later: one check, once the request has come, is proof. The clock must go on
//! while the process is frozen, and `c` must be the time at which the store was asked, never that
//! of its answer.
//!
//! Ways that were weighed: checking again before each send adds nothing to the proof and refuses
//! requests that may run; waiting for a fresh read where the copy is too old keeps requests that
//! are hardly ever served in time, as the copy is only too old while the store can't be read.

use std::rc::Rc;

use crate::units::Millis;

use super::account::Account;
use super::key::KeyDigest;
use super::table::AccountTable;

/// Time for which a watch of the store may hear nothing of changes that are made: the store may
/// have dropped its history, which it tells a second later, and half a second for the way.
const WATCH_BLIND_MS: Millis = 1_500;

/// Kept free of both bounds for clocks that do not run alike and times rounded to milliseconds.
const MARGIN_MS: Millis = 200;

/// Bounds that the operators promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTerms {
    /// Time after which no request may be sent under a key that was taken away.
    pub withdrawn_within_ms: Millis,
    /// Time after which a key that was added must be served.
    pub added_within_ms: Millis,
}

impl KeyTerms {
    /// Greatest age of the copy on which a key in it is served.
    pub fn served_age_ms(&self) -> Millis {
        let kept_ms = WATCH_BLIND_MS + MARGIN_MS;
        self.withdrawn_within_ms.saturating_sub(kept_ms)
    }

    /// Greatest age of the copy on which a key that is not in it counts as never given.
    pub fn unknown_age_ms(&self) -> Millis {
        self.added_within_ms.saturating_sub(MARGIN_MS)
    }
}

/// The key that a request shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShownKey {
    /// None, or what can't be one.
    None,
    /// The one of this digest.
    Digest(KeyDigest),
}

/// Under which account a request may be served.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyDecision {
    /// Under this one; under none where there are no accounts or the route needs no key.
    Serve(Option<Rc<Account>>),
    /// It shows no key.
    NoKey,
    /// No account holds its key.
    Unknown,
    /// The copy of the configuration is too old to know.
    CopyTooOld,
}

/// Decides on a request's key, after the request has come.
///
/// `copy_age_ms` is how long ago the accounts were certainly all there are. On a public route a
/// key that can't be shown to be in force is as none.
pub fn check(
    accounts: &AccountTable,
    is_public: bool,
    key: ShownKey,
    copy_age_ms: Millis,
    terms: &KeyTerms,
) -> KeyDecision {
    if accounts.is_empty() {
        return KeyDecision::Serve(None);
    }
    let decision = check_key(accounts, key, copy_age_ms, terms);
    match decision {
        KeyDecision::Serve(_) => decision,
        _ if is_public => KeyDecision::Serve(None),
        _ => decision,
    }
}

fn check_key(
    accounts: &AccountTable,
    key: ShownKey,
    copy_age_ms: Millis,
    terms: &KeyTerms,
) -> KeyDecision {
    let ShownKey::Digest(digest) = key else {
        return KeyDecision::NoKey;
    };
    match accounts.by_key(digest) {
        Some(account) if copy_age_ms <= terms.served_age_ms() => KeyDecision::Serve(Some(account)),
        None if copy_age_ms <= terms.unknown_age_ms() => KeyDecision::Unknown,
        _ => KeyDecision::CopyTooOld,
    }
}
