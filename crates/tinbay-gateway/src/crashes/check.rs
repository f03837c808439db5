//! Finds out whether a server that broke off answers has crashed.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::crashes::digest::RequestDigest;

use super::spread;
use crate::events::{self, part};
use crate::http::connect::{ProbeOutcome, probe};
use crate::node::Node;
use crate::servers::Server;

/// Pause before the check: a process that ends closes its connections one after the other, within
/// a few milliseconds.
const GATHER_PAUSE: Duration = Duration::from_millis(2);

/// Longest time until a connection stands; a server is at most a few milliseconds away, and the
/// request may be waiting to be sent again.
const PROBE_WITHIN: Duration = Duration::from_millis(100);

/// A request that a server broke off.
#[derive(Debug, Clone)]
pub struct CutRequest {
    /// Id of the caller's try.
    pub id: String,
    /// What it has in common with others that are the same.
    pub digest: RequestDigest,
}

#[derive(Serialize)]
struct CheckEvent<'a> {
    server: &'a str,
    outcome: &'static str,
    is_planned: bool,
    cut: usize,
}

#[derive(Serialize)]
struct SuspectEvent<'a> {
    request: &'a str,
    digest: String,
    server: &'a str,
}

/// Notes that a server broke off an answer or closed without one, and has it checked.
pub fn note_cut(node: &Rc<Node>, server: &Rc<Server>, request: CutRequest) {
    node.crashes.begin_check(request.digest);
    let mut cut = server.cut.borrow_mut();
    cut.push(request);
    if cut.len() == 1 {
        let checking = check(Rc::clone(node), Rc::clone(server));
        tokio::task::spawn_local(checking);
    }
}

/// A process that ended takes no connection; one that only closed a few still does. One that said
/// before that it leaves has not crashed.
async fn check(node: Rc<Node>, server: Rc<Server>) {
    let is_planned = !is_expected_to_run(&node, &server);
    tokio::time::sleep(GATHER_PAUSE).await;
    let outcome = if server.pool.has_live_rest() {
        ProbeOutcome::Takes
    } else {
        probe(server.record().address, PROBE_WITHIN).await
    };
    let cut = server.cut.take();
    let record = server.record();
    let event = CheckEvent {
        server: &record.id,
        outcome: outcome.name(),
        is_planned,
        cut: cut.len(),
    };
    events::emit(part::SERVERS, Level::Info, "server_checked", &event);
    let labels = [outcome.name()];
    node.metrics.server_checks.with_label_values(&labels).inc();
    if outcome == ProbeOutcome::Refuses && !is_planned {
        note_crash(&node, &server, &cut);
    }
    for request in &cut {
        node.crashes.end_check(request.digest);
    }
}

/// Whether a server is entered in the store, and not as leaving.
fn is_expected_to_run(node: &Node, server: &Rc<Server>) -> bool {
    let record = server.record();
    let entered = node.servers.borrow().get(&record.id);
    let is_entered = entered.is_some_and(|entered| Rc::ptr_eq(&entered, server));
    is_entered && !server.is_leaving()
}

/// Each incarnation of a server crashes once, whichever boxes see it.
fn note_crash(node: &Rc<Node>, server: &Server, cut: &[CutRequest]) {
    for request in cut {
        let event = SuspectEvent {
            request: &request.id,
            digest: request.digest.to_string(),
            server: &server.record().id,
        };
        events::emit(part::FRONT, Level::Info, "crash_suspect", &event);
        super::count(node, request.digest, server.key);
    }
    let digests = cut.iter().map(|request| request.digest).collect();
    spread::report(node, digests, server.key);
}
