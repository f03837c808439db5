//! Stand-ins for the platform and the back ends, for tests and demos.
//!
//! Each is an HTTP server on a loopback address. Its `/control` paths inject faults and report
//! calls; only tests use them, never a box. All state is in memory, and throughput does not
//! matter.

pub mod boxes;
pub mod engine;
pub mod kv;
pub mod service;
pub mod weights;

mod reply;

use std::io;
use std::net::TcpListener;

pub use tinbay_http::server::ServerHandle;

/// Kind of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The key-value service.
    Kv,
    /// A model engine.
    Engine,
    /// The weight store.
    Weights,
    /// A plain service without adapters.
    Service,
    /// The platform's list of boxes.
    Boxes,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 5] = [
        Kind::Kv,
        Kind::Engine,
        Kind::Weights,
        Kind::Service,
        Kind::Boxes,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Kv => "kv",
            Kind::Engine => "engine",
            Kind::Weights => "weights",
            Kind::Service => "service",
            Kind::Boxes => "boxes",
        }
    }
}

/// Settings of the stand-ins that have any.
#[derive(Debug, Clone, Default)]
pub struct StandinSettings {
    /// Settings of an engine.
    pub engine: engine::EngineSettings,
    /// Settings of the weight store.
    pub weights: weights::WeightStoreSettings,
}

/// Starts a stand-in on a listener.
///
/// # Errors
/// Returns an error if the server can't start.
pub fn start(
    kind: Kind,
    listener: TcpListener,
    settings: &StandinSettings,
) -> io::Result<ServerHandle> {
    match kind {
        Kind::Kv => kv::start(listener),
        Kind::Engine => engine::start(listener, settings.engine.clone()),
        Kind::Weights => weights::start(listener, settings.weights.clone()),
        Kind::Service => service::start(listener),
        Kind::Boxes => boxes::start(listener),
    }
}
