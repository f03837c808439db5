//! Notices that backend servers send about themselves in the headers of any answer: that they are
//! leaving, ask for a back-off, or have a limit.

use std::rc::Rc;

use hyper::header::HeaderMap;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::server_limit::LimitNotice;
use tinbay_core::units::Millis;

use super::Server;
use crate::events::{self, part};
use crate::limits::notices as limit_notices;
use crate::node::Node;
use crate::port::dialect::DecodeError;
use crate::slots::spread;

/// Status with which a server rejects a request that it has no room for.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Kind of request that a server answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind<'a> {
    /// A caller's request, by its id.
    Request(&'a str),
    /// A load or unload order.
    Order,
    /// A request for its report.
    Report,
}

impl RequestKind<'_> {
    fn name(&self) -> &'static str {
        match self {
            RequestKind::Request(_) => "request",
            RequestKind::Order => "order",
            RequestKind::Report => "report",
        }
    }

    fn request(&self) -> Option<&str> {
        match self {
            RequestKind::Request(id) => Some(id),
            RequestKind::Order | RequestKind::Report => None,
        }
    }
}

/// Status and headers of an answer that comes from the server itself.
#[derive(Debug, Clone, Copy)]
pub struct AnswerHead<'a> {
    /// Kind of request.
    pub request_kind: RequestKind<'a>,
    /// Time at which the request was sent.
    pub request_sent_ms: Millis,
    /// HTTP status.
    pub status: u16,
    /// HTTP headers.
    pub headers: &'a HeaderMap,
    /// Whether this is the answer to a request that was run. Such an answer names the server's
    /// limit if it has one, so a missing header means that there is none. Refusals and answers to
    /// orders may omit it.
    pub has_run: bool,
}

#[derive(Serialize)]
struct NoticeEvent<'a> {
    server: &'a str,
    asked_for: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
    status: u16,
    is_leaving: bool,
    #[serde(rename = "rest_ms", skip_serializing_if = "Option::is_none")]
    back_off_ms: Option<Millis>,
    /// State of the server as this box knew it before.
    state: &'static str,
}

#[derive(Serialize)]
struct LimitEvent<'a> {
    server: &'a str,
    asked_for: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
    /// Requests per second from now on; `None` if the limit has ended.
    limit_per_s: Option<f64>,
    /// Requests per second until now; `None` if there was no limit.
    before_per_s: Option<f64>,
    asked_ms_ago: Millis,
}

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    server: &'a str,
    error: String,
}

/// Applies the notices in the head of a server's own answer. Returns whether they changed anything
/// that other boxes have to know.
pub fn apply(node: &Node, server: &Rc<Server>, head: &AnswerHead<'_>) -> bool {
    apply_brittleness(node, server, head);
    if let (RequestKind::Request(id), SERVICE_UNAVAILABLE, false) =
        (head.request_kind, head.status, head.has_run)
    {
        record_rejection(node, server, "request", Some(id));
    }
    let notice = decode(node, server, head);
    server.apply_notice(notice, node.now_ms());
    let limit_before = server.take_limit_change();
    if let Some(before_per_s) = limit_before {
        log_limit_change(node, server, head, before_per_s);
        limit_notices::notify_home_and_holder(node, server);
    }
    let refuses_work = notice.is_leaving || notice.back_off_ms.is_some();
    if refuses_work {
        log_notice(node, server, head, notice);
    }
    refuses_work || limit_before.is_some()
}

#[derive(Serialize)]
struct BrittlenessEvent<'a> {
    server: &'a str,
    service: &'a str,
    rejections_per_s: Option<f64>,
    before_per_s: Option<f64>,
}

/// Applies what the head says about the brittleness of the server's service.
fn apply_brittleness(node: &Node, server: &Server, head: &AnswerHead<'_>) {
    let decoded = node.dialect.decode_brittleness(head.headers);
    let Ok(per_s) = decoded.map_err(|error| log_unreadable(node, server, &error)) else {
        return;
    };
    let now_ms = node.now_ms();
    let service = server.service();
    let before_per_s = service.brittleness.get().rejections_per_s(now_ms);
    let change = server.record_brittleness(per_s, head.request_sent_ms, now_ms);
    let mut brittleness = service.brittleness.get();
    if per_s.is_some() {
        brittleness.record(per_s, head.request_sent_ms, now_ms);
    } else if change == Some(None) && !has_brittle_server(node, server) {
        brittleness.end(now_ms);
    }
    service.brittleness.set(brittleness);
    let rejections_per_s = brittleness.rejections_per_s(now_ms);
    if rejections_per_s == before_per_s {
        return;
    }
    let record = server.record();
    let event = BrittlenessEvent {
        server: &record.id,
        service: &record.service,
        rejections_per_s,
        before_per_s,
    };
    events::emit(part::SERVERS, Level::Info, "brittleness", &event);
    if before_per_s.is_none() {
        spread::pass_on(node);
    }
}

/// Whether a server of the same service says that it is brittle. One that has just started, or
/// answered in another way, does not end the state of the others.
fn has_brittle_server(node: &Node, server: &Server) -> bool {
    let now_ms = node.now_ms();
    let in_service = node.servers.borrow().in_service(&server.record().service);
    in_service.iter().any(|server| server.says_brittle(now_ms))
}

#[derive(Serialize)]
struct BrittleRejectionEvent<'a> {
    server: &'a str,
    what: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
    rejections_per_s: f64,
    /// Requests of this box that the server had not answered.
    own_running: usize,
    /// Requests of all boxes there, as far as this box knows.
    running: usize,
    slots: usize,
}

/// Counts and logs that a brittle server rejected a request or a health check for lack of room.
pub fn record_rejection(node: &Node, server: &Server, what: &'static str, request: Option<&str>) {
    let Some(brittleness) = server.brittleness(node.now_ms()) else {
        return;
    };
    let rejections_per_s = brittleness.rejections_per_s;
    let rejections = &node.metrics.brittle_rejections;
    rejections.with_label_values(&[what]).inc();
    let record = server.record();
    let event = BrittleRejectionEvent {
        server: &record.id,
        what,
        request,
        rejections_per_s,
        own_running: server.usage.borrow().running(),
        running: node.running(server),
        slots: record.slots,
    };
    events::emit(part::SERVERS, Level::Info, "brittle_rejection", &event);
}

/// Decodes the notices in the head; an unreadable one is logged and ignored.
fn decode(node: &Node, server: &Server, head: &AnswerHead<'_>) -> AnswerNotice {
    let is_leaving = node.dialect.decode_leaving(head.headers);
    let back_off_ms = node.dialect.decode_back_off(head.status, head.headers);
    let limit = node.dialect.decode_limit(head.headers);
    AnswerNotice {
        is_leaving: is_leaving
            .map_err(|error| log_unreadable(node, server, &error))
            .unwrap_or_default(),
        back_off_ms: back_off_ms
            .map_err(|error| log_unreadable(node, server, &error))
            .unwrap_or_default(),
        limit: limit
            .map_err(|error| log_unreadable(node, server, &error))
            .ok()
            .filter(|per_s| per_s.is_some() || head.has_run)
            .map(|per_s| LimitNotice {
                per_s,
                request_sent_ms: head.request_sent_ms,
                answer_received_ms: node.now_ms(),
            }),
    }
}

fn log_notice(node: &Node, server: &Server, head: &AnswerHead<'_>, notice: AnswerNotice) {
    let notices = &node.metrics.server_notices;
    if notice.is_leaving {
        notices.with_label_values(&["leaving"]).inc();
    }
    if notice.back_off_ms.is_some() {
        notices.with_label_values(&["rest"]).inc();
    }
    let event = NoticeEvent {
        server: &server.record().id,
        asked_for: head.request_kind.name(),
        request: head.request_kind.request(),
        status: head.status,
        is_leaving: notice.is_leaving,
        back_off_ms: notice.back_off_ms,
        state: server.record().state.name(),
    };
    events::emit(part::SERVERS, Level::Info, "server_notice", &event);
}

/// Logs that a limit begins, changes or ends. Answers that repeat the known limit are not logged.
fn log_limit_change(
    node: &Node,
    server: &Server,
    head: &AnswerHead<'_>,
    before_per_s: Option<f64>,
) {
    let limit_per_s = server.announced_limit_per_s();
    let notice = match limit_per_s {
        Some(_) => "limit",
        None => "limit_over",
    };
    let notices = &node.metrics.server_notices;
    notices.with_label_values(&[notice]).inc();
    let event = LimitEvent {
        server: &server.record().id,
        asked_for: head.request_kind.name(),
        request: head.request_kind.request(),
        limit_per_s,
        before_per_s,
        asked_ms_ago: node.now_ms().saturating_sub(head.request_sent_ms),
    };
    events::emit(part::SERVERS, Level::Info, "server_limit", &event);
}

fn log_unreadable(node: &Node, server: &Server, error: &DecodeError) {
    let unreadable = &node.metrics.unreadable;
    unreadable.with_label_values(&["answer_head"]).inc();
    let event = UnreadableEvent {
        server: &server.record().id,
        error: error.to_string(),
    };
    events::emit(part::SERVERS, Level::Warn, "answer_head_unreadable", &event);
}
