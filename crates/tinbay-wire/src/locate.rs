//! Answer of `GET /v1/locate`.

use serde::{Deserialize, Serialize};

/// Where a caller should connect, for how long, and the key for its next request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateAnswer {
    /// Addresses to use, best first.
    pub addresses: Vec<String>,
    /// How long the addresses may be kept.
    pub valid_ms: u64,
    /// Key for one request; every retry of that request carries it.
    pub key: String,
}
