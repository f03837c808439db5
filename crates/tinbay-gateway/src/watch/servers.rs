//! Follows the entries that backend servers write to the store.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::servers::ServerRecord;

use super::Follower;
use super::access::REWRITTEN_WITHIN_MS;
use crate::crashes;
use crate::events::{self, part};
use crate::links;
use crate::node::Node;
use crate::port::dialect::DecodeError;
use crate::port::store::{Change, Item, Listing};
use crate::servers::ServerChange;

/// Most unreadable entries that are logged; the metric counts all of them.
const MAX_LOGGED_UNREADABLE: usize = 256;

/// Applies the servers' entries to the state of this box.
pub struct ServerFollower {
    node: Rc<Node>,
    /// Ids of the servers whose unreadable entry has been logged.
    logged_unreadable: RefCell<HashSet<String>>,
}

#[derive(Serialize)]
struct ServerEvent<'a> {
    server: &'a str,
    service: &'a str,
    address: String,
    state: &'static str,
    change: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    born_ms: Option<u64>,
    remaining_ms: Option<u64>,
    software_version: &'a str,
}

#[derive(Serialize)]
struct GoneEvent<'a> {
    server: &'a str,
}

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    key: &'a str,
    revision: u64,
    error: String,
}

impl ServerFollower {
    /// Creates a follower that updates `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            logged_unreadable: RefCell::default(),
        }
    }

    fn id_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(&self.node.dialect.keys().servers)
    }

    fn apply_item(&self, item: &Item) {
        let Some(id) = self.id_of(&item.key) else {
            return;
        };
        let record = match self.node.dialect.decode_server(id, &item.value) {
            Ok(record) => record,
            Err(error) => {
                self.report_unreadable(item, &error);
                return remove_server(&self.node, id);
            }
        };
        self.logged_unreadable.borrow_mut().remove(id);
        self.node.observe_version(&record);
        let change = self.node.servers.borrow_mut().put(record.clone());
        if matches!(change, ServerChange::Arrived | ServerChange::Restarted) {
            links::update_after_change(&self.node);
        }
        if change != ServerChange::Same {
            log_change(&record, change);
        }
    }

    /// Counts an unreadable entry. It is logged only once, as its writer may repeat it every
    /// second.
    fn report_unreadable(&self, item: &Item, error: &DecodeError) {
        let unreadable = &self.node.metrics.unreadable;
        unreadable.with_label_values(&["server_entry"]).inc();
        let mut logged = self.logged_unreadable.borrow_mut();
        let id = self.id_of(&item.key).unwrap_or_default();
        if logged.len() >= MAX_LOGGED_UNREADABLE || !logged.insert(id.to_string()) {
            return;
        }
        let event = UnreadableEvent {
            key: &item.key,
            revision: item.position.revision,
            error: error.to_string(),
        };
        events::emit(part::SERVERS, Level::Warn, "server_unreadable", &event);
    }
}

fn remove_server(node: &Node, id: &str) {
    if let Some(server) = node.servers.borrow().get(id) {
        node.observe_version(&server.record());
    }
    if node.servers.borrow_mut().remove(id) {
        links::update_after_change(node);
        let event = GoneEvent { server: id };
        events::emit(part::SERVERS, Level::Info, "server_gone", &event);
    }
}

/// Removes the servers whose entries are still missing some seconds after a restore of the store.
async fn remove_if_still_missing(node: Rc<Node>, missing: Vec<String>) {
    tokio::time::sleep(Duration::from_millis(REWRITTEN_WITHIN_MS)).await;
    let prefix = node.dialect.keys().servers.clone();
    for id in missing {
        if node
            .replica
            .item(&prefix, &format!("{prefix}{id}"))
            .is_none()
        {
            remove_server(&node, &id);
        }
    }
}

/// Logs the state of a server after a change.
pub fn log_change(record: &ServerRecord, change: ServerChange) {
    let event = ServerEvent {
        server: &record.id,
        service: &record.service,
        address: record.address.to_string(),
        state: record.state.name(),
        change: change.name(),
        born_ms: record.born_ms,
        remaining_ms: record.remaining_ms,
        software_version: record.software_version.as_str(),
    };
    events::emit(part::SERVERS, Level::Info, "server", &event);
}

impl Follower for ServerFollower {
    fn prefix(&self) -> &str {
        &self.node.dialect.keys().servers
    }

    fn reset(&self, listing: &Listing) {
        let items = &listing.items;
        let listed: HashSet<&str> = items
            .iter()
            .filter_map(|item| self.id_of(&item.key))
            .collect();
        let known: Vec<String> = {
            let servers = self.node.servers.borrow();
            servers
                .all()
                .map(|server| server.record().id.clone())
                .collect()
        };
        self.logged_unreadable
            .borrow_mut()
            .retain(|id| listed.contains(id.as_str()));
        let missing = known.into_iter().filter(|id| !listed.contains(id.as_str()));
        if self.node.store.is_being_rewritten() {
            // A restored store lacks the entries of servers that were added after the backup.
            let waiting = remove_if_still_missing(Rc::clone(&self.node), missing.collect());
            tokio::task::spawn_local(waiting);
        } else {
            missing.for_each(|id| remove_server(&self.node, &id));
        }
        for item in items {
            self.apply_item(item);
        }
        let mut history = self.node.resumption.history.borrow_mut();
        history.begin_watch(self.node.now_ms());
    }

    /// Only changes of a server's identity are sent to other boxes. Its order count, remaining time
    /// and adapters change all the time; the box that holds the claim on the server reports them to
    /// the boxes that use it.
    fn is_relayed(&self, before: &Item, after: &Item) -> bool {
        let record = |item: &Item| {
            let id = self.id_of(&item.key)?;
            self.node.dialect.decode_server(id, &item.value).ok()
        };
        match (record(before), record(after)) {
            (Some(before), Some(after)) => before.identity() != after.identity(),
            (before, after) => before.is_some() != after.is_some(),
        }
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Put(item) => self.apply_item(item),
            Change::Deleted { key, .. } => {
                if let Some(id) = self.id_of(key) {
                    self.logged_unreadable.borrow_mut().remove(id);
                    let deleted = self.node.servers.borrow().get(id);
                    if let Some(server) = deleted {
                        crashes::check::record_deleted(&self.node, &server);
                    }
                    remove_server(&self.node, id);
                }
            }
        }
    }
}
