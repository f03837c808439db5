//! Simulates a prompt part that crashes servers in a fleet of many boxes, in virtual time.
//!
//! Accounts and sessions send requests to all boxes, whose servers answer them. From a moment on,
//! different requests with one part crash each server that begins to answer; in a second kind of run
//! a zone's servers all end at the same moment, and no part is the cause. Each box judges by the code
//! of the core; messages between boxes are delayed, lost and counted. The same seed gives the same
//! figures.

mod demand;
mod fleet;
mod play;

pub use play::{CrashMeasures, simulate};

/// Why servers crash in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashCause {
    /// A part of prompts.
    PromptPart,
    /// All servers of one zone end at the same moment.
    ZoneEnds,
}

impl CrashCause {
    /// All causes.
    pub const ALL: [CrashCause; 2] = [CrashCause::PromptPart, CrashCause::ZoneEnds];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            CrashCause::PromptPart => "prompt_part",
            CrashCause::ZoneEnds => "zone_ends",
        }
    }
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CrashParameters {
    /// Number of boxes.
    pub boxes: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of servers.
    pub servers: usize,
    /// Number of client accounts, whose prompts have a first part in common.
    pub accounts: usize,
    /// Number of sessions, whose prompts have a second part in common.
    pub sessions: usize,
    /// Sound requests per second.
    pub requests_per_s: f64,
    /// Requests per second with the part that crashes servers.
    pub crashing_per_s: f64,
    /// Time with sound requests alone, in seconds; 0 is a fleet that has just started.
    pub warm_up_s: u64,
    /// Time from then to the end, in seconds.
    pub seconds: u64,
    /// Fraction of the messages between boxes that is lost.
    pub lost: f64,
    /// Seed of all random choices.
    pub seed: u64,
}
