//! Terms of limits: what they allow, and how each kind is enforced.

use crate::units::{MS_PER_SECOND, Millis};

/// A fleet-wide rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub per_s: f64,
    /// Capacity of the token bucket.
    pub burst: f64,
}

/// How a limit is enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// Rate and burst.
    pub limit: Limit,
    /// Units by which all boxes together may overdraw their shares while they can't reach a home.
    pub overdraft: f64,
    /// Units that a new home withholds at first. While no home can be reached, all shares together
    /// withhold as many.
    pub first_debt: f64,
    /// Pause without requests after which a home drops its saved units: another box may have been
    /// the home in the meantime.
    pub reset_after_ms: Millis,
    /// Upper bound of the retry time given on a rejection.
    pub longest_away_ms: Millis,
}

/// Pause without requests after which the home of an account's limit drops its saved units: another
/// box may have granted all of them in the meantime.
const ACCOUNT_RESET_AFTER_MS: Millis = 2_000;

/// Upper bound of the retry time given to callers of an account at its limit.
const ACCOUNT_MAX_RETRY_MS: Millis = 30_000;

/// Window over which a server's limit applies.
const SERVER_WINDOW_MS: Millis = 4_000;

/// Requests a second that a server gets whatever it announces: only an answer shows that a limit no
/// longer applies.
const SERVER_PROBES_PER_S: f64 = 0.25;

/// Seconds' worth of units that the bucket of a server's limit holds beyond one request. With a
/// capacity of one request, units that accrue while no box asks would be lost.
const SERVER_BURST_S: f64 = 0.25;

/// Requests by which boxes that can't reach a home may overdraw their shares together, besides
/// [`SERVER_OVERDRAFT_S`]. A window of 4 s may hold 1.5 times the limit and 5 requests; the home
/// grants up to the limit and one burst, and granted units live for a second.
const SERVER_OVERDRAFT: f64 = 2.0;
/// Seconds' worth of units by which those boxes may overdraw in addition.
const SERVER_OVERDRAFT_S: f64 = 0.5;

/// A server is assumed to have received requests at this multiple of its limit before it announced
/// the limit: two servers got 9 to 19 requests per second before they announced 3.4 and 3.8. To
/// make up for them, sending stops for this multiple of the part of the window that lies before the
/// announcement.
const PRIOR_RATE_RATIO: f64 = 3.0;

/// The home of a server's limit never drops its saved units: its bucket holds one or two requests,
/// and at a limit of 0.3 per second, pauses longer than [`ACCOUNT_RESET_AFTER_MS`] are normal.
const SERVER_RESET_AFTER_MS: Millis = Millis::MAX;

/// Upper bound of the time for which a box requests no units of a server's limit after a refusal.
/// It also bounds the time until the box learns that the limit has ended.
const SERVER_MAX_RETRY_MS: Millis = 5_000;

impl LimitTerms {
    /// Terms for the limit of a client account.
    pub fn of_account(limit: Limit, overdraft: f64) -> Self {
        Self {
            limit,
            overdraft,
            first_debt: 0.0,
            reset_after_ms: ACCOUNT_RESET_AFTER_MS,
            longest_away_ms: ACCOUNT_MAX_RETRY_MS,
        }
    }

    /// Terms for a server that is slow after its start, in requests per second. It has had no
    /// requests before.
    pub fn of_slow_start(per_s: f64) -> Self {
        Self {
            first_debt: 0.0,
            ..Self::of_server(per_s, 0, 0)
        }
    }

    /// Terms for the limit of a server, in requests per second. The limit applies `binds_after_ms`
    /// after the server announced it, which was `known_for_ms` ago.
    ///
    /// If `binds_after_ms` is shorter than the window, the first windows include requests from
    /// before the announcement, which count as well.
    pub fn of_server(per_s: f64, binds_after_ms: Millis, known_for_ms: Millis) -> Self {
        let per_s = per_s.max(SERVER_PROBES_PER_S);
        let window_before_ms = SERVER_WINDOW_MS.saturating_sub(binds_after_ms) as f64;
        let withheld_ms = (window_before_ms * PRIOR_RATE_RATIO).min(binds_after_ms as f64);
        let withheld_ms = (withheld_ms - known_for_ms as f64).max(0.0);
        Self {
            limit: Limit {
                per_s,
                burst: 1.0 + per_s * SERVER_BURST_S,
            },
            overdraft: SERVER_OVERDRAFT + SERVER_OVERDRAFT_S * per_s,
            first_debt: per_s * withheld_ms / MS_PER_SECOND as f64,
            reset_after_ms: SERVER_RESET_AFTER_MS,
            longest_away_ms: SERVER_MAX_RETRY_MS,
        }
    }
}
