//! Checks whether a backend server that cut answers short has crashed.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::serving::prompt::PartId;
use tinbay_core::units::Millis;

use super::spread::Certainty;
use super::{parts, spread};
use crate::events::{self, part};
use crate::http::connect::{ProbeOutcome, probe};
use crate::links;
use crate::node::Node;
use crate::servers::Server;

/// Delay before the check. A process that ends closes its connections one by one within a few
/// milliseconds, and one check covers all requests that they carried.
const CHECK_DELAY: Duration = Duration::from_millis(2);

/// Time-out of the connection attempt. A server is at most a few milliseconds away, and the request
/// may be waiting for a retry.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// A request whose answer a server cut short.
#[derive(Debug, Clone)]
pub struct CutRequest {
    /// Id of the caller's attempt.
    pub id: String,
    /// Digests of the content, equal for equal requests; the most specific one first. Not empty.
    pub digests: Vec<RequestDigest>,
    /// Shared parts of its prompt, in order.
    pub parts: Vec<PartId>,
    /// Time from the first piece of its answer to the cut; none if no piece had arrived.
    pub written_for_ms: Option<Millis>,
    /// When the answer was cut.
    pub cut_ms: Millis,
}

/// Requests cut short by a server that refuses connections, while this box can't tell a crash from
/// its own lost links.
#[derive(Debug)]
pub struct UndecidedCuts {
    requests: Vec<CutRequest>,
    /// When the server was first found to refuse connections.
    since_ms: Millis,
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
    digest: Option<String>,
    /// Digest of the start of a long body, if its whole is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    start_digest: Option<String>,
    server: &'a str,
    /// Key of the server's incarnation.
    crash: String,
    parts: String,
    written_for_ms: Option<Millis>,
}

/// Records that a server cut an answer short or closed the connection without one, and starts a
/// check unless one is pending.
pub fn record_cut(node: &Rc<Node>, server: &Rc<Server>, request: CutRequest) {
    for digest in &request.digests {
        node.crashes.begin_check(*digest);
    }
    let mut cut = server.cut_requests.borrow_mut();
    cut.push(request);
    if cut.len() == 1 {
        let checking = check(Rc::clone(node), Rc::clone(server));
        tokio::task::spawn_local(checking);
    }
}

/// Probes the server. A process that has ended refuses connections, while one that closed only some
/// of them still accepts new ones. A server that had announced that it would leave, or whose entry
/// was gone, has not crashed.
async fn check(node: Rc<Node>, server: Rc<Server>) {
    let is_planned = !is_expected_to_run(&node, &server);
    tokio::time::sleep(CHECK_DELAY).await;
    // An idle connection that looks open shows nothing: its end may be late.
    let outcome = probe(server.record().address, PROBE_TIMEOUT).await;
    let cut = server.cut_requests.take();
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
    let may_have_crashed = outcome == ProbeOutcome::Refuses && !is_planned;
    if may_have_crashed {
        if links::has_server_failed(&node, &server).await {
            record_crash(&node, &server, &cut);
        } else {
            keep_undecided(&node, &server, &cut);
            spread::report(&node, digests_of(&cut), server.key, Certainty::Uncertain);
            parts::report_possible_crash(&node, server.key, &cut);
        }
    }
    for digest in digests_of(&cut) {
        node.crashes.end_check(digest);
    }
}

fn digests_of(cut: &[CutRequest]) -> Vec<RequestDigest> {
    let digests = cut.iter().flat_map(|request| &request.digests);
    digests.copied().collect()
}

fn keep_undecided(node: &Node, server: &Server, cut: &[CutRequest]) {
    let mut undecided = server.undecided_cuts.borrow_mut();
    let undecided = undecided.get_or_insert_with(|| UndecidedCuts {
        requests: Vec::new(),
        since_ms: node.now_ms(),
    });
    undecided.requests.extend_from_slice(cut);
}

/// Counts the crash of a server whose entry is deleted while this box watches the store, if it has
/// refused connections since it cut requests short. Its lease has ended, so that this box's links
/// are not the cause. A box that finds an entry missing later can't know why it is.
pub fn record_deleted(node: &Rc<Node>, server: &Server) {
    let Some(undecided) = server.undecided_cuts.take() else {
        return;
    };
    let now_ms = node.now_ms();
    let refused_for_ms = now_ms.saturating_sub(undecided.since_ms);
    let link = server.pool.link();
    if link.is_down_for(refused_for_ms, now_ms) && !server.is_leaving() {
        record_crash(node, server, &undecided.requests);
    }
}

/// Whether the server is still listed in the store and is not leaving.
fn is_expected_to_run(node: &Node, server: &Rc<Server>) -> bool {
    let record = server.record();
    let listed = node.servers.borrow().get(&record.id);
    let is_listed = listed.is_some_and(|listed| Rc::ptr_eq(&listed, server));
    is_listed && !server.is_leaving()
}

/// Counts a crash for each of the cut requests. An incarnation of a server crashes once, so all
/// boxes report it under the server's key.
fn record_crash(node: &Rc<Node>, server: &Server, cut: &[CutRequest]) {
    for request in cut {
        let event = SuspectEvent {
            request: &request.id,
            digest: request.digests.first().map(ToString::to_string),
            start_digest: request.digests.get(1).map(ToString::to_string),
            server: &server.record().id,
            crash: format!("{:x}", server.key),
            parts: list_parts(&request.parts),
            written_for_ms: request.written_for_ms,
        };
        events::emit(part::FRONT, Level::Info, "crash_suspect", &event);
    }
    let digests = digests_of(cut);
    for digest in &digests {
        super::count_crash(node, *digest, server.key);
    }
    spread::report(node, digests, server.key, Certainty::Certain);
    parts::report_crash(node, server.key, cut);
}

/// The ids of prompt parts, separated by commas.
pub fn list_parts(parts: &[PartId]) -> String {
    let ids: Vec<String> = parts.iter().map(ToString::to_string).collect();
    ids.join(",")
}
