//! Small stand-ins for the platform and the back ends.
//!
//! Each is an HTTP server on loopback. Faults are set over its `/control` paths, never by
//! the product. They are for tests and trials and make no claim to speed or durability.

pub mod boxes;
pub mod engine;
pub mod kv;
pub mod service;
pub mod weights;

mod reply;

use std::io;
use std::net::TcpListener;

pub use tinbay_http::server::ServerHandle;

/// The kinds of stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The key-value service.
    Kv,
    /// A model engine.
    Engine,
    /// The weight store.
    Weights,
    /// A plain service.
    Service,
    /// The list of boxes.
    Boxes,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Kind; 5] = [
        Kind::Kv,
        Kind::Engine,
        Kind::Weights,
        Kind::Service,
        Kind::Boxes,
    ];

    /// The kind as text.
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

/// How a stand-in is to start.
#[derive(Debug, Clone, Default)]
pub struct StandinSettings {
    /// Settings of an engine.
    pub engine: engine::EngineSettings,
    /// Settings of a weight store.
    pub weights: weights::WeightSettings,
}

/// Starts a stand-in on a listener.
///
/// # Errors
/// When the server cannot start.
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
