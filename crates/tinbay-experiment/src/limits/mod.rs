//! Limits of client accounts over many boxes, in virtual time.
//!
//! Accounts of skewed demand ask at all boxes; one of them asks many times its usual for a third of
//! the run, and a part of the boxes is killed in its middle. The decisions are those of the core;
//! messages take a time and are counted. The same seed gives the same figures.

mod demand;
mod measures;
mod play;

pub use measures::{LimitMeasures, Second};
pub use play::play;

/// How limits are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitStrategy {
    /// Each box lives on its share; no messages.
    Shares,
    /// A home for each account deals to all boxes.
    Homes,
}

impl LimitStrategy {
    /// All of them.
    pub const ALL: [LimitStrategy; 2] = [LimitStrategy::Shares, LimitStrategy::Homes];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitStrategy::Shares => "shares",
            LimitStrategy::Homes => "homes",
        }
    }
}

/// What is played.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitTerms {
    /// Boxes.
    pub boxes: usize,
    /// Client accounts.
    pub accounts: usize,
    /// Requests a second of all accounts at their usual.
    pub requests_per_s: f64,
    /// Length of the run.
    pub seconds: u64,
    /// How many times its usual the hot account asks.
    pub hot: f64,
    /// Part of the boxes that is killed in the middle.
    pub killed: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Time of a message between two boxes, one way: half of what it takes between zones with the gap
/// that collects messages.
pub const MESSAGE_MS: u64 = 3;

/// Bytes of a question or an answer with the frame and the datagram's headers.
pub const MESSAGE_BYTES: u64 = 90;

/// Window over which a limit binds.
pub const WINDOW_MS: u64 = 8_000;

/// Part of what a limit allows in a window by which it may be exceeded.
pub const OVERSHOOT: f64 = 0.1;

/// Units by which it may be exceeded besides, and the part of them that shares overdraw.
pub const SLACK: f64 = 110_000.0;
/// Part of the slack that boxes without a home overdraw together.
pub const OVERDRAFT_PART: f64 = 0.5;

/// An account's limit against its usual use.
pub const LIMIT_FACTOR: f64 = 1.8;

/// Least limit of an account, in units a second.
pub const LEAST_LIMIT_PER_S: f64 = 29_000.0;
