//! Checks whether this box's links reach servers.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::Method;
use rand::seq::IndexedRandom;
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use crate::http::call::{Call, HttpClient};
use crate::node::Node;
use crate::servers::{Server, notices};

/// Time limit of a check; a server is at most a few milliseconds away.
const CHECK_TIMEOUT_MS: Millis = 400;

/// Time in which a silent server may still answer other requests before it is checked.
const SILENT_GRACE: Duration = Duration::from_millis(200);

/// Time in which an answer from another server makes a check of that one needless, after a
/// connection has failed. Requests wait for the result.
const FAILED_GRACE: Duration = Duration::from_millis(50);

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

async fn check(node: &Node, server: &Rc<Server>) {
    let is_reached = is_reached(node, server).await;
    let outcome = match is_reached {
        true => "reached",
        false => "not_reached",
    };
    let checks = &node.metrics.link_checks;
    checks.with_label_values(&[outcome]).inc();
    if is_reached {
        server.pool.record_link_reached();
        server.undecided_cuts.take();
    } else {
        server.pool.record_link_failed();
    }
}

/// Whether the server answers on a new connection. An engine is asked for its report, which occupies
/// none of its slots, and any other server for its health; any answer will do.
async fn is_reached(node: &Node, server: &Server) -> bool {
    let record = server.record();
    let Some(path) = check_path(node, &record.service) else {
        return true;
    };
    let name = node.dialect.headers().expect_server.clone();
    let call = Call {
        method: Method::GET,
        path,
        body: Bytes::new(),
        header: Some((name, record.id.clone())),
        timeout_ms: CHECK_TIMEOUT_MS,
    };
    let reply = HttpClient::new(record.address).call(&call).await;
    let is_rejected = reply
        .as_ref()
        .is_ok_and(|reply| reply.headers.contains_key(&node.dialect.headers().not_run));
    if is_rejected {
        notices::record_rejection(node, server, "health_check", None);
    }
    reply.is_ok()
}

fn check_path(node: &Node, service: &str) -> Option<String> {
    let in_force = node.in_force()?;
    let service = in_force.configuration.services.get(service)?;
    Some(match service.engine {
        Some(_) => node.dialect.report_path().to_string(),
        None => service.health_path.clone(),
    })
}
