//! Message format between boxes.

use serde::{Deserialize, Serialize};
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::ledger::CrashKey;
use tinbay_core::crashes::parts::{CrashReport, PartRefusal, Proof, Suspicion};
use tinbay_core::limits::denied::CallerTry;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::subscribers::AdapterUse;
use tinbay_core::units::Millis;

use crate::limits::limited::LimitKey;
use crate::limits::notices::LimitNoticePart;
use crate::members::MemberRecord;
use crate::resumption::messages::{OriginReplyPart, OriginRequestPart, StreamStartPart};
use crate::sharing::messages::{AdmissionReplyPart, AdmissionRequestPart};
use crate::slots::messages::{BrittleServicePart, SlotReplyPart, SlotReportPart, SlotRequestPart};

/// Largest datagram, which fits into one packet on all usual links.
pub const MAX_FRAME_BYTES: usize = 1_300;

/// One datagram from a box to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Id of the sender.
    pub box_id: String,
    /// Start time of the sender's process in Unix ms, which distinguishes its runs.
    pub incarnation: u64,
    /// Rises with each frame of the run, so that late frames can be detected.
    pub sequence: u64,
    /// Parts, in no particular order.
    pub parts: Vec<FramePart>,
}

/// One part of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FramePart {
    /// The sender's own record.
    Hello(MemberRecord),
    /// Boxes of the sender's availability zone, with the time since each was last heard from, in
    /// ms.
    LastHeard(Vec<(Fingerprint, u16)>),
    /// Report of the sender's zone to other zones, sent by the zone's relays.
    ZoneReport(ZoneReportPart),
    /// Silent boxes of other zones, with the age of the report on each, in ms.
    Silent(Vec<(Fingerprint, u16)>),
    /// Other zones, with the time since each was last heard from, in ms.
    ZonesHeard(Vec<(Fingerprint, u16)>),
    /// A crash under a request that the receiver tracks.
    CrashReport(CrashReportPart),
    /// Quarantined requests, under which servers crash.
    Refused(Vec<RefusedPart>),
    /// Request for units of a limit whose home is the receiver.
    LimitRequest(LimitRequestPart),
    /// Answer to a request for units.
    LimitGrant(LimitGrantPart),
    /// Limit that a server announced, sent to the limit's home, the server's holder and other
    /// boxes.
    ServerLimit(ServerLimitPart),
    /// Request to load an adapter at a server that the receiver holds.
    LoadRequest(LoadRequestPart),
    /// Request for the status of a server that the receiver holds, by the server's fingerprint.
    StatusRequest(Fingerprint),
    /// A server that the receiver holds refused a request for an adapter that it should hold.
    ContentsMismatch(Fingerprint),
    /// Requests that the sender has running at a server that the receiver holds.
    Usage(UsagePart),
    /// Status of a server that the sender holds.
    Status(StatusPart),
    /// Request for capacity at a server that the receiver holds.
    #[serde(rename = "RoomRequest")]
    AdmissionRequest(AdmissionRequestPart),
    /// Reply to a request for capacity.
    AdmissionReply(AdmissionReplyPart),
    /// Start of a stream that the receiver is a home of.
    StreamStart(StreamStartPart),
    /// Question which software version began a stream.
    OriginRequest(OriginRequestPart),
    /// Reply to that question.
    OriginReply(OriginReplyPart),
    /// Message about a prompt part that may crash servers.
    PromptPart(PromptPartMessage),
    /// A crash under a request that the receiver tracks, unless the sender has lost its links.
    PossibleCrash(CrashReportPart),
    /// Services whose servers are brittle.
    BrittleServices(Vec<BrittleServicePart>),
    /// Request for a slot of a brittle server whose home is the receiver.
    SlotRequest(SlotRequestPart),
    /// Reply to a request for a slot.
    SlotReply(SlotReplyPart),
    /// The sender's leases of slots of a server whose home is the receiver.
    SlotReport(SlotReportPart),
}

/// Message about a prompt part that may crash servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PromptPartMessage {
    /// A crash under a request with a part that the receiver tracks.
    Crash(CrashReport),
    /// A part is suspected; whoever has proof of the contrary objects.
    Suspicion(Suspicion),
    /// A part does not crash servers.
    Proof(Proof),
    /// Requests with these parts are refused.
    Refusals(Vec<PartRefusal>),
}

impl PromptPartMessage {
    fn kind(&self) -> &'static str {
        match self {
            PromptPartMessage::Crash(_) => "part_crash",
            PromptPartMessage::Suspicion(_) => "part_suspicion",
            PromptPartMessage::Proof(_) => "part_proof",
            PromptPartMessage::Refusals(_) => "parts_refused",
        }
    }
}

impl FramePart {
    /// Name in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            FramePart::Hello(_) => "hello",
            FramePart::LastHeard(_) => "last_heard",
            FramePart::ZoneReport(_) => "zone_word",
            FramePart::Silent(_) => "silent",
            FramePart::ZonesHeard(_) => "zones_heard",
            FramePart::CrashReport(_) => "crash_report",
            FramePart::Refused(_) => "refused",
            FramePart::LimitRequest(_) => "limit_request",
            FramePart::LimitGrant(_) => "limit_grant",
            FramePart::ServerLimit(_) => "server_limit",
            FramePart::LoadRequest(_) => "load_request",
            FramePart::StatusRequest(_) => "status_request",
            FramePart::ContentsMismatch(_) => "contradiction",
            FramePart::Usage(_) => "usage",
            FramePart::Status(_) => "status",
            FramePart::AdmissionRequest(_) => "room_request",
            FramePart::AdmissionReply(_) => "room_word",
            FramePart::StreamStart(_) => "stream_start",
            FramePart::OriginRequest(_) => "origin_request",
            FramePart::OriginReply(_) => "origin_reply",
            FramePart::PromptPart(message) => message.kind(),
            FramePart::PossibleCrash(_) => "possible_crash",
            FramePart::BrittleServices(_) => "brittle_services",
            FramePart::SlotRequest(_) => "slot_request",
            FramePart::SlotReply(_) => "slot_reply",
            FramePart::SlotReport(_) => "slot_report",
        }
    }

    /// Whether boxes of the previous release can't decode it. They drop the whole frame, so it is
    /// sent in frames without other parts.
    pub fn is_unknown_to_previous_release(&self) -> bool {
        matches!(
            self,
            FramePart::StreamStart(_)
                | FramePart::OriginRequest(_)
                | FramePart::OriginReply(_)
                | FramePart::PromptPart(_)
                | FramePart::PossibleCrash(_)
                | FramePart::BrittleServices(_)
                | FramePart::SlotRequest(_)
                | FramePart::SlotReply(_)
                | FramePart::SlotReport(_)
        )
    }
}

/// Report of one availability zone to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneReportPart {
    /// Boxes of the sender's zone that no box there has heard from recently.
    pub silent: Vec<Fingerprint>,
    /// Other zones, with the time since the sender last heard from each, in ms.
    pub zones_heard: Vec<(Fingerprint, u16)>,
}

/// Report of a server's crash under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReportPart {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Key of the incarnation that crashed.
    pub crash: CrashKey,
}

/// A quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedPart {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Time since it was quarantined, in s.
    pub age_s: u16,
}

/// Request for units of a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitRequestPart {
    /// Key of the limit.
    pub key: LimitKey,
    /// Number chosen by the sender, which the answer repeats; 0 for a prefetch.
    pub number: u32,
    /// Units for which a request waits; 0 for a prefetch.
    pub needed: u32,
    /// Units to prefetch, which the box expects to use soon.
    pub ahead: u32,
    /// Boxes that reported that they can't be the limit's home.
    pub excluded: Vec<Fingerprint>,
    /// The sender's knowledge of the limit if it is a server's.
    pub notice: Option<LimitNoticePart>,
    /// Attempt for which the units are needed; `None` where it doesn't affect who gets them.
    pub caller_try: Option<CallerTryPart>,
}

/// One attempt of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerTryPart {
    /// Identifies the request; all attempts have the same value.
    pub digest: u64,
    /// Time after the first attempt by which the answer is due, in ms.
    pub objective_ms: u16,
}

impl CallerTryPart {
    /// Converts an attempt for a message; a longer objective than fits, about a minute, is capped.
    pub fn new(of: CallerTry) -> Self {
        Self {
            digest: of.digest,
            objective_ms: of.objective_ms.min(Millis::from(u16::MAX)) as u16,
        }
    }

    /// Converts the message back into an attempt.
    pub fn to_try(self) -> CallerTry {
        CallerTry {
            digest: self.digest,
            objective_ms: Millis::from(self.objective_ms),
        }
    }
}

/// Limit that a server announced.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerLimitPart {
    /// Fingerprint of the server.
    pub server: Fingerprint,
    /// The limit with the age of its announcement.
    pub notice: LimitNoticePart,
}

/// Answer of a box to a request for units of a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitGrantPart {
    /// Key of the limit.
    pub key: LimitKey,
    /// Number of the request that is answered.
    pub number: u32,
    /// Whether the sender is the limit's home; otherwise it grants nothing.
    pub is_home: bool,
    /// Box that the sender takes for the home; `None` if that would be the sender itself, which
    /// can't be one now.
    pub other: Option<Fingerprint>,
    /// Granted units.
    pub units: u32,
    /// If the needed units are not granted: time until the limit has them, in ms.
    #[serde(rename = "room_in_ms")]
    pub retry_after_ms: Option<u16>,
    /// The sender's knowledge of the limit if it is a server's.
    pub notice: Option<LimitNoticePart>,
}

/// Request to load an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequestPart {
    /// Fingerprint of the server.
    pub server: Fingerprint,
    /// The adapter as `model/name`, or a base model.
    pub adapter: String,
    /// Requested version; `None` if the caller named none.
    pub version: Option<u64>,
    /// Whether it is an additional copy for which no request waits.
    pub is_copy: bool,
}

/// A box's requests at a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePart {
    /// Fingerprint of the server.
    pub server: Fingerprint,
    /// Running and newly begun requests by adapter.
    pub uses: Vec<AdapterUse>,
    /// Penalty for failures since the last such part, in percent.
    #[serde(rename = "mistrust_percent")]
    pub failure_penalty_percent: u16,
    /// Last time to the first byte in percent of the objective; `None` if there is no new one.
    pub delay_percent: Option<u16>,
}

/// Status of a server by its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusPart {
    /// Fingerprint of the server.
    pub server: Fingerprint,
    /// Requests that other boxes than the receiver have running there.
    pub running_elsewhere: u16,
    /// Usual time to the first byte in percent of the objective.
    pub delay_percent: u16,
    /// Time the server needs for the prompts queued ahead of a new request, in ms.
    pub backlog_ms: u16,
    /// Penalty for failed requests of all boxes, in percent.
    #[serde(rename = "mistrust_percent")]
    pub failure_penalty_percent: u16,
    /// Whether the server could begin a load.
    pub takes_loads: bool,
    /// Expected time until a load requested now is finished, in ms.
    pub load_wait_ms: u16,
    /// The server's limit; `None` if it never announced one.
    pub limit: Option<LimitNoticePart>,
    /// Adapters that occupy a slot of the server.
    pub adapters: Vec<AdapterPart>,
    /// Whether requests need the sender's admission.
    pub is_scarce: bool,
}

/// An adapter that occupies a slot of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterPart {
    /// Fingerprint of the adapter.
    pub adapter: Fingerprint,
    /// Version; 0 if it is not known.
    pub version: u32,
    /// Whether it is ready; otherwise it is still loading.
    pub is_ready: bool,
    /// Number of servers over which it is spread, counted along its order of preferred servers.
    pub copies: u8,
}

/// Converts a fraction to percent, capped to what fits.
pub fn to_percent(part: f64) -> u16 {
    (part * 100.0).clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Converts percent to a fraction.
pub fn from_percent(percent: u16) -> f64 {
    f64::from(percent) / 100.0
}
