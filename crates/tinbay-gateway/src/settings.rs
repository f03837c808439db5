//! The settings of a box on the direct path, in the product's own terms.

use std::net::{IpAddr, SocketAddr};

use tinbay_core::accounts::key_check::KeyTerms;
use tinbay_core::serving::budget::BudgetTerms;
use tinbay_core::serving::pacing::LoadBound;
use tinbay_core::units::Millis;

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
    /// Whether the whole system starts for the first time: nobody has ever given an order.
    pub is_first_start: bool,
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
    /// Its memory; none where nothing is said of it.
    pub memory_mb: Option<f64>,
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
    /// Requests or tokens by which all boxes together may exceed an account's limit.
    pub limit_overdraft: f64,
    /// Time after a server first named a limit from which on that binds.
    pub server_limit_binds_after_ms: Millis,
    /// Time after which no request may start on an older version of its adapter.
    pub version_within_ms: Millis,
    /// Longest time a caller may keep an answer of the directory.
    pub directory_valid_ms: Millis,
    /// Shortest lease the store grants.
    pub shortest_lease_ms: Millis,
}
