//! What a server says about itself.

use std::net::SocketAddr;

use crate::units::Millis;

/// Short name of an incarnation of a server, in memory and in messages.
pub type ServerKey = u64;

/// A short form of a server's or an adapter's key in messages. Two that share one are told
/// apart by the server itself, which refuses what it does not hold.
pub type Fingerprint = u32;

/// An adapter as `model/name`.
pub type AdapterName = String;

/// The state a server announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Finishes what runs and leaves.
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

/// One incarnation of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerRecord {
    /// Its name; it may have the same one after a restart.
    pub id: String,
    /// When this incarnation of it started, on its own clock; none where it does not say.
    pub born_ms: Option<u64>,
    /// Service it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests it works on at once.
    pub slots: usize,
    /// Whether it takes work.
    pub state: ServerState,
    /// Time it has left, when it is taken away at short notice.
    pub remaining_ms: Option<Millis>,
    /// How much longer it is slow from its start.
    pub slow_for_ms: Millis,
    /// Orders it has taken.
    pub order_count: u64,
    /// Base models it holds.
    pub models: Vec<String>,
    /// Adapters it holds.
    pub adapters: Vec<HeldAdapter>,
}

impl ServerRecord {
    /// The record without what it holds, which changes with every order.
    pub fn identity(&self) -> Self {
        Self {
            order_count: 0,
            remaining_ms: self.remaining_ms.map(|_| 0),
            adapters: Vec::new(),
            ..self.clone()
        }
    }
}

/// An adapter and the version of it that a server holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAdapter {
    /// The adapter as `model/name`.
    pub adapter: AdapterName,
    /// Its version.
    pub version: u64,
}

/// A server's own report, as of some hundred milliseconds before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// When the incarnation that reports started, on its own clock; none where it does not say.
    pub born_ms: Option<u64>,
    /// Orders it has taken.
    pub order_count: u64,
    /// Whether an order is under way that keeps it from taking others.
    pub is_busy: bool,
    /// Base models it holds.
    pub models: Vec<String>,
    /// Adapters it holds.
    pub adapters: Vec<HeldAdapter>,
    /// Adapters on their way to it.
    pub incoming: Vec<HeldAdapter>,
    /// Adapters that load fast because the server had them lately.
    pub at_hand: Vec<HeldAdapter>,
}
