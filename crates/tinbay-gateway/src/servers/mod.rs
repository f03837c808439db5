//! The servers this box knows, and what it has running at each.

pub mod server;
pub mod usage;
pub mod view;

use std::collections::HashMap;
use std::rc::Rc;

use server::server_key;
pub use server::{RunningRequest, Server};
use tinbay_core::serving::servers::{Fingerprint, ServerKey, ServerRecord};

/// All servers known, by the name of their incarnation.
#[derive(Debug, Default)]
pub struct ServerTable {
    by_id: HashMap<String, Rc<Server>>,
    ids: HashMap<ServerKey, String>,
    keys: HashMap<Fingerprint, ServerKey>,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is new.
    Arrived,
    /// Its state changed.
    StateChanged,
    /// Nothing that decides anything.
    Same,
}

impl ServerTable {
    /// Notes a server's entry.
    pub fn put(&mut self, record: ServerRecord) -> ServerChange {
        match self.by_id.get(&record.id) {
            Some(server) => {
                let changed = server.record.borrow().state != record.state;
                *server.record.borrow_mut() = Rc::new(record);
                if changed {
                    ServerChange::StateChanged
                } else {
                    ServerChange::Same
                }
            }
            None => {
                let id = record.id.clone();
                let key = server_key(&id);
                self.keys.insert(key as Fingerprint, key);
                self.ids.insert(key, id.clone());
                self.by_id.insert(id, Rc::new(Server::new(record)));
                ServerChange::Arrived
            }
        }
    }

    /// Forgets a server.
    pub fn remove(&mut self, id: &str) -> bool {
        let key = server_key(id);
        self.ids.remove(&key);
        self.keys.remove(&(key as Fingerprint));
        match self.by_id.remove(id) {
            Some(server) => {
                server.pool.clear();
                true
            }
            None => false,
        }
    }

    /// A server by its name.
    pub fn get(&self, id: &str) -> Option<Rc<Server>> {
        self.by_id.get(id).cloned()
    }

    /// A server by its short name.
    pub fn by_key(&self, key: ServerKey) -> Option<Rc<Server>> {
        self.get(self.ids.get(&key)?)
    }

    /// A server by the short form of its key.
    pub fn by_fingerprint(&self, fingerprint: Fingerprint) -> Option<Rc<Server>> {
        self.by_key(*self.keys.get(&fingerprint)?)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_id.values()
    }

    /// Servers of a service that take work.
    pub fn ready(&self, service: &str) -> Vec<Rc<Server>> {
        let fits =
            |server: &&Rc<Server>| server.is_ready() && server.record.borrow().service == service;
        self.by_id.values().filter(fits).cloned().collect()
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
