//! Simulates the limits of client accounts in a fleet of many boxes, in virtual time.
//!
//! Accounts with a skewed load send requests to all boxes. During the second third of the run one
//! account sends a multiple of its usual load, and in the middle of the run a fraction of the boxes
//! is killed. Limits are enforced by the code of the core; messages between boxes are delayed and
//! counted. The same seed gives the same figures.

mod demand;
mod measures;
mod play;

pub use measures::{LimitMeasures, Second};
pub use play::simulate;

/// How limits are enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitStrategy {
    /// Each box only uses its own share of the limit, without messages.
    Shares,
    /// The home of each account grants units to all boxes.
    Homes,
}

impl LimitStrategy {
    /// All strategies.
    pub const ALL: [LimitStrategy; 2] = [LimitStrategy::Shares, LimitStrategy::Homes];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            LimitStrategy::Shares => "shares",
            LimitStrategy::Homes => "homes",
        }
    }
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SimulationParameters {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of client accounts.
    pub accounts: usize,
    /// Requests per second of all accounts together at their usual load.
    pub requests_per_s: f64,
    /// Duration of the run in seconds.
    pub seconds: u64,
    /// Factor of the hot account's load while it is hot.
    pub hot: f64,
    /// Fraction of the boxes that is killed in the middle of the run.
    pub killed: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// One-way delay of a message between two boxes: half of a round trip between zones, including the
/// interval in which a box collects messages before it sends them.
pub const MESSAGE_DELAY_MS: u64 = 3;

/// Size of a request for units or a grant, including the frame and the headers of the datagram.
pub const MESSAGE_BYTES: u64 = 90;

/// Window over which a limit applies.
pub const WINDOW_MS: u64 = 8_000;

/// Fraction of the units of a window by which a limit may be exceeded.
pub const OVERSHOOT_FRACTION: f64 = 0.1;

/// Units by which a limit may be exceeded in addition.
pub const OVERSHOOT_UNITS: f64 = 110_000.0;

/// Fraction of [`OVERSHOOT_UNITS`] by which boxes without a home may overdraw their shares
/// together.
pub const OVERDRAFT_FRACTION: f64 = 0.5;

/// Ratio of an account's limit to its usual load.
pub const LIMIT_TO_USUAL_LOAD: f64 = 1.8;

/// Minimum limit of an account, in units per second.
pub const MIN_LIMIT_PER_S: f64 = 29_000.0;
