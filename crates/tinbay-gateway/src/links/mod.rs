//! Watches this box's links to the backend servers, and tells a server that has failed from a box
//! that has lost its links.
//!
//! A failure at one server makes the box check others that it uses. If these can't be reached
//! either, the box counts as partitioned: its requests go through another box, and what it sees of
//! the servers is not reported as their failure.

mod check;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::links::LinkCounts;
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::events::{self, part};
use crate::node::Node;
use crate::servers::Server;

/// Interval at which servers that can't be reached are checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// State of this box's links to the servers.
#[derive(Debug, Default)]
pub struct Links {
    /// Servers with a failure that has not been checked yet.
    suspects: RefCell<HashSet<ServerKey>>,
    suspected: Notify,
    is_partitioned: Cell<bool>,
    /// Services whose requests should go through another box.
    unreached_services: RefCell<BTreeSet<String>>,
    /// Services none of whose servers accepts connections from this box.
    services_down: RefCell<HashSet<String>>,
    has_down: Cell<bool>,
}

impl Links {
    /// Whether this box has probably lost its links, rather than the servers having failed.
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned.get()
    }

    /// Whether this box's links reach the servers of a service well enough for its requests.
    pub fn reaches(&self, service: &str) -> bool {
        !self.unreached_services.borrow().contains(service)
    }

    /// Whether no server of a service accepts connections from this box.
    pub fn is_cut_off_from(&self, service: &str) -> bool {
        self.services_down.borrow().contains(service)
    }

    /// Number of services that this box's links don't reach.
    pub fn unreached_count(&self) -> usize {
        self.unreached_services.borrow().len()
    }

    fn suspect(&self, server: ServerKey) {
        if self.suspects.borrow_mut().insert(server) {
            self.suspected.notify_one();
        }
    }
}

/// Records that the server accepted no connection.
pub fn record_failure(node: &Node, server: &Server) {
    if server.pool.record_link_failed() {
        node.links.has_down.set(true);
        node.links.suspect(server.key);
    }
}

/// Records that no answer came from the server since `sent_ms`, or that it closed a connection
/// without one. Unless other bytes came from it meanwhile, its link is checked.
pub fn record_silence(node: &Node, server: &Server, sent_ms: Millis) {
    let link = server.pool.link();
    if !link.is_heard_since(sent_ms) && !link.is_down() {
        node.links.suspect(server.key);
    }
}

/// Checks links as they are suspected, and those that are down, until the box stops.
pub async fn run(node: Rc<Node>) {
    loop {
        let suspected = node.links.suspected.notified();
        if node.links.has_down.get() {
            let _ = tokio::time::timeout(CHECK_INTERVAL, suspected).await;
        } else {
            suspected.await;
        }
        let suspects = node.links.suspects.borrow().clone();
        check::check_suspects(&node, &suspects).await;
        check::check_down(&node).await;
        let mut waiting = node.links.suspects.borrow_mut();
        waiting.retain(|server| !suspects.contains(server));
        drop(waiting);
        update_state(&node);
    }
}

#[derive(Serialize)]
struct LinksEvent<'a> {
    down: usize,
    up: usize,
    is_partitioned: bool,
    unreached: &'a BTreeSet<String>,
}

/// Derives from the links whether this box is partitioned and which services it doesn't reach.
fn update_state(node: &Node) {
    let now_ms = node.now_ms();
    let mut all = LinkCounts::default();
    let mut by_service: HashMap<String, LinkCounts> = HashMap::new();
    {
        let servers = node.servers.borrow();
        for server in servers.all().filter(|server| server.is_in_service(now_ms)) {
            let link = server.pool.link();
            all.add(&link, now_ms);
            let service = server.record().service.clone();
            by_service.entry(service).or_default().add(&link, now_ms);
        }
    }
    node.links.has_down.set(all.down > 0);
    let is_partitioned = all.is_partitioned();
    let down = by_service
        .iter()
        .filter(|(_, counts)| counts.are_all_down());
    let down = down.map(|(service, _)| service.clone()).collect();
    node.links.services_down.replace(down);
    let unreached: BTreeSet<String> = by_service
        .into_iter()
        .filter(|(_, counts)| counts.needs_other_box(is_partitioned))
        .map(|(service, _)| service)
        .collect();
    let was_partitioned = node.links.is_partitioned.replace(is_partitioned);
    let is_changed = *node.links.unreached_services.borrow() != unreached;
    if is_changed || is_partitioned != was_partitioned {
        let event = LinksEvent {
            down: all.down,
            up: all.up,
            is_partitioned,
            unreached: &unreached,
        };
        events::emit(part::SERVERS, Level::Warn, "links", &event);
    }
    node.links.unreached_services.replace(unreached);
}
