//! The settings of a box, independent of the format of the settings file.

use std::net::{IpAddr, SocketAddr};

use tinbay_core::accounts::key_check::KeyTerms;
use tinbay_core::serving::budget::BudgetTerms;
use tinbay_core::serving::pacing::LoadBound;
use tinbay_core::units::Millis;

/// Settings that a box reads at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the box.
    pub box_id: String,
    /// Its availability zone.
    pub zone: String,
    /// Listen address for requests of callers.
    pub front: SocketAddr,
    /// Listen address for readiness checks.
    pub ready: SocketAddr,
    /// Listen address of the directory, from which callers learn which boxes to use.
    pub directory: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Address and port for messages between boxes.
    pub peer: SocketAddr,
    /// Boxes to contact at the start; any of them may be down.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time, so that no box has ever given an order.
    pub is_first_start: bool,
    /// Address of the key-value store.
    pub store: SocketAddr,
    /// Hardware resources of the box.
    pub resources: Resources,
    /// Limits on times and rates that the operators guarantee.
    pub bounds: Bounds,
}

/// Hardware resources of a box.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resources {
    /// Bandwidth of its network link.
    pub link_mbit_per_s: f64,
    /// Its share of one CPU core.
    pub core_share: f64,
    /// Its memory; absent if the settings do not state it.
    pub memory_mb: Option<f64>,
}

/// Capacity of a full core with a link of 1 Mbit/s.
const CAPACITY_UNIT: f64 = 100.0;

impl Resources {
    /// Capacity for work on behalf of other boxes, relative to theirs. It is the product of
    /// bandwidth and CPU share, as such work needs both.
    pub fn capacity(&self) -> u64 {
        (self.link_mbit_per_s * self.core_share * CAPACITY_UNIT) as u64
    }
}

/// Limits on times and rates that the operators guarantee.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Maximum duration of a planned stop.
    pub stop_within_ms: Millis,
    /// Minimum time between the last order of one claim holder to a server and the first order of
    /// the next holder.
    pub holder_gap_ms: Millis,
    /// Budget for second attempts.
    pub second_sends: BudgetTerms,
    /// Limit on adapter loads from the weight store.
    pub loads: LoadBound,
    /// Times within which added or removed API keys take effect.
    pub keys: KeyTerms,
    /// Requests or tokens by which all boxes together may exceed an account's limit.
    pub limit_overdraft: f64,
    /// Time after a server first announced a limit until the limit is enforced.
    pub server_limit_binds_after_ms: Millis,
    /// Time after a version change from which no request may start on the older version.
    pub version_within_ms: Millis,
    /// Maximum time for which a caller may cache a directory answer.
    pub directory_valid_ms: Millis,
    /// Shortest lease the store grants.
    pub shortest_lease_ms: Millis,
    /// Writes a second that the store takes from all boxes together.
    pub store_writes_per_s: f64,
}
