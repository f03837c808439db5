//! The settings of a box on the direct path, in the product's own terms.

use std::net::{IpAddr, SocketAddr};

use tinbay_core::accounts::account::Limit;
use tinbay_core::accounts::key_check::KeyTerms;
use tinbay_core::serving::budget::BudgetTerms;
use tinbay_core::serving::pacing::LoadBound;
use tinbay_core::units::{MS_PER_SECOND, Millis};

/// Everything a box is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the box.
    pub box_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
    /// Where callers ask which box to use.
    pub directory: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Address and port for messages between boxes.
    pub peer: SocketAddr,
    /// Boxes that may be up at the start; none of them must be.
    pub seeds: Vec<IpAddr>,
    /// The key-value store.
    pub store: SocketAddr,
    /// What the box has to work with.
    pub resources: Resources,
    /// Bounds that the operators promise their users.
    pub bounds: Bounds,
}

/// What a box has to work with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resources {
    /// What its link carries.
    pub link_mbit_per_s: f64,
    /// Its share of one core.
    pub core_share: f64,
}

/// Capacity of a whole core behind a link of one Mbit/s.
const CAPACITY_UNIT: f64 = 100.0;

impl Resources {
    /// What the box can bear for others, compared with other boxes: the job costs bytes and
    /// processor time alike.
    pub fn capacity(&self) -> u64 {
        (self.link_mbit_per_s * self.core_share * CAPACITY_UNIT) as u64
    }
}

/// By how much the limit of a client account may be exceeded over all boxes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimitBounds {
    /// Window over which that is counted.
    pub window_ms: Millis,
    /// Part of what the limit allows in the window.
    pub overshoot: f64,
    /// Requests or tokens beyond that.
    pub slack: f64,
}

/// Part of the slack by which boxes without a home overdraw their shares together. It leaves room
/// for a short request at each of 74 boxes: 661 tokens of a slack of 110,000.
const OVERDRAFT_PART: f64 = 0.45;

/// Part of all that is allowed beyond a limit that a home saves up beyond the burst. With what
/// shares overdraw and save, a third of it is left for units on their way and for two homes.
const SAVED_PART: f64 = 0.3;

impl AccountLimitBounds {
    /// Units by which boxes without a home may overdraw their shares together.
    pub fn overdraft(&self) -> f64 {
        self.slack * OVERDRAFT_PART
    }

    /// Units that a home saves up beyond the burst of a limit.
    pub fn saved(&self, limit: Limit) -> f64 {
        let window_s = self.window_ms as f64 / MS_PER_SECOND as f64;
        let in_window = limit.per_s * window_s + limit.burst;
        SAVED_PART * (self.overshoot * in_window + self.slack)
    }
}

/// Bounds that the operators promise their users.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Longest planned stop.
    pub stop_within_ms: Millis,
    /// Time between the orders of two holders to one server.
    pub holder_gap_ms: Millis,
    /// Budget of second sends.
    pub second_sends: BudgetTerms,
    /// Bound on loads from the weight store.
    pub loads: LoadBound,
    /// Times by which keys that are added or taken away are in force.
    pub keys: KeyTerms,
    /// By how much limits of client accounts may be exceeded.
    pub account_limits: AccountLimitBounds,
    /// Time after which no request may start on an older version of its adapter.
    pub version_within_ms: Millis,
    /// Longest time a caller may keep an answer of the directory.
    pub directory_valid_ms: Millis,
    /// Shortest lease the store grants.
    pub shortest_lease_ms: Millis,
}
