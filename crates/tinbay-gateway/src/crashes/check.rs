//! Finds out whether a server that broke off answers is gone.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::crashes::digest::RequestDigest;

use crate::events::{self, part};
use crate::http::connect::{Reach, probe};
use crate::node::Node;
use crate::servers::Server;

/// Pause before the check: a process that ends closes its connections one after the other, within
/// a few milliseconds.
const GATHER_PAUSE: Duration = Duration::from_millis(5);

/// Longest time until a connection stands; a server is at most a few milliseconds away.
const PROBE_WITHIN: Duration = Duration::from_millis(400);

#[derive(Serialize)]
struct CheckEvent<'a> {
    server: &'a str,
    outcome: &'static str,
    cut: usize,
}

/// Notes that a server broke off an answer or closed without one, and has it checked.
pub fn note_cut(node: &Rc<Node>, server: &Rc<Server>, digest: RequestDigest) {
    let mut cut = server.cut.borrow_mut();
    cut.push(digest);
    if cut.len() == 1 {
        let checking = check(Rc::clone(node), Rc::clone(server));
        tokio::task::spawn_local(checking);
    }
}

/// A process that ended takes no connection; one that only closed a few still does.
async fn check(node: Rc<Node>, server: Rc<Server>) {
    tokio::time::sleep(GATHER_PAUSE).await;
    let reach = if server.pool.has_live_rest() {
        Reach::Takes
    } else {
        probe(server.record().address, PROBE_WITHIN).await
    };
    let cut = server.cut.take();
    let event = CheckEvent {
        server: &server.record().id,
        outcome: reach.name(),
        cut: cut.len(),
    };
    events::emit(part::SERVERS, Level::Info, "server_checked", &event);
    let labels = [reach.name()];
    node.metrics.server_checks.with_label_values(&labels).inc();
}
