//! The request log: an event for each attempt and one for the end of a request.

use hyper::StatusCode;
use log::Level;
use serde::Serialize;
use tinbay_core::units::{MS_PER_SECOND, Millis};

use super::answer_timing::{AnswerEnd, AnswerTiming};
use super::attempt::AttemptResult;
use super::inbound::InboundRequest;
use super::refusal::Refusal;
use crate::crashes::check::list_parts;
use crate::events::{self, part};
use crate::http::framing::{BodyEnd, BodyFraming};
use crate::http::relay::RelayEnd;
use crate::node::Node;
use crate::servers::Server;

#[derive(Serialize)]
struct AttemptEvent<'a> {
    request: &'a str,
    server: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<&'static str>,
    status: Option<u16>,
    running: usize,
    age_ms: Millis,
    expected_version: Option<u64>,
    named_version: Option<u64>,
    named_age_ms: Option<Millis>,
}

/// Logs an attempt.
pub fn log_attempt(node: &Node, inbound: &InboundRequest, server: &Server, result: &AttemptResult) {
    let cause = match result {
        AttemptResult::Unknown { cause } => Some(cause.name()),
        AttemptResult::NotSent { error } => Some(error.name()),
        _ => None,
    };
    let (outcome, status, level) = match result {
        AttemptResult::Answering(answer) => {
            let status = answer.head.status;
            let level = if status == StatusCode::OK {
                Level::Debug
            } else {
                Level::Info
            };
            ("begun", Some(status.as_u16()), level)
        }
        AttemptResult::Declined { status } => ("declined", Some(status.as_u16()), Level::Info),
        AttemptResult::Displaced => ("displaced", None, Level::Info),
        AttemptResult::Withdrawn { .. } => ("withdrawn", None, Level::Info),
        AttemptResult::NotSent { .. } => ("not_sent", None, Level::Info),
        AttemptResult::Unknown { .. } => ("unknown", None, Level::Info),
    };
    let sent = inbound.last_send.get();
    let event = AttemptEvent {
        request: &inbound.id,
        server: &server.record().id,
        outcome,
        cause,
        status,
        running: server.running(node.now_ms()),
        age_ms: node.now_ms() - inbound.arrived_ms,
        expected_version: sent.and_then(|sent| sent.expected_version),
        named_version: sent.and_then(|sent| sent.named_version),
        named_age_ms: sent.and_then(|sent| sent.named_age_ms),
    };
    events::emit(part::FRONT, level, "try", &event);
}

#[derive(Serialize)]
struct ForwardEvent<'a> {
    request: &'a str,
    to: &'a str,
    outcome: &'a str,
    age_ms: Millis,
}

/// Logs the offer of a request to another box.
pub fn log_forward(node: &Node, inbound: &InboundRequest, to: &str, outcome: &str) {
    let event = ForwardEvent {
        request: &inbound.id,
        to,
        outcome,
        age_ms: node.now_ms() - inbound.arrived_ms,
    };
    let level = if outcome == "answered" {
        Level::Debug
    } else {
        Level::Info
    };
    events::emit(part::FRONT, level, "forward", &event);
}

/// How an answer ended.
pub enum Ending {
    /// The server's answer was relayed, completely or cut off.
    Relayed(RelayEnd),
    /// The box itself answered.
    Refused(Refusal),
}

#[derive(Serialize)]
struct EndEvent<'a> {
    request: &'a str,
    route: &'a str,
    service: &'a str,
    configuration: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    account: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    proof_age_ms: Option<Millis>,
    #[serde(skip_serializing_if = "Option::is_none")]
    admitted_by: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    units: Option<f64>,
    /// Whether another box forwarded the request to this one.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    is_forwarded: bool,
    /// State of the run's handover.
    #[serde(skip_serializing_if = "Option::is_none")]
    handover: Option<&'static str>,
    /// Number of servers passed over because they were at their rate limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    at_limits: Option<u32>,
    /// Outcome of asking for admission to an overloaded server.
    #[serde(skip_serializing_if = "Option::is_none")]
    room: Option<&'static str>,
    /// Time spent waiting for that outcome.
    #[serde(skip_serializing_if = "Option::is_none")]
    room_wait_ms: Option<Millis>,
    model: Option<&'a str>,
    server: Option<&'a str>,
    status: u16,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<String>,
    /// How the end of the answer was to be marked, if neither by a length nor by chunks.
    #[serde(skip_serializing_if = "Option::is_none")]
    framing: Option<&'static str>,
    /// How such an answer ended, if it was taken for complete.
    #[serde(skip_serializing_if = "Option::is_none")]
    ended: Option<&'static str>,
    /// Bytes of an incomplete event at the end of such an answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    partial_event_bytes: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
    /// Shared parts of the prompt, beside the digest.
    #[serde(skip_serializing_if = "Option::is_none")]
    parts: Option<String>,
    sent_after_ms: Option<Millis>,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    named_version: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    named_age_ms: Option<Millis>,
    head_ms: Option<Millis>,
    #[serde(flatten)]
    timing: AnswerTiming,
    total_ms: Millis,
}

/// Logs the end of a request and records its metrics.
pub fn log_end(
    node: &Node,
    inbound: &InboundRequest,
    server: Option<&str>,
    status: u16,
    head_ms: Option<Millis>,
    ending: &Ending,
) {
    let (outcome, cause) = match ending {
        Ending::Relayed(end) => match end.result {
            Ok(_) if status < 400 => ("answered", None),
            Ok(_) => ("failed_by_server", None),
            Err(error) => ("cut", Some(error.to_string())),
        },
        Ending::Refused(refusal) => (refusal.name(), Some(refusal.to_string())),
    };
    let relayed = match ending {
        Ending::Relayed(end) => Some(end),
        Ending::Refused(_) => None,
    };
    let unframed = relayed.filter(|end| end.framing == BodyFraming::UntilClose);
    let sent = inbound.last_send.get();
    let now_ms = node.now_ms();
    let timing = AnswerTiming::new(inbound, answer_end(status, ending), now_ms);
    let is_served = relayed.is_some_and(|end| end.result.is_ok());
    let digest = inbound.digests().next().filter(|_| !is_served);
    let event = EndEvent {
        request: &inbound.id,
        route: &inbound.route.name,
        service: &inbound.service,
        configuration: inbound.in_force.configuration.version,
        account: inbound.client_account().map(|account| &*account.name),
        admitted_by: inbound.admitted.get().map(|admitted| admitted.by.name()),
        units: inbound.admitted.get().map(|admitted| admitted.units),
        is_forwarded: inbound.is_forwarded,
        handover: inbound.handover.get().map(|handover| handover.name()),
        room: inbound.admission.outcome().map(|outcome| outcome.name()),
        room_wait_ms: inbound.admission.wait_ms(),
        at_limits: Some(inbound.at_limits.get()).filter(|count| *count > 0),
        proof_age_ms: inbound.account.get().map(|checked| checked.proof_age_ms),
        model: inbound.model.as_deref(),
        server,
        status,
        outcome,
        digest: digest.map(|digest| digest.to_string()),
        parts: digest.map(|_| list_parts(&inbound.shared_parts)),
        cause,
        framing: unframed.map(|end| end.framing.name()),
        ended: unframed.and_then(|end| end.result.ok()).map(BodyEnd::name),
        partial_event_bytes: unframed.map(|end| end.partial_event_bytes),
        sent_after_ms: sent.map(|sent| sent.after_ms),
        expected_version: sent.and_then(|sent| sent.expected_version),
        named_version: sent.and_then(|sent| sent.named_version),
        named_age_ms: sent.and_then(|sent| sent.named_age_ms),
        head_ms,
        timing,
        total_ms: now_ms - inbound.arrived_ms,
    };
    record_metrics(node, inbound, outcome, head_ms, &timing);
    if let Some(end) = relayed {
        let labels = [end.framing.name(), end.name()];
        node.metrics.answer_ends.with_label_values(&labels).inc();
    }
    events::emit(part::FRONT, Level::Info, "request", &event);
}

fn record_metrics(
    node: &Node,
    inbound: &InboundRequest,
    outcome: &str,
    head_ms: Option<Millis>,
    timing: &AnswerTiming,
) {
    let metrics = &node.metrics;
    let kind = inbound.kind();
    let seconds = |time_ms: Millis| time_ms as f64 / MS_PER_SECOND as f64;
    metrics.requests.with_label_values(&[kind, outcome]).inc();
    if let Some(head_ms) = head_ms {
        let heads = metrics.head_seconds.with_label_values(&[kind]);
        heads.observe(seconds(head_ms));
    }
    if let Some(sent) = inbound.last_send.get() {
        let stalls = metrics.stall_seconds.with_label_values(&[kind]);
        stalls.observe(seconds(sent.after_ms));
    }
    if let Some(answer) = timing.measured(inbound) {
        metrics.count_answer(answer);
    }
}

fn answer_end(status: u16, ending: &Ending) -> AnswerEnd {
    match ending {
        Ending::Relayed(end) if end.result.is_err() => AnswerEnd::Cut,
        Ending::Relayed(_) if status < 400 => AnswerEnd::Served,
        Ending::Relayed(_) | Ending::Refused(_) => AnswerEnd::Other,
    }
}
