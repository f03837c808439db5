//! The message between boxes.

use serde::{Deserialize, Serialize};
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::ledger::CrashKey;
use tinbay_core::limits::denied::CallerTry;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::subscribers::AdapterUse;
use tinbay_core::units::Millis;

use crate::limits::limited::LimitKey;
use crate::limits::notices::LimitNoticePart;
use crate::members::MemberRecord;
use crate::sharing::messages::{RoomReplyPart, RoomRequestPart};

/// Longest datagram: what fits into one packet of any usual link.
pub const MOST_BYTES: usize = 1_300;

/// What one box tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// The sender.
    pub box_id: String,
    /// Start of the sender's process, to tell its runs apart.
    pub incarnation: u64,
    /// Rises with each frame of the run.
    pub sequence: u64,
    /// What it has to say.
    pub parts: Vec<FramePart>,
}

/// One part of what a box has to say.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FramePart {
    /// What the sender says about itself.
    Hello(MemberRecord),
    /// When boxes of its availability zone were last heard, and how long ago in ms.
    LastHeard(Vec<(Fingerprint, u16)>),
    /// What the sender says to other zones, as one of the few that speak for its own.
    ZoneWord(ZoneWordPart),
    /// Boxes of other zones that are silent, and how old that word is in ms.
    Silent(Vec<(Fingerprint, u16)>),
    /// When other zones were last heard, and how long ago in ms.
    ZonesHeard(Vec<(Fingerprint, u16)>),
    /// A crash under a request that the receiver judges.
    CrashReport(CrashReportPart),
    /// Requests that are refused, as servers crash under them.
    Refused(Vec<RefusedPart>),
    /// What the sender wants of a limit that the receiver keeps for all boxes.
    LimitRequest(LimitRequestPart),
    /// What the receiver may let in of a limit.
    LimitGrant(LimitGrantPart),
    /// What a server told the sender of its limit, which the receiver keeps, or whose server it holds.
    ServerLimit(ServerLimitPart),
    /// What a request needs of a server that the receiver holds.
    LoadRequest(LoadRequestPart),
    /// A request for the status of a server that the receiver holds.
    StatusRequest(Fingerprint),
    /// A server that the receiver holds refused a request for an adapter that it should hold.
    Contradiction(Fingerprint),
    /// All that the sender has running at a server that the receiver holds.
    Usage(UsagePart),
    /// The status of a server that the sender holds.
    Status(StatusPart),
    /// A request that asks for room at a server that the receiver holds.
    RoomRequest(RoomRequestPart),
    /// What becomes of a request that asked for room.
    RoomReply(RoomReplyPart),
}

impl FramePart {
    /// Name for measures.
    pub fn kind(&self) -> &'static str {
        match self {
            FramePart::Hello(_) => "hello",
            FramePart::LastHeard(_) => "last_heard",
            FramePart::ZoneWord(_) => "zone_word",
            FramePart::Silent(_) => "silent",
            FramePart::ZonesHeard(_) => "zones_heard",
            FramePart::CrashReport(_) => "crash_report",
            FramePart::Refused(_) => "refused",
            FramePart::LimitRequest(_) => "limit_request",
            FramePart::LimitGrant(_) => "limit_grant",
            FramePart::ServerLimit(_) => "server_limit",
            FramePart::LoadRequest(_) => "load_request",
            FramePart::StatusRequest(_) => "status_request",
            FramePart::Contradiction(_) => "contradiction",
            FramePart::Usage(_) => "usage",
            FramePart::Status(_) => "status",
            FramePart::RoomRequest(_) => "room_request",
            FramePart::RoomReply(_) => "room_word",
        }
    }
}

/// What one availability zone tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneWordPart {
    /// Boxes of the sender's zone that nobody there hears.
    pub silent: Vec<Fingerprint>,
    /// Other zones that the sender hears, and how long ago in ms.
    pub zones_heard: Vec<(Fingerprint, u16)>,
}

/// A crash under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReportPart {
    /// The request.
    pub digest: RequestDigest,
    /// The crash.
    pub crash: CrashKey,
}

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedPart {
    /// The request.
    pub digest: RequestDigest,
    /// For how long it has been, in s.
    pub age_s: u16,
}

/// What a box wants of a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitRequestPart {
    /// The limit.
    pub key: LimitKey,
    /// Number of the question, which the answer repeats.
    pub number: u32,
    /// Units that a request waits for; 0 where none does.
    pub needed: u32,
    /// Units that the box would use soon besides.
    pub ahead: u32,
    /// Boxes that said of themselves that they can't keep the limit.
    pub excluded: Vec<Fingerprint>,
    /// What the sender knows of a server's limit.
    pub notice: Option<LimitNoticePart>,
    /// The try for which units are needed, where that matters for who gets them.
    pub caller_try: Option<CallerTryPart>,
}

/// One try of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerTryPart {
    /// Tells one request from another.
    pub digest: u64,
    /// Time after its first try by which its answer is late, in ms.
    pub objective_ms: u16,
}

impl CallerTryPart {
    /// A try as it is told; an objective beyond a minute is told as that.
    pub fn new(of: CallerTry) -> Self {
        Self {
            digest: of.digest,
            objective_ms: of.objective_ms.min(Millis::from(u16::MAX)) as u16,
        }
    }

    /// The try that was told.
    pub fn to_try(self) -> CallerTry {
        CallerTry {
            digest: self.digest,
            objective_ms: Millis::from(self.objective_ms),
        }
    }
}

/// What a server told a box of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerLimitPart {
    /// The server.
    pub server: Fingerprint,
    /// What it said.
    pub notice: LimitNoticePart,
}

/// What a box may let in of a limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitGrantPart {
    /// The limit.
    pub key: LimitKey,
    /// Number of the question.
    pub number: u32,
    /// Whether the sender keeps the limit; else it gives nothing.
    pub is_home: bool,
    /// The box that the sender takes for the one that does; none where it can't be one itself.
    pub other: Option<Fingerprint>,
    /// Units.
    pub units: u32,
    /// Where what was needed is not given: time until there is room for it, in ms.
    pub room_in_ms: Option<u16>,
    /// What the sender knows of a server's limit.
    pub notice: Option<LimitNoticePart>,
}

/// What a request needs of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRequestPart {
    /// The server.
    pub server: Fingerprint,
    /// The adapter as `model/name`, or a base model.
    pub adapter: String,
    /// The version that was named, if one was.
    pub version: Option<u64>,
    /// Whether no request waits for it.
    pub is_copy: bool,
}

/// All that a box has running at a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePart {
    /// The server.
    pub server: Fingerprint,
    /// Requests by adapter.
    pub uses: Vec<AdapterUse>,
    /// Mistrust by failures since the last such part, in hundredths.
    pub mistrust_percent: u16,
    /// The last time to the first byte as hundredths of the objective, if one is new.
    pub delay_percent: Option<u16>,
}

/// What a server's holder believes of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusPart {
    /// The server.
    pub server: Fingerprint,
    /// Requests that run there for other boxes than the receiver.
    pub running_elsewhere: u16,
    /// Usual time to the first byte as hundredths of the objective.
    pub delay_percent: u16,
    /// What the server has to read before it begins a new request, in ms.
    pub backlog_ms: u16,
    /// Mistrust in the server over all boxes, in hundredths.
    pub mistrust_percent: u16,
    /// Whether a load could begin.
    pub takes_loads: bool,
    /// Expected time until a load that is asked for now is done, in ms.
    pub load_wait_ms: u16,
    /// What is known of the server's limit.
    pub limit: Option<LimitNoticePart>,
    /// All adapters that take a place.
    pub adapters: Vec<AdapterPart>,
    /// Whether requests have to ask the sender for room.
    pub is_scarce: bool,
}

/// An adapter that takes a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterPart {
    /// The adapter.
    pub adapter: Fingerprint,
    /// Its version; 0 where it is not known.
    pub version: u32,
    /// Whether it can serve.
    pub is_ready: bool,
    /// Servers of its order over which it is spread.
    pub copies: u8,
}

/// A part of an objective as hundredths.
pub fn to_percent(part: f64) -> u16 {
    (part * 100.0).clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Hundredths as a part of an objective.
pub fn from_percent(percent: u16) -> f64 {
    f64::from(percent) / 100.0
}
