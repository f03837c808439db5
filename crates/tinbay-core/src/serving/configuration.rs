//! The operators' complete configuration as the direct path reads it.

use std::collections::HashMap;

use crate::accounts::table::AccountTable;
use crate::units::Millis;

/// One complete configuration; a higher `version` replaces a lower one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version, rising with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: HashMap<String, Service>,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Client accounts; if there are none, requests need no key.
    pub accounts: AccountTable,
}

/// Whether and how requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Not idempotent: runs at most once.
    Unsafe,
    /// Answers with an event stream; runs at most once unless the route is resumable.
    Streaming,
}

/// Rules for requests to one host below one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Longest time until a request is answered or fails.
    pub timeout_ms: Millis,
    /// Time within which an answer counts as on time.
    pub objective_ms: Millis,
    /// Longest pause between events at which a stream counts as on time; none on routes without
    /// streams.
    pub objective_gap_ms: Option<Millis>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Target services with their weights; a single one of weight 1 where traffic is not split.
    pub targets: Vec<Target>,
    /// Maximum number of servers that one request may be sent to.
    pub most_attempts: u32,
    /// Whether a broken stream may be resumed at another server.
    pub resumable: bool,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// Silence after which callers abandon any stream, however short its objective.
const MIN_FIRST_PIECE_TIMEOUT_MS: Millis = 2_000;

/// Multiple of the objective after which callers abandon a stream that has not begun.
const FIRST_PIECE_OBJECTIVE_FACTOR: Millis = 4;

/// Multiple of the longest allowed pause after which callers abandon a silent stream.
const FIRST_PIECE_GAP_FACTOR: Millis = 8;

impl Route {
    /// How long callers wait for the first piece of a stream before they abandon it; none on routes
    /// without streams.
    pub fn first_piece_timeout_ms(&self) -> Option<Millis> {
        if self.kind != RouteKind::Streaming {
            return None;
        }
        let by_objective_ms = FIRST_PIECE_OBJECTIVE_FACTOR * self.objective_ms;
        let by_gap_ms = FIRST_PIECE_GAP_FACTOR * self.objective_gap_ms.unwrap_or_default();
        Some(
            MIN_FIRST_PIECE_TIMEOUT_MS
                .max(by_objective_ms)
                .max(by_gap_ms),
        )
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// A group of servers that do the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections that each server accepts from all callers together.
    pub most_connections: usize,
    /// Path at which its servers answer health checks.
    pub health_path: String,
    /// Requests per second that a server takes from all boxes together while it is slow after its
    /// start; `None` if that is not bounded.
    pub slow_start_per_s: Option<f64>,
    /// Properties of its model engines; none for plain services.
    pub engine: Option<EngineProperties>,
}

/// Properties of each model engine of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineProperties {
    /// Number of requests in a batch.
    pub batch_slots: usize,
    /// Number of adapters that fit at once.
    pub adapter_slots: usize,
    /// Whether engines can hand running requests over to each other.
    pub supports_handover: bool,
    /// Loads per second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Base models that may be loaded.
    pub models: Vec<ModelSpec>,
}

/// A base model and the memory that it needs.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub name: String,
    /// Memory of its weights, in MB.
    pub weights_mb: f64,
    /// Memory of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Number of its adapters.
    pub adapters: usize,
}

impl EngineProperties {
    /// Total number of adapters over all models.
    pub fn adapters(&self) -> usize {
        self.models.iter().map(|model| model.adapters).sum()
    }
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the request head is complete.
    pub head_timeout_ms: Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
