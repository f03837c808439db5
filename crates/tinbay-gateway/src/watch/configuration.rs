//! Follows the operators' configuration and the versions they name.

use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::routes::RouteTable;

use super::Follower;
use crate::events::{self, part};
use crate::node::{InForce, NamedVersion, Node};
use crate::port::store::{Change, Item};

/// Follows what operators write.
pub struct ConfigurationFollower {
    node: Rc<Node>,
}

#[derive(Serialize)]
struct ConfigurationEvent {
    version: u64,
    revision: u64,
    routes: usize,
    services: usize,
}

#[derive(Serialize)]
struct VersionEvent<'a> {
    adapter: &'a str,
    version: u64,
    revision: u64,
}

#[derive(Serialize)]
struct RejectedEvent<'a> {
    key: &'a str,
    revision: u64,
    error: String,
}

impl ConfigurationFollower {
    /// A follower that changes `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self { node }
    }

    fn take(&self, item: &Item, is_news: bool) {
        let keys = self.node.dialect.keys();
        if item.key == keys.configuration {
            self.take_configuration(item);
        } else if item.key.starts_with(&keys.versions) {
            self.take_version(item, is_news);
        }
    }

    fn take_configuration(&self, item: &Item) {
        let configuration = match self.node.dialect.decode_configuration(&item.value) {
            Ok(configuration) => configuration,
            Err(error) => return reject(item, error.to_string()),
        };
        let mut in_force = self.node.in_force.borrow_mut();
        let current = in_force
            .as_ref()
            .map(|in_force| in_force.configuration.version);
        if current.is_some_and(|current| current >= configuration.version) {
            return;
        }
        let event = ConfigurationEvent {
            version: configuration.version,
            revision: item.revision,
            routes: configuration.routes.len(),
            services: configuration.services.len(),
        };
        events::emit(part::CONFIG, Level::Info, "configuration_in_force", &event);
        *in_force = Some(Rc::new(InForce {
            routes: RouteTable::new(&configuration),
            configuration,
        }));
    }

    /// `is_news` if it was seen to change, rather than found.
    fn take_version(&self, item: &Item, is_news: bool) {
        let named = match self.node.dialect.decode_version(&item.value) {
            Ok(named) => named,
            Err(error) => return reject(item, error.to_string()),
        };
        let mut versions = self.node.versions.borrow_mut();
        let current = versions.get(&named.adapter);
        if current.is_some_and(|current| current.version >= named.version) {
            return;
        }
        let event = VersionEvent {
            adapter: &named.adapter,
            version: named.version,
            revision: item.revision,
        };
        events::emit(part::CONFIG, Level::Info, "version_named", &event);
        let version = NamedVersion {
            version: named.version,
            changed_ms: is_news.then(|| self.node.now_ms()),
        };
        versions.insert(named.adapter, version);
        for server in self.node.servers.borrow().all() {
            server.order_due.notify_one();
        }
    }
}

fn reject(item: &Item, error: String) {
    let event = RejectedEvent {
        key: &item.key,
        revision: item.revision,
        error,
    };
    events::emit(part::CONFIG, Level::Error, "value_rejected", &event);
}

impl Follower for ConfigurationFollower {
    fn prefix(&self) -> &str {
        &self.node.dialect.keys().operator
    }

    fn reset(&self, items: &[Item]) {
        for item in items {
            self.take(item, false);
        }
    }

    fn apply(&self, change: &Change) {
        if let Change::Put(item) = change {
            self.take(item, true);
        }
    }
}
