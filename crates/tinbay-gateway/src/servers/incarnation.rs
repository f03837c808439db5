//! Tells which incarnation of a server a connection leads to.
//!
//! A server may start again under its id and address, in another software version, while the store
//! can't be reached. Its own report on the connection shows that.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::incarnation::is_described;
use tinbay_core::serving::servers::Report;

use super::calls::request_to;
use super::{Server, ServerChange};
use crate::events::{self, part};
use crate::http::call::CallError;
use crate::http::pool::Connection;
use crate::http::pooled::call_on;
use crate::node::Node;
use crate::watch::servers::log_change;

/// Time-out of the report; a server is at most a few milliseconds away, and a request waits.
const REPORT_TIMEOUT: Duration = Duration::from_millis(250);

/// What is known of the incarnation that a connection leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Incarnation {
    /// The one that its entry describes.
    Described,
    /// A later one, which is listed in place of the former from now on.
    Restarted,
    /// The server closed the connection before it was asked.
    Closed,
    /// It gave no report.
    Unknown,
}

#[derive(Serialize)]
struct UnknownEvent<'a> {
    server: &'a str,
    cause: String,
}

/// Finds out which incarnation a connection leads to, and asks the server on the connection if the
/// view of the servers doesn't show it. Servers without reports are taken for what their entries
/// describe.
pub async fn find(node: &Node, server: &Rc<Server>, connection: &mut Connection) -> Incarnation {
    if connection.is_described || is_described_by_view(node, connection) {
        return Incarnation::Described;
    }
    if node.engine_properties(&server.record().service).is_none() {
        return Incarnation::Described;
    }
    let target = node.dialect.report_target();
    let request = match request_to(node, server, Method::GET, &target, Bytes::new()) {
        Ok(request) => request,
        Err(error) => return unknown(server, error.to_string()),
    };
    let reply = match call_on(connection, request, REPORT_TIMEOUT).await {
        Ok(reply) => reply,
        Err(CallError::NotConnected) => return Incarnation::Closed,
        Err(error) => return unknown(server, error.to_string()),
    };
    if reply.status != 200 {
        return unknown(server, format!("status {}", reply.status));
    }
    let report = match node.dialect.decode_report(&reply.body) {
        Ok(report) => report,
        Err(error) => return unknown(server, error.to_string()),
    };
    if accept_report(node, server, report).is_none() {
        return Incarnation::Restarted;
    }
    connection.is_described = true;
    Incarnation::Described
}

fn is_described_by_view(node: &Node, connection: &Connection) -> bool {
    let confirmed_ms = node.replica.confirmed_ms(&node.dialect.keys().servers);
    is_described(connection.opened_ms, confirmed_ms, node.now_ms())
}

fn unknown(server: &Server, cause: String) -> Incarnation {
    let event = UnknownEvent {
        server: &server.record().id,
        cause,
    };
    events::emit(part::SERVERS, Level::Info, "incarnation_unknown", &event);
    Incarnation::Unknown
}

/// Returns the report if it is of this incarnation. If not, the server has started again under its
/// id, its entry in the store does not show that yet, and the later incarnation is listed.
pub fn accept_report(node: &Node, server: &Server, report: Report) -> Option<Report> {
    let record = server.record();
    if report.born_ms.is_none() || record.born_ms.is_none() || report.born_ms == record.born_ms {
        return Some(report);
    }
    let restarted = record.restarted(report);
    node.observe_version(&restarted);
    let change = node.servers.borrow_mut().put(restarted.clone());
    if change == ServerChange::Restarted {
        log_change(&restarted, change);
    }
    None
}
