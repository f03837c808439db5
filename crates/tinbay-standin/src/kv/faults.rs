//! Injected faults and call counts of the key-value stand-in.

use serde::{Deserialize, Serialize};

/// How the service responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseMode {
    /// Handles them.
    #[default]
    Up,
    /// Responds to every call with status 503 at once.
    Refuse,
    /// Accepts calls without a timely response.
    Hang,
}

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KvFaults {
    /// How it responds to calls.
    pub mode: ResponseMode,
    /// Delay of every call.
    pub delay_ms: u64,
    /// Whether watches stay open without sending changes.
    pub mute_watches: bool,
    /// Number of next transactions that take effect although their response is an error.
    pub lose_write_replies: u32,
}

/// Response of `GET /control/calls`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Range requests.
    pub reads: u64,
    /// Transactions and lease calls.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
}
