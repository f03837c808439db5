//! Follows the servers' own entries.

use std::collections::HashSet;
use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::servers::{ServerRecord, ServerState};

use super::Follower;
use crate::events::{self, part};
use crate::node::Node;
use crate::port::store::{Change, Item};
use crate::servers::ServerChange;

/// Follows the servers' own entries.
pub struct ServerFollower {
    node: Rc<Node>,
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

impl ServerFollower {
    /// A follower that changes `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self { node }
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
            Err(_) => return self.forget(id),
        };
        let change = self.node.servers.borrow_mut().put(record.clone());
        if change != ServerChange::Same {
            log_change(&record, change);
        }
    }

    fn forget(&self, id: &str) {
        if self.node.servers.borrow_mut().remove(id) {
            events::emit(
                part::SERVERS,
                Level::Info,
                "server_gone",
                &GoneEvent { server: id },
            );
        }
    }
}

/// Writes what changed of a server.
pub fn log_change(record: &ServerRecord, change: ServerChange) {
    let event = ServerEvent {
        server: &record.id,
        service: &record.service,
        address: record.address.to_string(),
        state: match record.state {
            ServerState::Ready => "ready",
            ServerState::Draining => "draining",
        },
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

    fn reset(&self, items: &[Item]) {
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
        for id in known.iter().filter(|id| !listed.contains(id.as_str())) {
            self.forget(id);
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
                    self.forget(id);
                }
            }
        }
    }
}
