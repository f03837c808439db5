//! Records and reports that servers publish about themselves.

use std::net::SocketAddr;

use crate::units::Millis;

/// Short id of an incarnation of a server, in memory and in messages.
pub type ServerKey = u64;

/// A short hash of a server's or an adapter's key in messages. A collision is resolved by the
/// server itself, which rejects requests for what it does not hold.
pub type Fingerprint = u32;

/// Name of an adapter, as `model/name`.
pub type AdapterName = String;

/// Lifecycle state that a server announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes running requests and then exits.
    Draining,
}

impl ServerState {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
        }
    }
}

/// Version of a server's software, which never changes for an incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SoftwareVersion {
    /// The version that its entry names.
    Named(String),
    /// The entry of the incarnation has not been read, so that it may be of any version. The text
    /// tells the incarnation from all others.
    Unread(String),
}

impl SoftwareVersion {
    /// The version that an entry names.
    pub fn named(name: &str) -> Self {
        SoftwareVersion::Named(name.to_string())
    }

    /// The version of an incarnation whose entry has not been read.
    pub fn unread(server_id: &str, born_ms: Option<u64>) -> Self {
        let born = born_ms.map_or(String::new(), |born_ms| born_ms.to_string());
        SoftwareVersion::Unread(format!("unread {server_id} {born}"))
    }

    /// Whether the entry of the incarnation has been read.
    pub fn is_read(&self) -> bool {
        matches!(self, SoftwareVersion::Named(_))
    }

    /// Text that is the same for servers of the same version only.
    pub fn as_str(&self) -> &str {
        match self {
            SoftwareVersion::Named(text) | SoftwareVersion::Unread(text) => text,
        }
    }
}

/// Entry of one incarnation of a server, which lasts from its start to its exit.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Id of the server, which may stay the same over a restart.
    pub id: String,
    /// Start time of this incarnation on the server's own clock; none where it does not report one.
    pub born_ms: Option<u64>,
    /// Service that the server belongs to.
    pub service: String,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Version of its software. Servers of one service may run several versions at the same time.
    pub software_version: SoftwareVersion,
    /// Number of requests that it processes at once.
    pub slots: usize,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Time until it is terminated; none unless it is withdrawn at short notice.
    pub remaining_ms: Option<Millis>,
    /// Remaining time for which it is slow after its start.
    pub slow_for_ms: Millis,
    /// Number of orders that it has accepted.
    pub order_count: u64,
    /// Base models that it holds.
    pub models: Vec<String>,
    /// Adapters that it holds.
    pub adapters: Vec<HeldAdapter>,
}

impl ServerRecord {
    /// The record of a later incarnation of the server, of which only its own report is known.
    pub fn restarted(&self, report: Report) -> Self {
        Self {
            born_ms: report.born_ms,
            software_version: SoftwareVersion::unread(&self.id, report.born_ms),
            order_count: report.order_count,
            models: report.models,
            adapters: report.adapters,
            ..self.clone()
        }
    }

    /// The record without the fields that change with every order.
    pub fn identity(&self) -> Self {
        Self {
            order_count: 0,
            remaining_ms: self.remaining_ms.map(|_| 0),
            adapters: Vec::new(),
            ..self.clone()
        }
    }
}

/// An adapter and its version at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAdapter {
    /// Name of the adapter, as `model/name`.
    pub adapter: AdapterName,
    /// Version of the adapter.
    pub version: u64,
}

/// A server's report of its contents; some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Start time of the reporting incarnation on its own clock; none where it does not report one.
    pub born_ms: Option<u64>,
    /// Number of orders that it has accepted.
    pub order_count: u64,
    /// Whether it is busy with an order that keeps it from accepting others.
    pub is_busy: bool,
    /// Base models that it holds.
    pub models: Vec<String>,
    /// Adapters that it holds.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters that are being loaded.
    pub incoming: Vec<HeldAdapter>,
    /// Adapters that load fast because the server held them recently and has them cached.
    pub at_hand: Vec<HeldAdapter>,
}
