//! Authentication of a request by its API key.
//!
//! A request that is sent later than a configured time after the revocation of its key must not be
//! served. A box does not hear of a revocation at once, but it knows up to which time its copy of
//! the configuration is complete. A key in a copy that is complete up to `c` was revoked after `c`
//! at the earliest. A request checked at `d` was sent before `d`. So if `d - c` is at most the
//! allowed time, the request was sent in time, however long it runs or queues afterwards: a single
//! check on arrival is sufficient. This requires a clock that advances while the process is
//! suspended, and `c` must be the time at which the store was queried, not that of its answer.
//!
//! Two alternatives are not used. A further check before each send adds nothing to this argument
//! and refuses requests that may run. Waiting for a fresh read if the copy is too old only holds
//! requests that would hardly ever be served in time, as the copy becomes too old only while the
//! store can't be read.

use std::rc::Rc;

use crate::units::Millis;

use super::account::Account;
use super::key::KeyDigest;
use super::table::AccountTable;

/// How long a watch of the store may miss changes: the store reports dropped history 1 s later, and
/// 0.5 s is allowed for the network.
const WATCH_DELAY_MS: Millis = 1_500;

/// Safety margin of both bounds for clock drift and rounding to milliseconds.
const MARGIN_MS: Millis = 200;

/// Configured bounds on the delay of key changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyTerms {
    /// Time after a revocation from which requests with the key are no longer served.
    pub withdrawn_within_ms: Millis,
    /// Time after its addition from which a key must not be reported as unknown.
    pub added_within_ms: Millis,
}

impl KeyTerms {
    /// Maximum age of the copy at which a key that it holds is accepted.
    pub fn served_age_ms(&self) -> Millis {
        let margin_ms = WATCH_DELAY_MS + MARGIN_MS;
        self.withdrawn_within_ms.saturating_sub(margin_ms)
    }

    /// Maximum age of the copy at which a key that it lacks is reported as unknown.
    pub fn unknown_age_ms(&self) -> Millis {
        self.added_within_ms.saturating_sub(MARGIN_MS)
    }
}

/// The key that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key, or a malformed one.
    None,
    /// A well-formed key, by its digest.
    Digest(KeyDigest),
}

/// Result of the authentication.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyDecision {
    /// Serve the request, for this account if any. There is none if no accounts are configured,
    /// or if the route is public and the key could not be verified.
    Serve(Option<Rc<Account>>),
    /// Refuse: the request carries no key.
    NoKey,
    /// Refuse: no account has the key.
    Unknown,
    /// Refuse: the copy of the configuration is too old to decide.
    CopyTooOld,
}

/// Authenticates a request on its arrival.
///
/// `copy_age_ms` is the time since the accounts were known to be complete. On a public route a key
/// that can't be verified counts as absent.
pub fn check(
    accounts: &AccountTable,
    is_public: bool,
    key: PresentedKey,
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
    key: PresentedKey,
    copy_age_ms: Millis,
    terms: &KeyTerms,
) -> KeyDecision {
    let PresentedKey::Digest(digest) = key else {
        return KeyDecision::NoKey;
    };
    match accounts.by_key(digest) {
        Some(account) if copy_age_ms <= terms.served_age_ms() => KeyDecision::Serve(Some(account)),
        None if copy_age_ms <= terms.unknown_age_ms() => KeyDecision::Unknown,
        _ => KeyDecision::CopyTooOld,
    }
}
