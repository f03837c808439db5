//! Takes what servers say of themselves in the heads of their answers, whatever was asked.

use std::rc::Rc;

use hyper::header::HeaderMap;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::units::Millis;

use super::Server;
use crate::events::{self, part};
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
struct UnreadableEvent<'a> {
    server: &'a str,
    error: String,
}

/// Takes what a server says of itself in the head of an answer that is its own; whether it says anything.
pub fn take(
    node: &Node,
    server: &Rc<Server>,
    asked_for: AskedFor<'_>,
    status: u16,
    headers: &HeaderMap,
) -> bool {
    let notice = read(node, server, status, headers);
    if notice.is_empty() {
        return false;
    }
    tell(node, server, asked_for, status, notice);
    server.note_said(notice, node.now_ms());
    true
}

/// What the head says; what can't be read in it is told and says nothing.
fn read(node: &Node, server: &Server, status: u16, headers: &HeaderMap) -> AnswerNotice {
    let is_leaving = node.dialect.decode_leaving(headers);
    let rest_ms = node.dialect.decode_rest(status, headers);
    AnswerNotice {
        is_leaving: is_leaving
            .map_err(|error| tell_unreadable(node, server, &error))
            .unwrap_or_default(),
        rest_ms: rest_ms
            .map_err(|error| tell_unreadable(node, server, &error))
            .unwrap_or_default(),
    }
}

fn tell(node: &Node, server: &Server, asked_for: AskedFor<'_>, status: u16, notice: AnswerNotice) {
    let notices = &node.metrics.server_notices;
    if notice.is_leaving {
        notices.with_label_values(&["leaving"]).inc();
    }
    if notice.rest_ms.is_some() {
        notices.with_label_values(&["rest"]).inc();
    }
    let event = NoticeEvent {
        server: &server.record().id,
        asked_for: asked_for.name(),
        request: asked_for.request(),
        status,
        is_leaving: notice.is_leaving,
        rest_ms: notice.rest_ms,
        state: server.record().state.name(),
    };
    events::emit(part::SERVERS, Level::Info, "server_notice", &event);
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
