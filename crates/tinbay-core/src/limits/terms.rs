//! What a limit allows, and how each kind of limit is kept.

use crate::units::{MS_PER_SECOND, Millis};

/// What a limit allows over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub per_s: f64,
    /// Units beyond that at once.
    pub burst: f64,
}

/// How a limit is kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// What it allows.
    pub limit: Limit,
    /// Units by which all boxes together may overdraw their shares while they find no home.
    pub overdraft: f64,
    /// Units that a new home, and all shares together, hold back first.
    pub first_debt: f64,
    /// Pause in dealing after which a home forgets what it had saved: another box may have been the home
    /// meanwhile.
    pub forgotten_after_ms: Millis,
    /// Longest time that those who are turned away are told to stay away.
    pub longest_away_ms: Millis,
}

/// Pause in dealing after which the home of an account forgets what it saved: another box may have dealt all
/// of it meanwhile.
const ACCOUNT_FORGOTTEN_AFTER_MS: Millis = 2_000;

/// Longest time that callers of an account at its limit are told to stay away.
const ACCOUNT_LONGEST_AWAY_MS: Millis = 30_000;

/// Span over which a server's limit binds.
const SERVER_WINDOW_MS: Millis = 4_000;

/// Part of a second's units that a server may get at once besides one request: with a bucket of one request
/// a unit that came while nobody asked would be lost.
const SERVER_BURST_S: f64 = 0.25;

/// Requests, and part of a second's units, by which boxes that find no home may overdraw their shares
/// together. One and a half times a limit and 5 requests are allowed in 4 s; the home deals once the limit
/// and a burst, units given ahead live for a second.
const SERVER_OVERDRAFT: f64 = 2.0;
const SERVER_OVERDRAFT_S: f64 = 0.5;

/// What servers usually got, against the limits that they named: two got 9 to 19 requests a second before
/// they named 3.4 and 3.8. Nothing is sent for so many times as long as the window reaches back to before
/// the limit was known.
const USUAL_OVER_LIMIT: f64 = 3.0;

/// The home of a server's limit forgets nothing: its bucket holds a request or two, and at a limit of 0.3 a
/// second nobody may ask for longer than that of an account is remembered.
const SERVER_FORGOTTEN_AFTER_MS: Millis = Millis::MAX;

/// Longest time for which a box does not ask for units of a server's limit after it got none. It is also the
/// longest until the box learns that the limit is over.
const SERVER_LONGEST_AWAY_MS: Millis = 5_000;

impl LimitTerms {
    /// The limit of a client account.
    pub fn of_account(limit: Limit, overdraft: f64) -> Self {
        Self {
            limit,
            overdraft,
            first_debt: 0.0,
            forgotten_after_ms: ACCOUNT_FORGOTTEN_AFTER_MS,
            longest_away_ms: ACCOUNT_LONGEST_AWAY_MS,
        }
    }

    /// The limit of a server, in requests a second, that binds some time after the server first named it;
    /// `known_for_ms` says for how long it has been known.
    ///
    /// Where that time is shorter than the window, the first windows reach back to before the server named
    /// its limit, and what came there counts as well.
    pub fn of_server(per_s: f64, binds_after_ms: Millis, known_for_ms: Millis) -> Self {
        let reaches_back_ms = SERVER_WINDOW_MS.saturating_sub(binds_after_ms) as f64;
        let held_back_ms = (reaches_back_ms * USUAL_OVER_LIMIT).min(binds_after_ms as f64);
        let held_back_ms = (held_back_ms - known_for_ms as f64).max(0.0);
        Self {
            limit: Limit {
                per_s,
                burst: 1.0 + per_s * SERVER_BURST_S,
            },
            overdraft: SERVER_OVERDRAFT + SERVER_OVERDRAFT_S * per_s,
            first_debt: per_s * held_back_ms / MS_PER_SECOND as f64,
            forgotten_after_ms: SERVER_FORGOTTEN_AFTER_MS,
            longest_away_ms: SERVER_LONGEST_AWAY_MS,
        }
    }
}
