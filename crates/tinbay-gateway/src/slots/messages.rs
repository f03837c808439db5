//! Messages between boxes about slots of brittle servers.

use serde::{Deserialize, Serialize};
use tinbay_core::serving::brittleness::BrittlenessReport;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::slots::home::LeaseEnd;
use tinbay_core::units::Millis;

use crate::servers::Server;

/// Request for a slot of a server whose home is the receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRequestPart {
    /// Fingerprint of the server.
    pub server: Fingerprint,
    /// Number chosen by the sender, the same each time that it repeats the request.
    pub number: u32,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// How long the request may wait for a slot, in ms; 0 for not at all.
    pub max_wait_ms: u16,
    /// Boxes that reported that they can't be the server's home.
    pub excluded: Vec<Fingerprint>,
    /// What the sender knows of the brittleness of the server's service.
    pub brittleness: BrittlenessPart,
}

/// Reply to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReplyPart {
    /// Number of the request.
    pub number: u32,
    /// The reply.
    pub reply: SlotReply,
}

/// Reply of a box to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotReply {
    /// One request may be sent to the server.
    Leased,
    /// No slot becomes free in time.
    Full {
        /// Time until the caller should retry, in ms.
        retry_after_ms: u16,
    },
    /// The request waits; the decision follows.
    Queued,
    /// The sender is not the server's home.
    NotHome {
        /// The box that it takes for the home; `None` if that would be itself, which can't be one
        /// now.
        other: Option<Fingerprint>,
    },
}

/// Report of a box's leases to the home of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotReportPart {
    /// Fingerprint of the server.
    pub server: Fingerprint,
    /// Leases that have ended, by number, and how.
    pub ended: Vec<(u32, LeaseEnd)>,
    /// All leases that the sender holds, to renew them; `None` if the report renews none.
    pub held: Option<Vec<u32>>,
}

impl SlotReportPart {
    /// An empty report on the leases of a server.
    pub fn new(server: &Server) -> Self {
        Self {
            server: server.fingerprint(),
            ended: Vec::new(),
            held: None,
        }
    }
}

/// Services whose servers are brittle.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BrittleServicePart {
    /// Fingerprint of the service's name.
    pub service: Fingerprint,
    /// What is known of its brittleness.
    pub brittleness: BrittlenessPart,
}

/// What one box knows of the brittleness of a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct BrittlenessPart {
    /// Rejections per second that a server survives.
    pub rejections_per_s: f32,
    /// How long the servers have been brittle, in ms.
    pub known_for_ms: u32,
    /// Time since an answer last said so, in ms.
    pub age_ms: u32,
}

impl BrittlenessPart {
    /// Converts a report for a message.
    pub fn new(report: BrittlenessReport) -> Self {
        let capped = |time_ms: Millis| u32::try_from(time_ms).unwrap_or(u32::MAX);
        Self {
            rejections_per_s: report.rejections_per_s as f32,
            known_for_ms: capped(report.known_for_ms),
            age_ms: capped(report.age_ms),
        }
    }

    /// Converts the message back into a report.
    pub fn to_report(self) -> BrittlenessReport {
        BrittlenessReport {
            rejections_per_s: f64::from(self.rejections_per_s),
            known_for_ms: Millis::from(self.known_for_ms),
            age_ms: Millis::from(self.age_ms),
        }
    }
}
