//! The operators' whole configuration as the direct path reads it.

use std::collections::HashMap;

use crate::accounts::table::AccountTable;
use crate::units::Millis;

/// One whole configuration; a higher `version` replaces a lower one.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version, rising with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: HashMap<String, Service>,
    /// What a caller may send.
    pub limits: Limits,
    /// Client accounts; without any, requests need no key.
    pub accounts: AccountTable,
}

/// What decides whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answers with a stream of events; at most once unless the route is resumable.
    Streaming,
}

/// Requests of one host below one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host the caller names.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a request is held.
    pub timeout_ms: Millis,
    /// Time within which an answer earns its full credit.
    pub objective_ms: Millis,
    /// Longest pause between events of a stream in time; none where there is no stream.
    pub objective_gap_ms: Option<Millis>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services and their shares; one with weight 1 where there is no split.
    pub targets: Vec<Target>,
    /// Most servers one request may be sent to.
    pub most_attempts: u32,
    /// Whether a broken stream may go on at another server.
    pub resumable: bool,
    /// Whether it may be asked without a key.
    pub is_public: bool,
}

/// Silence after which callers give up any stream, however short its objective.
const LEAST_STREAM_PATIENCE_MS: Millis = 2_000;

/// Objectives after which callers give up a stream that has not begun.
const PATIENCE_OBJECTIVES: Millis = 4;

/// Longest pauses in time after which callers give up a silent stream.
const PATIENCE_GAPS: Millis = 8;

impl Route {
    /// How long callers wait for the first piece of a stream; none where there is no stream.
    pub fn stream_patience_ms(&self) -> Option<Millis> {
        if self.kind != RouteKind::Streaming {
            return None;
        }
        let by_objective_ms = PATIENCE_OBJECTIVES * self.objective_ms;
        let by_gap_ms = PATIENCE_GAPS * self.objective_gap_ms.unwrap_or_default();
        Some(LEAST_STREAM_PATIENCE_MS.max(by_objective_ms).max(by_gap_ms))
    }
}

/// One share of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Service that gets this share.
    pub service: String,
    /// Weight among the targets of the route.
    pub weight: u32,
}

/// A group of servers that do the same work.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Connections each server accepts from all callers together.
    pub most_connections: usize,
    /// What its model engines hold; none for plain services.
    pub engine: Option<EngineSpec>,
}

/// What each model engine of a service has room for.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests in a batch.
    pub batch_slots: usize,
    /// Adapters held at once.
    pub adapter_slots: usize,
    /// Whether they hand running requests over to each other.
    pub moves_runs: bool,
    /// Loads a second that the weight store allows over all engines.
    pub loads_per_s: f64,
    /// Memory for weights and adapters together.
    pub weights_mb: f64,
    /// Base models that may be loaded.
    pub models: Vec<ModelSpec>,
}

/// A base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: String,
    /// Memory of its weights.
    pub weights_mb: f64,
    /// Memory of one adapter.
    pub adapter_mb: f64,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time until the head is whole.
    pub head_timeout_ms: Millis,
    /// Longest rest of a connection.
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
