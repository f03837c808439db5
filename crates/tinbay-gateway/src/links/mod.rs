//! Watches this box's links to the backend servers, and tells a server that has failed from a box
//! that has lost its links.
//!
//! A failure at one server makes the box check others that it uses. If these can't be reached
//! either, the box counts as partitioned: its requests go through another box, and what it sees of
//! the servers is not reported as their failure.

pub mod check;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::links::{LinkCounts, heard_since_ms};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::events::{self, part};
use crate::node::Node;
use crate::servers::Server;

/// Interval at which servers that can't be reached are checked again.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the checks that tell a failed server from lost links: connecting to it, then to
/// others.
const VERDICT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// State of this box's links to the servers.
#[derive(Debug, Default)]
pub struct Links {
    /// Servers with a failure that has not been checked yet.
    suspects: RefCell<HashSet<ServerKey>>,
    suspected: Notify,
    /// Notified when a server accepts no connection.
    failed: Notify,
    checked: Notify,
    is_partitioned: Cell<bool>,
    /// Services whose requests should go through another box.
    unreached_services: RefCell<BTreeSet<String>>,
    /// Services none of whose servers accepts connections from this box.
    services_down: RefCell<HashSet<String>>,
    has_down: Cell<bool>,
    /// When the last check of all servers in use began.
    checked_ms: Cell<Millis>,
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

    /// Whether a failure at a server has not been checked yet.
    pub fn is_suspected(&self, server: ServerKey) -> bool {
        self.suspects.borrow().contains(&server)
    }

    /// Number of services that this box's links don't reach.
    pub fn unreached_count(&self) -> usize {
        self.unreached_services.borrow().len()
    }

    fn record_down(&self, server: ServerKey) {
        self.has_down.set(true);
        self.suspect(server);
        self.failed.notify_one();
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
        node.links.record_down(server.key);
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

/// Whether a server that accepts no connection has failed itself, as far as other servers can still
/// be reached from this box; checks that first if it is not known.
pub async fn has_server_failed(node: &Node, server: &Server) -> bool {
    let checked = node.links.checked.notified();
    let is_new = server.pool.record_link_failed();
    if is_new {
        node.links.record_down(server.key);
    }
    if is_new || node.links.suspects.borrow().contains(&server.key) {
        let _ = tokio::time::timeout(VERDICT_TIMEOUT, checked).await;
    }
    !node.links.is_partitioned()
}

/// Applies at once that a server has arrived or gone, if this box doesn't reach some service: the
/// next check may be too late for a request that could be served.
pub fn update_after_change(node: &Node) {
    if node.links.unreached_count() > 0 {
        update_state(node);
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
        let began_ms = node.now_ms();
        check::wait_for_other_signs(&node).await;
        let suspects = node.links.suspects.borrow().clone();
        check::check_suspects(&node, &suspects, began_ms).await;
        check::check_down(&node).await;
        let mut waiting = node.links.suspects.borrow_mut();
        waiting.retain(|server| !suspects.contains(server));
        drop(waiting);
        update_state(&node);
        node.links.checked.notify_waiters();
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
    let heard_since_ms = heard_since_ms(node.links.checked_ms.get(), now_ms);
    let mut all = LinkCounts::default();
    let mut by_service: HashMap<String, LinkCounts> = HashMap::new();
    let down = {
        let servers = node.servers.borrow();
        for server in servers.all().filter(|server| server.is_in_service(now_ms)) {
            let link = server.pool.link();
            all.add(&link, heard_since_ms);
            let record = server.record();
            match by_service.get_mut(&record.service) {
                Some(counts) => counts.add(&link, heard_since_ms),
                None => {
                    let mut counts = LinkCounts::default();
                    counts.add(&link, heard_since_ms);
                    by_service.insert(record.service.clone(), counts);
                }
            }
        }
        let is_down = |server: &&Rc<Server>| server.pool.link().is_down();
        servers.all().filter(is_down).cloned().collect::<Vec<_>>()
    };
    node.links.has_down.set(!down.is_empty());
    let is_partitioned = all.is_partitioned();
    let services_down = by_service
        .iter()
        .filter(|(_, counts)| counts.are_all_down())
        .map(|(service, _)| service.clone())
        .collect();
    node.links.services_down.replace(services_down);
    let unreached: BTreeSet<String> = by_service
        .into_iter()
        .filter(|(_, counts)| counts.needs_other_box(is_partitioned))
        .map(|(service, _)| service)
        .collect();
    let was_partitioned = node.links.is_partitioned.replace(is_partitioned);
    for server in &down {
        if is_partitioned && !was_partitioned {
            server.clear_failure_penalty();
        } else if !is_partitioned && !node.links.is_suspected(server.key) {
            server.pool.record_server_failed();
        }
    }
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
