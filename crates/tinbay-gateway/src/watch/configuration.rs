//! Follows what operators write in the store: the configuration, adapter versions, and zones whose
//! servers are to get no more requests.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::position::Era;
use tinbay_core::units::Millis;

use super::Follower;
use super::access::REWRITTEN_WITHIN_MS;
use crate::events::{self, part};
use crate::node::{InForce, Node};
use crate::port::store::{Change, Item, Listing};

/// Applies what operators write.
pub struct ConfigurationFollower {
    node: Rc<Node>,
    /// Era of the last configuration change that this box has received by a watch.
    last_change_era: Cell<Option<Era>>,
}

#[derive(Serialize)]
struct ConfigurationEvent {
    version: u64,
    revision: u64,
    routes: usize,
    services: usize,
    accounts: usize,
}

#[derive(Serialize)]
struct VersionEvent<'a> {
    adapter: &'a str,
    version: u64,
    revision: u64,
    /// Upper bound of the time since the version was named; `None` if it was already named when
    /// this box started.
    earliest_age_ms: Option<Millis>,
}

#[derive(Serialize)]
struct EvacuationEvent<'a> {
    zone: &'a str,
    is_evacuated: bool,
}

#[derive(Serialize)]
struct RejectedEvent<'a> {
    key: &'a str,
    revision: u64,
    error: String,
}

impl ConfigurationFollower {
    /// Creates a follower that updates `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            last_change_era: Cell::default(),
        }
    }

    /// Applies an item, unless a newer version of its key has been applied.
    pub fn apply_item(&self, item: &Item) {
        self.drop_superseded(item);
        let keys = self.node.dialect.keys();
        if item.key == keys.configuration {
            self.apply_configuration(item);
        } else if item.key.starts_with(&keys.versions) {
            self.apply_version(item);
        } else if let Some(zone) = self.evacuated_zone(&item.key) {
            self.set_evacuated(zone, true);
        }
    }

    /// The zone that a key names if it is that of an evacuation.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.node.dialect.keys().evacuations.as_str())
    }

    fn set_evacuated(&self, zone: &str, is_evacuated: bool) {
        let servers = self.node.servers.borrow();
        if servers.set_evacuated(zone, is_evacuated) {
            let event = EvacuationEvent { zone, is_evacuated };
            events::emit(part::CONFIG, Level::Info, "evacuation", &event);
        }
    }

    /// Ends the evacuations that a listing lacks.
    fn end_evacuations_missing_from(&self, listing: &Listing) {
        let zones = self.node.servers.borrow().evacuated_zones();
        for zone in zones {
            let mut items = listing.items.iter();
            if !items.any(|item| self.evacuated_zone(&item.key) == Some(&zone)) {
                self.set_evacuated(&zone, false);
            }
        }
    }

    /// After a restore of the store, keeps the known items that the store lacks or holds in an
    /// older version.
    fn keep_items_missing_from(&self, listing: &Listing) {
        let Some(before) = self.node.replica.listing(self.prefix()) else {
            return;
        };
        if before.at.era == listing.at.era {
            return;
        }
        let kept = std::mem::take(&mut *self.node.kept_items.borrow_mut());
        let stored = listing.items.iter().map(|item| (item.key.as_str(), item));
        let stored: HashMap<&str, &Item> = stored.collect();
        let known = before.items.into_iter().chain(kept.into_values());
        for item in known {
            let stored = stored.get(item.key.as_str()).copied();
            self.keep(item, stored);
        }
    }

    /// Keeps an item of another box or of an earlier era if it is newer than the stored one.
    pub fn keep(&self, item: Item, stored: Option<&Item>) {
        let version = self.version_of(&item);
        let stored_version = stored.and_then(|stored| self.version_of(stored));
        if version.is_none() || version <= stored_version {
            return;
        }
        let mut kept_items = self.node.kept_items.borrow_mut();
        let is_newest = kept_items
            .get(&item.key)
            .is_none_or(|kept| self.version_of(kept) < version);
        if is_newest {
            kept_items.insert(item.key.clone(), item);
        }
    }

    /// Drops the kept item of a key once the store holds the same or a newer version.
    fn drop_superseded(&self, item: &Item) {
        let mut kept_items = self.node.kept_items.borrow_mut();
        let is_superseded = kept_items
            .get(&item.key)
            .is_some_and(|kept| self.version_of(item) >= self.version_of(kept));
        if is_superseded {
            kept_items.remove(&item.key);
        }
    }

    fn version_of(&self, item: &Item) -> Option<u64> {
        let keys = self.node.dialect.keys();
        if item.key == keys.configuration {
            let configuration = self.node.dialect.decode_configuration(&item.value);
            return configuration
                .ok()
                .map(|configuration| configuration.version);
        }
        let named = self.node.dialect.decode_version(&item.value);
        named.ok().map(|named| named.version)
    }

    /// Whether the operators can be assumed to have rewritten what a restore of the store lost:
    /// some seconds after the restore, or as soon as a configuration change is watched in the new
    /// era. No box knows a version that was written and lost while none could read the store.
    fn is_rewritten(&self) -> bool {
        let Some(era) = self.node.unsettled_era() else {
            return true;
        };
        if self.last_change_era.get() == Some(era) {
            return true;
        }
        let is_over = self.node.era_age_ms() >= REWRITTEN_WITHIN_MS;
        is_over && self.node.has_asked_for_missing_items.get()
    }

    fn apply_configuration(&self, item: &Item) {
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
        let accounts = configuration.accounts.all();
        let event = ConfigurationEvent {
            accounts: accounts.count(),
            version: configuration.version,
            revision: item.position.revision,
            routes: configuration.routes.len(),
            services: configuration.services.len(),
        };
        events::emit(part::CONFIG, Level::Info, "configuration_in_force", &event);
        let mut servers = self.node.servers.borrow_mut();
        for (name, service) in &configuration.services {
            servers.set_slow_start(name, service.slow_start_per_s);
        }
        drop(servers);
        *in_force = Some(Rc::new(InForce::new(configuration)));
    }

    fn apply_version(&self, item: &Item) {
        let named = match self.node.dialect.decode_version(&item.value) {
            Ok(named) => named,
            Err(error) => return reject(item, error.to_string()),
        };
        let allowed_ms = self.node.settings.borrow().bounds.version_within_ms;
        // The version had not been named when this box last had a complete view of what operators
        // wrote. Counting from the time of receipt would add the delay of a late watch to the time
        // that callers wait for the version.
        let earliest_ms = self.node.replica.complete_ms(self.prefix());
        let now_ms = self.node.now_ms();
        let mut versions = self.node.versions.borrow_mut();
        let known = versions.entry(named.adapter.clone()).or_default();
        if !known.record(named.version, earliest_ms, allowed_ms, now_ms) {
            return;
        }
        let event = VersionEvent {
            adapter: &named.adapter,
            version: named.version,
            revision: item.position.revision,
            earliest_age_ms: earliest_ms.map(|earliest_ms| now_ms.saturating_sub(earliest_ms)),
        };
        events::emit(part::CONFIG, Level::Info, "version_named", &event);
        for server in self.node.servers.borrow().all() {
            server.order_due.notify_one();
        }
    }
}

fn reject(item: &Item, error: String) {
    let event = RejectedEvent {
        key: &item.key,
        revision: item.position.revision,
        error,
    };
    events::emit(part::CONFIG, Level::Error, "value_rejected", &event);
}

impl Follower for ConfigurationFollower {
    fn prefix(&self) -> &str {
        &self.node.dialect.keys().operator
    }

    fn reset(&self, listing: &Listing) {
        self.keep_items_missing_from(listing);
        self.end_evacuations_missing_from(listing);
        for item in &listing.items {
            self.apply_item(item);
        }
    }

    fn is_complete(&self) -> bool {
        self.is_rewritten() && self.node.kept_items.borrow().is_empty()
    }

    fn apply(&self, change: &Change) {
        match change {
            Change::Put(item) => {
                if item.key == self.node.dialect.keys().configuration {
                    self.last_change_era.set(Some(item.position.era));
                }
                self.apply_item(item);
            }
            Change::Deleted { key, .. } => {
                if let Some(zone) = self.evacuated_zone(key) {
                    self.set_evacuated(zone, false);
                }
            }
        }
    }
}
