//! Simulates brittle servers in a fleet of many boxes, in virtual time.
//!
//! Servers fail for some seconds if they have to reject too many requests in a second. Requests
//! arrive at all boxes. Slots are leased out by the code of the core; messages between boxes are
//! delayed, lost and counted. Meanwhile boxes can be killed, frozen, or cut off from the others.
//! The same seed gives the same figures.

mod fleet;
mod play;
mod servers;

pub use play::simulate;

/// How boxes keep their requests within the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SlotStrategy {
    /// Each box keeps to its own share of the slots, which is at least one request.
    Shares,
    /// The home of each server leases slots to all boxes.
    Homes,
}

impl SlotStrategy {
    /// All strategies.
    pub const ALL: [SlotStrategy; 2] = [SlotStrategy::Shares, SlotStrategy::Homes];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            SlotStrategy::Shares => "shares",
            SlotStrategy::Homes => "homes",
        }
    }
}

/// What happens to boxes at the end of the first third of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BoxFault {
    /// Nothing.
    None,
    /// They are killed and don't come back.
    Killed,
    /// They are frozen for some seconds.
    Frozen,
    /// They exchange no messages with the other boxes for some seconds, but reach the servers.
    CutOff,
}

impl BoxFault {
    /// All faults.
    pub const ALL: [BoxFault; 4] = [
        BoxFault::None,
        BoxFault::Killed,
        BoxFault::Frozen,
        BoxFault::CutOff,
    ];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            BoxFault::None => "none",
            BoxFault::Killed => "killed",
            BoxFault::Frozen => "frozen",
            BoxFault::CutOff => "cut_off",
        }
    }
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BrittleParameters {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of servers.
    pub servers: usize,
    /// Slots of each server.
    pub slots: usize,
    /// Requests that each server lets wait for a slot.
    pub waiting: usize,
    /// Rejections per second that a server survives.
    pub rejections_per_s: f64,
    /// Requests per second of all callers.
    pub requests_per_s: f64,
    /// Mean time that a server takes to run a request.
    pub run_ms: u64,
    /// Time within which a request must begin.
    pub begin_within_ms: u64,
    /// Duration of the run in seconds.
    pub seconds: u64,
    /// Fraction of the boxes that a fault strikes, from 0 to 1.
    pub struck: f64,
    /// Fraction of the messages that is lost, from 0 to 1.
    pub lost: f64,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Results of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq, serde::Serialize)]
pub struct BrittleMeasures {
    /// Requests that arrived at boxes that were up.
    pub requests: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Requests that run at the end.
    pub running: u64,
    /// Requests that the slots could have run.
    pub capacity: u64,
    /// Rejections by servers.
    pub rejections: u64,
    /// Failures of servers.
    pub falls: u64,
    /// Failures later than a second after the start.
    pub late_falls: u64,
    /// Bytes per second and box, sent and received.
    pub bytes_per_s: f64,
    /// Bytes of the busiest box in its busiest second, sent and received.
    pub busiest_bytes_per_s: u64,
}

impl BrittleMeasures {
    /// Requests served as a fraction of those that could be: of all, or of what the slots could run
    /// if that is less.
    pub fn served_fraction(&self) -> f64 {
        let run = self.served + self.running;
        run as f64 / self.requests.min(self.capacity).max(1) as f64
    }
}

/// One-way delay of a message between two boxes.
pub const MESSAGE_DELAY_MS: u64 = 1;

/// Size of a message about a slot, including the frame and the headers of the datagram: 60 to 75
/// bytes.
pub const MESSAGE_BYTES: u64 = 70;

/// Time for which boxes are frozen or cut off.
pub const FAULT_MS: u64 = 4_000;

/// Time after which other boxes take a silent box for failed.
pub const SILENT_AFTER_MS: u64 = 2_500;

/// Time within which all boxes agree that another one is silent, or is back.
pub const VIEW_SPREAD_MS: u64 = 500;

/// Time for which a server is down after it failed.
pub const DOWN_MS: u64 = 3_000;
