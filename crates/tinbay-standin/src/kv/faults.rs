//! Faults of the key-value stand-in and its count of calls.

use serde::{Deserialize, Serialize};

/// Whether the service answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It answers.
    #[default]
    Up,
    /// It refuses every call at once.
    Refuse,
    /// It takes calls and never answers.
    Hang,
}

/// Body of `POST /control/faults`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KvFaults {
    /// Whether it answers.
    pub mode: Mode,
    /// Added to every call.
    pub delay_ms: u64,
    /// Whether watches stay open and say nothing.
    pub mute_watches: bool,
    /// So many of the next writes take effect and are answered with an error.
    pub lose_write_replies: u32,
}

/// Answer of `GET /control/calls`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct CallCounts {
    /// Ranges.
    pub reads: u64,
    /// Transactions and lease calls.
    pub writes: u64,
    /// Watches begun.
    pub watches: u64,
}
