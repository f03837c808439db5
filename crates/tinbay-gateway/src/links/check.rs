//! Checks whether this box's links reach servers.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use log::Level;
use rand::seq::IndexedRandom;
use serde::Serialize;
use tinbay_core::serving::configuration::Service;
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::slots::home::LeaseEnd;
use tinbay_core::units::Millis;

use crate::events::{self, part};
use crate::http::call::{Call, CallError, HttpClient, MAX_SERVER_ANSWER_BYTES};
use crate::http::pooled::call_idle;
use crate::http::target::RequestTarget;
use crate::node::Node;
use crate::servers::calls::request_to;
use crate::servers::{Server, notices};
use crate::slots::asking::{self, SlotParams, SlotsFull};
use crate::slots::lease::SlotLease;

/// Time limit of a check; a server is at most a few milliseconds away.
const CHECK_TIMEOUT_MS: Millis = 400;

/// Time in which a silent server may still answer other requests before it is checked.
const SILENT_GRACE: Duration = Duration::from_millis(200);

/// Time in which an answer from another server makes a check of that one needless, after a
/// connection has failed. Requests wait for the result.
const FAILED_GRACE: Duration = Duration::from_millis(50);

/// What a check needs of a brittle server's slots: it goes behind all requests.
const CHECK_SLOT: SlotParams = SlotParams {
    rank: u8::MAX,
    max_wait_ms: 0,
};

/// Servers checked at once, however many a box uses.
const MAX_CHECKED: usize = 16;

/// Servers that are down and checked again in one round.
const MAX_CHECKED_AGAIN: usize = 8;

/// Waits before suspects are checked, as their answers to other requests may make that needless. A
/// suspect that accepts no connection needs no more waiting.
pub async fn wait_for_other_signs(node: &Node) {
    if node.links.suspects.borrow().is_empty() {
        return;
    }
    let grace = tokio::time::sleep(SILENT_GRACE);
    tokio::pin!(grace);
    while !suspected_servers(node).iter().any(is_down) {
        tokio::select! {
            () = &mut grace => return,
            () = node.links.failed.notified() => {}
        }
    }
    tokio::time::sleep(FAILED_GRACE).await;
}

fn suspected_servers(node: &Node) -> Vec<Rc<Server>> {
    let servers = node.servers.borrow();
    let suspects = node.links.suspects.borrow();
    let known = suspects.iter().filter_map(|key| servers.by_key(*key));
    known.collect()
}

fn is_down(server: &Rc<Server>) -> bool {
    server.pool.link().is_down()
}

/// Checks suspected servers from which nothing came since `began_ms`. If one can't be reached,
/// checks the other servers that this box uses and that are silent as well.
pub async fn check_suspects(node: &Rc<Node>, suspects: &HashSet<ServerKey>, began_ms: Millis) {
    if suspects.is_empty() {
        return;
    }
    let suspects: Vec<Rc<Server>> = {
        let servers = node.servers.borrow();
        let known = suspects.iter().filter_map(|key| servers.by_key(*key));
        known.collect()
    };
    if !suspects.iter().any(is_down) {
        let is_silent = |server: &&Rc<Server>| !server.pool.link().is_heard_since(began_ms);
        let silent: Vec<Rc<Server>> = suspects.iter().filter(is_silent).cloned().collect();
        check_some(node, &silent, MAX_CHECKED).await;
    }
    if suspects.iter().any(is_down) {
        node.links.checked_ms.set(began_ms);
        check_some(node, &silent_servers(node, began_ms), MAX_CHECKED).await;
    }
}

/// Checks servers that were down.
pub async fn check_down(node: &Rc<Node>) {
    let down: Vec<Rc<Server>> = {
        let servers = node.servers.borrow();
        let down = servers.all().filter(|server| is_down(server));
        down.cloned().collect()
    };
    check_some(node, &down, MAX_CHECKED_AGAIN).await;
}

/// Servers without a known failure from which nothing came since a time.
fn silent_servers(node: &Node, since_ms: Millis) -> Vec<Rc<Server>> {
    let now_ms = node.now_ms();
    let servers = node.servers.borrow();
    let is_silent = |server: &&Rc<Server>| {
        let link = server.pool.link();
        server.is_in_service(now_ms) && !link.is_down() && !link.is_heard_since(since_ms)
    };
    servers.all().filter(is_silent).cloned().collect()
}

/// Checks a random selection of servers at the same time.
async fn check_some(node: &Node, servers: &[Rc<Server>], count: usize) {
    let selected: Vec<&Rc<Server>> = servers.sample(&mut rand::rng(), count).collect();
    join_all(selected.into_iter().map(|server| check(node, server))).await;
}

/// Checks a server. A health check takes a slot of a brittle server, so it is made only if one is
/// free.
async fn check(node: &Node, server: &Rc<Server>) {
    let Some(check) = CheckCall::of(node, server) else {
        return record_reached(server);
    };
    let checks = &node.metrics.link_checks;
    let Ok(slot) = check.take_slot(node, server).await else {
        checks.with_label_values(&["no_slot"]).inc();
        return;
    };
    let is_reached = check.is_answered(node, server).await;
    let outcome = match is_reached {
        true => "reached",
        false => "not_reached",
    };
    checks.with_label_values(&[outcome]).inc();
    if is_reached {
        if let Some(slot) = slot {
            slot.record_end(LeaseEnd::Served);
        }
        record_reached(server);
    } else {
        server.pool.record_link_failed();
    }
}

fn record_reached(server: &Server) {
    server.pool.record_link_reached();
    server.undecided_cuts.take();
}

/// Whether a server answers on a connection that is already open. That such a connection looks open
/// shows nothing, as its end may be late.
pub async fn is_answered_on_idle(node: &Node, server: &Rc<Server>, timeout: Duration) -> bool {
    let Some(check) = CheckCall::of(node, server) else {
        return false;
    };
    let Ok(_slot) = check.take_slot(node, server).await else {
        return false;
    };
    let Ok(request) = request_to(node, server, Method::GET, &check.target, Bytes::new()) else {
        return false;
    };
    let reply = call_idle(&server.pool, request, timeout).await;
    reply.is_ok()
}

#[derive(Serialize)]
struct NotCheckedEvent<'a> {
    health_path: &'a str,
    error: String,
}

/// The target of a service's health check, if operators have set one that can be sent.
fn health_target(service: &Service) -> Option<RequestTarget> {
    match RequestTarget::parse(&service.health_path) {
        Ok(target) => Some(target),
        Err(error) => {
            let event = NotCheckedEvent {
                health_path: &service.health_path,
                error: error.to_string(),
            };
            events::emit(part::SERVERS, Level::Warn, "server_not_checked", &event);
            None
        }
    }
}

/// How a server is checked: an engine is asked for its report, which occupies none of its slots, and
/// any other server for its health.
struct CheckCall {
    target: RequestTarget,
    takes_slot: bool,
}

impl CheckCall {
    fn of(node: &Node, server: &Server) -> Option<Self> {
        let in_force = node.in_force()?;
        let services = &in_force.configuration.services;
        let service = services.get(&server.record().service)?;
        Some(match service.engine {
            Some(_) => Self {
                target: node.dialect.report_target(),
                takes_slot: false,
            },
            None => Self {
                target: health_target(service)?,
                takes_slot: true,
            },
        })
    }

    /// Leases a slot of a brittle server if the check takes one.
    async fn take_slot(
        &self,
        node: &Node,
        server: &Rc<Server>,
    ) -> Result<Option<SlotLease>, SlotsFull> {
        match self.takes_slot {
            true => asking::lease(node, server, CHECK_SLOT).await,
            false => Ok(None),
        }
    }

    /// Whether the server answers on a new connection; any answer will do, also one whose head is
    /// refused.
    async fn is_answered(&self, node: &Node, server: &Server) -> bool {
        let record = server.record();
        let headers = node.dialect.headers();
        let call = Call {
            method: Method::GET,
            target: self.target.clone(),
            body: Bytes::new(),
            header: Some((headers.expect_server.clone(), record.id.clone())),
            timeout_ms: CHECK_TIMEOUT_MS,
            max_answer_bytes: MAX_SERVER_ANSWER_BYTES,
        };
        let reply = HttpClient::new(record.address).call(&call).await;
        let is_rejected = reply
            .as_ref()
            .is_ok_and(|reply| reply.headers.contains_key(&headers.not_run));
        if is_rejected && self.takes_slot {
            notices::record_rejection(node, server, "health_check", None);
        }
        matches!(reply, Ok(_) | Err(CallError::InvalidHead(_)))
    }
}
