//! Messages between boxes about admission at a scarce backend server.

use serde::{Deserialize, Serialize};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::sharing::admission::{AdmissionAnswer, AdmissionId, AdmissionRequest};
use tinbay_core::units::Millis;

/// Admission request for a server that the receiver holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionRequestPart {
    /// Server at which the request would run.
    pub server: Fingerprint,
    /// Number chosen by the sender, which the reply repeats.
    pub number: u32,
    /// Fingerprint of the client account's name.
    pub account: Fingerprint,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Prompt and output tokens that the request costs.
    pub units: u32,
    /// Time the server needs to process the prompt, in ms.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: u16,
    /// Time within which the request must start in order to meet its objective, in ms.
    pub in_time_ms: u16,
    /// Identifies the request; a retry has the same value.
    pub digest: u64,
}

impl AdmissionRequestPart {
    /// Converts the message into a request of the box `box_key`.
    pub fn to_request(self, box_key: Fingerprint) -> AdmissionRequest {
        let number = self.number;
        AdmissionRequest {
            id: AdmissionId { box_key, number },
            account: self.account,
            rank: self.rank,
            units: f64::from(self.units),
            prefill_ms: f64::from(self.prefill_ms),
            in_time_ms: Millis::from(self.in_time_ms),
            digest: self.digest,
        }
    }
}

/// Reply of a server's holder to an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionReplyPart {
    /// Number of the request that is answered.
    pub number: u32,
    /// State of the request at the holder.
    pub reply: AdmissionReply,
}

/// State of an admission request at the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionReply {
    /// The request is queued; another reply follows.
    Queued,
    /// The request may run.
    Admitted,
    /// The request can't start in time and must not run.
    Rejected {
        /// Time after which a retry can succeed, in ms.
        retry_after_ms: u16,
    },
    /// The receiver of the request doesn't hold the server.
    NotHolder,
}

impl From<AdmissionAnswer> for AdmissionReply {
    fn from(answer: AdmissionAnswer) -> Self {
        match answer {
            AdmissionAnswer::Admitted => AdmissionReply::Admitted,
            AdmissionAnswer::Rejected { retry_after_ms } => AdmissionReply::Rejected {
                retry_after_ms: u16::try_from(retry_after_ms).unwrap_or(u16::MAX),
            },
        }
    }
}
