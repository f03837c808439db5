//! Messages between boxes about the starts of streams.

use serde::{Deserialize, Serialize};
use tinbay_core::resumption::AttemptDigest;
use tinbay_core::resumption::decision::Knowledge;
use tinbay_core::resumption::ledger::{Recorded, StreamStart};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

/// Upper bound on versions in a reply. Two are enough to show that there are several.
const MAX_VERSIONS: usize = 4;

/// Start of a stream, sent to the homes of its attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamStartPart {
    /// The caller's attempt that brought the first event.
    pub attempt: AttemptDigest,
    /// The service.
    pub service: Fingerprint,
    /// The software version that began the stream.
    pub version: Fingerprint,
    /// Time for which the caller may resume it, in ms.
    pub left_ms: u32,
}

impl StreamStartPart {
    /// Converts a record for a message.
    pub fn new(start: StreamStart, now_ms: Millis) -> Self {
        let left_ms = start.until_ms.saturating_sub(now_ms);
        Self {
            attempt: start.attempt,
            service: start.service,
            version: start.version,
            left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
        }
    }

    /// Converts the message back into a record.
    pub fn to_start(self, now_ms: Millis) -> StreamStart {
        StreamStart {
            attempt: self.attempt,
            service: self.service,
            version: self.version,
            until_ms: now_ms + Millis::from(self.left_ms),
        }
    }
}

/// Question which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRequestPart {
    /// Number chosen by the sender, which the reply repeats.
    pub number: u32,
    /// The caller's attempt that brought the first event.
    pub attempt: AttemptDigest,
    /// The service.
    pub service: Fingerprint,
}

/// Reply to the question which version began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReplyPart {
    /// Number of the question.
    pub number: u32,
    /// What the sender has recorded.
    pub recorded: RecordedPart,
    /// Versions of the service that the sender has seen lately.
    pub versions: Vec<Fingerprint>,
    /// Whether no other version can have begun a stream that still lasts.
    pub is_complete: bool,
}

/// What a box has recorded of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedPart {
    /// Nothing.
    Nothing,
    /// The version that began it.
    Version(Fingerprint),
    /// Different versions.
    Conflicting,
}

impl OriginReplyPart {
    /// Converts what a box knows for a message.
    pub fn new(number: u32, known: Knowledge) -> Self {
        let mut versions = known.versions;
        versions.truncate(MAX_VERSIONS);
        Self {
            number,
            recorded: match known.recorded {
                Recorded::Nothing => RecordedPart::Nothing,
                Recorded::Version(version) => RecordedPart::Version(version),
                Recorded::Conflicting => RecordedPart::Conflicting,
            },
            versions,
            is_complete: known.is_complete,
        }
    }

    /// Converts the message back.
    pub fn to_knowledge(self) -> Knowledge {
        Knowledge {
            recorded: match self.recorded {
                RecordedPart::Nothing => Recorded::Nothing,
                RecordedPart::Version(version) => Recorded::Version(version),
                RecordedPart::Conflicting => Recorded::Conflicting,
            },
            versions: self.versions,
            is_complete: self.is_complete,
        }
    }
}
