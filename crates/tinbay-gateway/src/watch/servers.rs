//! Follows the servers' own entries.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::servers::ServerRecord;

use super::Follower;
use super::access::REWRITTEN_WITHIN_MS;
use crate::events::{self, part};
use crate::node::Node;
use crate::port::dialect::DecodeError;
use crate::port::store::{Change, Item, Listing};
use crate::servers::ServerChange;

/// Most entries that are told one by one to be unreadable; all are counted.
const MOST_UNREADABLE: usize = 256;

/// Follows the servers' own entries.
pub struct ServerFollower {
    node: Rc<Node>,
    /// Names of entries that were told to be unreadable.
    unreadable: RefCell<HashSet<String>>,
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
    /// A follower that changes `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            unreadable: RefCell::default(),
        }
    }

    fn id_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(&self.node.dialect.keys().servers)
    }

    fn take(&self, item: &Item) {
        let Some(id) = self.id_of(&item.key) else {
            return;
        };
        let record = match self.node.dialect.decode_server(id, &item.value) {
            Ok(record) => record,
            Err(error) => {
                self.tell_unreadable(item, &error);
                return forget(&self.node, id);
            }
        };
        self.unreadable.borrow_mut().remove(id);
        let change = self.node.servers.borrow_mut().put(record.clone());
        if change != ServerChange::Same {
            log_change(&record, change);
        }
    }

    /// Says once of an entry that it can't be read; its writer may write it every second.
    fn tell_unreadable(&self, item: &Item, error: &DecodeError) {
        let unreadable = &self.node.metrics.unreadable;
        unreadable.with_label_values(&["server_entry"]).inc();
        let mut told = self.unreadable.borrow_mut();
        let id = self.id_of(&item.key).unwrap_or_default();
        if told.len() >= MOST_UNREADABLE || !told.insert(id.to_string()) {
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

fn forget(node: &Node, id: &str) {
    if node.servers.borrow_mut().remove(id) {
        let event = GoneEvent { server: id };
        events::emit(part::SERVERS, Level::Info, "server_gone", &event);
    }
}

/// Forgets the servers whose entries are still missing some time after the store came back.
async fn forget_unless_written(node: Rc<Node>, missing: Vec<String>) {
    tokio::time::sleep(Duration::from_millis(REWRITTEN_WITHIN_MS)).await;
    let prefix = node.dialect.keys().servers.clone();
    for id in missing {
        if node
            .replica
            .item(&prefix, &format!("{prefix}{id}"))
            .is_none()
        {
            forget(&node, &id);
        }
    }
}

/// Writes what changed of a server.
pub fn log_change(record: &ServerRecord, change: ServerChange) {
    let event = ServerEvent {
        server: &record.id,
        service: &record.service,
        address: record.address.to_string(),
        state: record.state.name(),
        change: change.name(),
        born_ms: record.born_ms,
        remaining_ms: record.remaining_ms,
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
        self.unreadable
            .borrow_mut()
            .retain(|id| listed.contains(id.as_str()));
        let gone = known.into_iter().filter(|id| !listed.contains(id.as_str()));
        if self.node.store.is_being_rewritten() {
            // A store that came back from a backup has no entry of those that came since.
            let waiting = forget_unless_written(Rc::clone(&self.node), gone.collect());
            tokio::task::spawn_local(waiting);
        } else {
            gone.for_each(|id| forget(&self.node, &id));
        }
        for item in items {
            self.take(item);
        }
    }

    /// What a server holds changes all the time, and its holder tells those that use it.
    fn is_passed_on(&self, before: &Item, after: &Item) -> bool {
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
            Change::Put(item) => self.take(item),
            Change::Gone { key, .. } => {
                if let Some(id) = self.id_of(key) {
                    self.unreadable.borrow_mut().remove(id);
                    forget(&self.node, id);
                }
            }
        }
    }
}
