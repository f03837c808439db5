//! Takes what servers say of themselves in the heads of their answers, whatever was asked.

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

/// What a server was asked when it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AskedFor<'a> {
    /// To run a request.
    Request(&'a str),
    /// To carry out an order.
    Order,
    /// For its report.
    Report,
}

impl AskedFor<'_> {
    fn name(&self) -> &'static str {
        match self {
            AskedFor::Request(_) => "request",
            AskedFor::Order => "order",
            AskedFor::Report => "report",
        }
    }

    fn request(&self) -> Option<&str> {
        match self {
            AskedFor::Request(id) => Some(id),
            AskedFor::Order | AskedFor::Report => None,
        }
    }
}

/// The head of an answer that is a server's own.
#[derive(Debug, Clone, Copy)]
pub struct AnswerHead<'a> {
    /// What the server was asked.
    pub asked_for: AskedFor<'a>,
    /// When it was asked.
    pub asked_ms: Millis,
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Whether it is the answer to a request that has run. Only what servers always do tells by not being
    /// there, and nobody says that refusals and answers to orders name limits.
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
    #[serde(skip_serializing_if = "Option::is_none")]
    rest_ms: Option<Millis>,
    /// What this box believed until then.
    state: &'static str,
}

#[derive(Serialize)]
struct LimitEvent<'a> {
    server: &'a str,
    asked_for: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<&'a str>,
    /// Requests a second from now on; none where the limit is over.
    limit_per_s: Option<f64>,
    /// The same until then.
    before_per_s: Option<f64>,
    asked_ms_ago: Millis,
}

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    server: &'a str,
    error: String,
}

/// Takes what a server says of itself in the head of an answer that is its own; whether it says anything
/// new.
pub fn take(node: &Node, server: &Rc<Server>, head: &AnswerHead<'_>) -> bool {
    let notice = read(node, server, head);
    server.note_said(notice, node.now_ms());
    let limit_before = server.take_limit_news();
    if let Some(before_per_s) = limit_before {
        tell_limit(node, server, head, before_per_s);
        limit_notices::notify_home_and_holder(node, server);
    }
    let turns_away = notice.is_leaving || notice.rest_ms.is_some();
    if turns_away {
        tell(node, server, head, notice);
    }
    turns_away || limit_before.is_some()
}

/// What the head says; what can't be read in it is told and says nothing.
fn read(node: &Node, server: &Server, head: &AnswerHead<'_>) -> AnswerNotice {
    let is_leaving = node.dialect.decode_leaving(head.headers);
    let rest_ms = node.dialect.decode_rest(head.status, head.headers);
    let limit = node.dialect.decode_limit(head.headers);
    AnswerNotice {
        is_leaving: is_leaving
            .map_err(|error| tell_unreadable(node, server, &error))
            .unwrap_or_default(),
        rest_ms: rest_ms
            .map_err(|error| tell_unreadable(node, server, &error))
            .unwrap_or_default(),
        limit: limit
            .map_err(|error| tell_unreadable(node, server, &error))
            .ok()
            .filter(|per_s| per_s.is_some() || head.has_run)
            .map(|per_s| LimitNotice {
                per_s,
                said_after_ms: head.asked_ms,
                said_before_ms: node.now_ms(),
            }),
    }
}

fn tell(node: &Node, server: &Server, head: &AnswerHead<'_>, notice: AnswerNotice) {
    let notices = &node.metrics.server_notices;
    if notice.is_leaving {
        notices.with_label_values(&["leaving"]).inc();
    }
    if notice.rest_ms.is_some() {
        notices.with_label_values(&["rest"]).inc();
    }
    let event = NoticeEvent {
        server: &server.record().id,
        asked_for: head.asked_for.name(),
        request: head.asked_for.request(),
        status: head.status,
        is_leaving: notice.is_leaving,
        rest_ms: notice.rest_ms,
        state: server.record().state.name(),
    };
    events::emit(part::SERVERS, Level::Info, "server_notice", &event);
}

/// Tells that a limit begins, changes or ends; answers that name the same one again have no line.
fn tell_limit(node: &Node, server: &Server, head: &AnswerHead<'_>, before_per_s: Option<f64>) {
    let limit_per_s = server.limit_per_s();
    let notice = match limit_per_s {
        Some(_) => "limit",
        None => "limit_over",
    };
    let notices = &node.metrics.server_notices;
    notices.with_label_values(&[notice]).inc();
    let event = LimitEvent {
        server: &server.record().id,
        asked_for: head.asked_for.name(),
        request: head.asked_for.request(),
        limit_per_s,
        before_per_s,
        asked_ms_ago: node.now_ms().saturating_sub(head.asked_ms),
    };
    events::emit(part::SERVERS, Level::Info, "server_limit", &event);
}

fn tell_unreadable(node: &Node, server: &Server, error: &DecodeError) {
    let unreadable = &node.metrics.unreadable;
    unreadable.with_label_values(&["answer_head"]).inc();
    let event = UnreadableEvent {
        server: &server.record().id,
        error: error.to_string(),
    };
    events::emit(part::SERVERS, Level::Warn, "answer_head_unreadable", &event);
}
