//! Response of `GET /v1/locate`.

use serde::{Deserialize, Serialize};

/// Addresses that a caller should connect to, how long they are valid, and the key for its next
/// request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateAnswer {
    /// Addresses in order of preference.
    pub addresses: Vec<String>,
    /// Time for which the addresses may be cached.
    pub valid_ms: u64,
    /// Key for one request, to be sent with every retry of that request too.
    pub key: String,
}
