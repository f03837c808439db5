//! Finds the software version that began a stream before the stream is resumed.

use log::Level;
use serde::Serialize;
use tinbay_core::resumption::AttemptDigest;
use tinbay_core::resumption::decision::{Origin, UnknownOrigin, decide};
use tinbay_core::resumption::fingerprint;
use tinbay_core::resumption::homes::ASKED_HOMES;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::asking::ask;
use super::context::ResumptionContext;
use super::eligibility::{has_server_of_origin, resolve_version, version_of};
use super::messages::{OriginReplyPart, OriginRequestPart};
use super::own_knowledge;
use super::recording::record_resumed;
use super::stream_start::StreamStart;
use crate::events::{self, part};
use crate::front::inbound::InboundRequest;
use crate::front::refusal::{NotRunReason, Refusal};
use crate::node::Node;
use crate::peers::frame::FramePart;

/// `Retry-After` while the version that began a stream is not known: its homes may reply by then,
/// to this box or another one.
const RETRY_AFTER_UNKNOWN_MS: Millis = 200;

/// `Retry-After` if no server of the version is left: one may be started again.
const RETRY_AFTER_GONE_MS: Millis = 1_000;

/// How this box learned which version began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// A record of this box.
    OwnRecord,
    /// A record of a home of the attempt.
    HomeRecord,
    /// This box has seen no other version.
    OwnHistory,
    /// Neither this box nor the homes have seen another version.
    HomeHistory,
}

impl OriginSource {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            OriginSource::OwnRecord => "own_record",
            OriginSource::HomeRecord => "home_record",
            OriginSource::OwnHistory => "own_history",
            OriginSource::HomeHistory => "home_history",
        }
    }
}

#[derive(Serialize)]
struct ResumeEvent<'a> {
    request: &'a str,
    resumes: Option<&'a str>,
    service: &'a str,
    /// Version that began the stream; absent if it is not known or has no server here.
    software_version: Option<String>,
    outcome: &'static str,
    /// Age of this box's record.
    #[serde(skip_serializing_if = "Option::is_none")]
    record_age_ms: Option<Millis>,
    asked: usize,
    replies: usize,
    wait_ms: Millis,
    /// Age of this box's view of the servers.
    view_age_ms: Option<Millis>,
    /// Number of versions seen lately.
    versions: usize,
}

/// What is asked about a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginQuestion {
    /// The attempt that brought the first event, if the caller names it.
    pub attempt: Option<AttemptDigest>,
    /// The service.
    pub service: Fingerprint,
    /// Whether the stream may last longer than versions are remembered.
    pub outlasts_history: bool,
}

/// The origin of a stream and how it was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FoundOrigin {
    /// The version that began it, if it is known.
    pub origin: Origin,
    /// How it was found; absent if it is not known.
    pub source: Option<OriginSource>,
    /// Number of boxes asked.
    pub asked: usize,
    /// Number of their replies.
    pub replies: usize,
}

/// Finds the version that began the stream that a request resumes, once for each request.
///
/// # Errors
/// When the version is not known or no server of it is left; the request has then not run.
pub async fn find_origin(node: &Node, inbound: &InboundRequest) -> Result<(), Refusal> {
    let StreamStart::Resumed { attempt } = inbound.stream_start else {
        return Ok(());
    };
    if inbound.origin.get().is_some() {
        return Ok(());
    }
    let began_ms = node.now_ms();
    let question = OriginQuestion {
        attempt,
        service: fingerprint(&inbound.service),
        outlasts_history: inbound.outlasts_version_history(),
    };
    let found = find(node, question).await;
    let result = apply(node, inbound, found.origin);
    log_origin(node, inbound, found, node.now_ms() - began_ms, result);
    result
}

/// Finds the version that began a stream, by what this box knows or, if that is not enough, by
/// asking the homes of the attempt.
pub async fn find(context: &dyn ResumptionContext, question: OriginQuestion) -> FoundOrigin {
    let own = own_knowledge(context, question.attempt, question.service);
    let origin = question.checked(decide([&own]));
    let source = source_of(origin, OriginSource::OwnRecord, OriginSource::OwnHistory);
    let attempt = question.attempt.filter(|_| source.is_none());
    let Some(attempt) = attempt else {
        return FoundOrigin {
            origin,
            source,
            asked: 0,
            replies: 0,
        };
    };
    let homes = context.other_homes(attempt, ASKED_HOMES);
    let replies = ask(context, &homes, attempt, question.service).await;
    let origin = question.checked(decide(replies.iter().chain([&own])));
    FoundOrigin {
        origin,
        source: source_of(origin, OriginSource::HomeRecord, OriginSource::HomeHistory),
        asked: homes.len(),
        replies: replies.len(),
    }
}

impl OriginQuestion {
    /// Rejects an origin that was derived from the versions seen lately if the stream may be older.
    fn checked(self, origin: Origin) -> Origin {
        match origin {
            Origin::Sole(_) if self.outlasts_history => Origin::Unknown(UnknownOrigin::Uncertain),
            origin => origin,
        }
    }
}

fn source_of(
    origin: Origin,
    by_record: OriginSource,
    by_history: OriginSource,
) -> Option<OriginSource> {
    match origin {
        Origin::Recorded(_) => Some(by_record),
        Origin::Sole(_) => Some(by_history),
        Origin::Unknown(_) => None,
    }
}

fn apply(node: &Node, inbound: &InboundRequest, origin: Origin) -> Result<(), Refusal> {
    let version = match origin {
        Origin::Recorded(version) | Origin::Sole(version) => version,
        Origin::Unknown(_) => {
            return Err(Refusal::NotRun {
                reason: NotRunReason::OriginUnknown,
                retry_after_ms: RETRY_AFTER_UNKNOWN_MS,
            });
        }
    };
    let resolved = resolve_version(node, &inbound.service, version);
    inbound.origin.set(Some(resolved));
    record_resumed(node, inbound, version);
    check_server_left(node, inbound)
}

/// Refuses a request at once if no server is left of the version that began its stream.
///
/// # Errors
/// When none is left.
pub fn check_server_left(node: &Node, inbound: &InboundRequest) -> Result<(), Refusal> {
    if has_server_of_origin(node, inbound) {
        return Ok(());
    }
    Err(Refusal::NotRun {
        reason: NotRunReason::OriginGone,
        retry_after_ms: RETRY_AFTER_GONE_MS,
    })
}

/// Answers another box's question.
pub fn handle_request(context: &dyn ResumptionContext, box_id: &str, part: OriginRequestPart) {
    let known = own_knowledge(context, Some(part.attempt), part.service);
    let reply = OriginReplyPart::new(part.number, known);
    context.post(box_id, FramePart::OriginReply(reply));
}

fn log_origin(
    node: &Node,
    inbound: &InboundRequest,
    found: FoundOrigin,
    wait_ms: Millis,
    result: Result<(), Refusal>,
) {
    let outcome = match (found.origin, found.source) {
        (Origin::Unknown(cause), _) => cause.name(),
        _ if result.is_err() => "no_server_left",
        (_, source) => source.map_or("", OriginSource::name),
    };
    node.metrics.resumes.with_label_values(&[outcome]).inc();
    let now_ms = node.now_ms();
    let confirmed_ms = node.replica.confirmed_ms(&node.dialect.keys().servers);
    let origin = inbound.origin.get();
    let service = fingerprint(&inbound.service);
    let event = ResumeEvent {
        request: &inbound.id,
        resumes: inbound.resumed_id(node),
        service: &inbound.service,
        software_version: origin.and_then(|origin| version_name(node, &inbound.service, origin)),
        outcome,
        record_age_ms: record_age_ms(node, inbound, found),
        asked: found.asked,
        replies: found.replies,
        wait_ms,
        view_age_ms: confirmed_ms.map(|confirmed_ms| now_ms.saturating_sub(confirmed_ms)),
        versions: node
            .resumption
            .history
            .borrow()
            .versions(service, now_ms)
            .len(),
    };
    events::emit(part::FRONT, Level::Info, "resume", &event);
}

fn record_age_ms(node: &Node, inbound: &InboundRequest, found: FoundOrigin) -> Option<Millis> {
    let attempt = inbound.stream_start.attempt()?;
    let ledger = node.resumption.ledger.borrow();
    let is_own = found.source == Some(OriginSource::OwnRecord);
    is_own.then(|| ledger.find(attempt, node.now_ms()).1)
}

/// Name of a version, if a server of it is known.
fn version_name(node: &Node, service: &str, version: Fingerprint) -> Option<String> {
    let servers = node.servers.borrow();
    let mut servers = servers.all();
    let found = servers
        .find(|server| server.record().service == service && version_of(server) == version)?;
    Some(found.record().software_version.as_str().to_string())
}
