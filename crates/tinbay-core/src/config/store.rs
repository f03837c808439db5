//! The configuration a box serves from: shards, each under its own lock.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::objects::{Adapter, Class, ConfigKey, ConfigObject, EngineSpec, Kind, ServiceSpec};
use crate::ids::ModelRef;
use crate::units::Revision;

/// Shards; enough that request threads seldom meet on one lock.
const SHARDS: usize = 32;

/// The lowest key there is, to start a range of the index.
const FIRST_KEY: ConfigKey = ConfigKey {
    kind: Kind::Adapter,
    name: String::new(),
};

/// An object and the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// The revision of the last write to this key.
    pub revision: Revision,
    /// The object.
    pub object: ConfigObject,
}

/// A deleted object leaves its revision behind, so that an older write cannot revive it.
#[derive(Debug, Clone)]
enum Held {
    Present(ConfigEntry),
    Deleted(Revision),
}

impl Held {
    fn revision(&self) -> Revision {
        match self {
            Held::Present(entry) => entry.revision,
            Held::Deleted(revision) => *revision,
        }
    }
}

/// A write or, without an object, a deletion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The object's key.
    pub key: ConfigKey,
    /// The revision of the change.
    pub revision: Revision,
    /// The object, if it exists after the change.
    pub object: Option<ConfigObject>,
}

/// What a box needs to catch up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Whether `changes` names every object; then what it leaves out does not exist.
    pub whole: bool,
    /// The revision in force after the update.
    pub revision: Revision,
    /// The changes.
    pub changes: Vec<ConfigChange>,
}

/// All objects known to a box. It never goes back to a lower revision of any key.
#[derive(Debug)]
pub struct ConfigStore {
    shards: Vec<RwLock<HashMap<ConfigKey, Held>>>,
    by_revision: Mutex<BTreeSet<(Revision, ConfigKey)>>,
    in_force: AtomicI64,
    /// Changes after this revision are all known one by one, deletions included.
    complete_since: AtomicI64,
    fleet_generation: AtomicU64,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self {
            shards: (0..SHARDS).map(|_| RwLock::default()).collect(),
            by_revision: Mutex::default(),
            in_force: AtomicI64::new(0),
            complete_since: AtomicI64::new(0),
            fleet_generation: AtomicU64::new(0),
        }
    }
}

impl ConfigStore {
    /// Applies a write or, with no object, a deletion. A revision not above the known one
    /// changes nothing.
    pub fn apply(&self, key: &ConfigKey, revision: Revision, object: Option<ConfigObject>) -> bool {
        let mut shard = self
            .shard(key)
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if shard
            .get(key)
            .is_some_and(|held| held.revision() >= revision)
        {
            return false;
        }
        let held = match object {
            Some(object) => Held::Present(ConfigEntry { revision, object }),
            None => Held::Deleted(revision),
        };
        let replaced = shard.insert(key.clone(), held);
        drop(shard);
        let mut index = self.index();
        if let Some(old) = replaced {
            index.remove(&(old.revision(), key.clone()));
        }
        index.insert((revision, key.clone()));
        drop(index);
        if matches!(key.kind, Kind::Engine | Kind::Service) {
            self.fleet_generation.fetch_add(1, Ordering::AcqRel);
        }
        true
    }

    /// Applies an update from the key-value service or a keeper.
    pub fn apply_update(&self, update: &ConfigUpdate) {
        if update.whole {
            self.delete_missing(update);
        }
        for change in &update.changes {
            self.apply(&change.key, change.revision, change.object.clone());
        }
        if update.whole {
            self.complete_since
                .fetch_max(update.revision, Ordering::AcqRel);
        }
        self.advance(update.revision);
    }

    /// What a box at `revision` needs to catch up with this one.
    pub fn update_since(&self, revision: Revision) -> ConfigUpdate {
        let in_force = self.in_force();
        if revision < self.complete_since.load(Ordering::Acquire) {
            return self.whole(in_force);
        }
        let keys: Vec<ConfigKey> = self
            .index()
            .range((revision + 1, FIRST_KEY)..)
            .map(|(_, key)| key.clone())
            .collect();
        ConfigUpdate {
            whole: false,
            revision: in_force,
            changes: keys.iter().filter_map(|key| self.change(key)).collect(),
        }
    }

    /// Declares everything up to `revision` applied.
    pub fn advance(&self, revision: Revision) {
        self.in_force.fetch_max(revision, Ordering::AcqRel);
    }

    /// The revision up to which everything is applied.
    pub fn in_force(&self) -> Revision {
        self.in_force.load(Ordering::Acquire)
    }

    /// Changes when an engine or service was written; caches of rankings compare it.
    pub fn fleet_generation(&self) -> u64 {
        self.fleet_generation.load(Ordering::Acquire)
    }

    /// An object by its key.
    pub fn get(&self, key: &ConfigKey) -> Option<ConfigEntry> {
        let shard = self
            .shard(key)
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        match shard.get(key)? {
            Held::Present(entry) => Some(entry.clone()),
            Held::Deleted(_) => None,
        }
    }

    /// Whether an object exists.
    pub fn contains(&self, key: &ConfigKey) -> bool {
        let shard = self
            .shard(key)
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        matches!(shard.get(key), Some(Held::Present(_)))
    }

    /// The key of some object of a kind that meets a condition.
    pub fn find(&self, kind: Kind, meets: impl Fn(&ConfigObject) -> bool) -> Option<ConfigKey> {
        self.list(kind)
            .into_iter()
            .find(|entry| meets(&entry.object))
            .map(|entry| entry.object.key())
    }

    /// Every object of a kind, by name.
    pub fn list(&self, kind: Kind) -> Vec<ConfigEntry> {
        let mut entries = Vec::new();
        for shard in &self.shards {
            let shard = shard.read().unwrap_or_else(PoisonError::into_inner);
            for (key, held) in shard.iter() {
                if let (true, Held::Present(entry)) = (key.kind == kind, held) {
                    entries.push(entry.clone());
                }
            }
        }
        entries.sort_by_cached_key(|entry| entry.object.key());
        entries
    }

    /// Every object, by key.
    pub fn list_all(&self) -> Vec<ConfigEntry> {
        Kind::ALL
            .into_iter()
            .flat_map(|kind| self.list(kind))
            .collect()
    }

    /// Deletes what a whole update does not name and was not written after it.
    fn delete_missing(&self, update: &ConfigUpdate) {
        let named: HashSet<&ConfigKey> = update.changes.iter().map(|c| &c.key).collect();
        for entry in self.list_all() {
            let key = entry.object.key();
            if entry.revision <= update.revision && !named.contains(&key) {
                self.apply(&key, update.revision, None);
            }
        }
    }

    fn whole(&self, revision: Revision) -> ConfigUpdate {
        let changes = self
            .list_all()
            .into_iter()
            .map(|entry| ConfigChange {
                key: entry.object.key(),
                revision: entry.revision,
                object: Some(entry.object),
            })
            .collect();
        ConfigUpdate {
            whole: true,
            revision,
            changes,
        }
    }

    fn change(&self, key: &ConfigKey) -> Option<ConfigChange> {
        let shard = self
            .shard(key)
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let held = shard.get(key)?;
        let object = match held {
            Held::Present(entry) => Some(entry.object.clone()),
            Held::Deleted(_) => None,
        };
        Some(ConfigChange {
            key: key.clone(),
            revision: held.revision(),
            object,
        })
    }

    fn index(&self) -> MutexGuard<'_, BTreeSet<(Revision, ConfigKey)>> {
        self.by_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// An adapter by name.
    pub fn adapter(&self, name: &str) -> Option<Adapter> {
        match self.get(&ConfigKey::new(Kind::Adapter, name))?.object {
            ConfigObject::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Whether a version exists.
    pub fn has_version(&self, model: &ModelRef) -> bool {
        self.contains(&ConfigKey::version(model))
    }

    /// A priority class by name.
    pub fn class(&self, name: &str) -> Option<Class> {
        match self.get(&ConfigKey::new(Kind::Class, name))?.object {
            ConfigObject::Class(class) => Some(class),
            _ => None,
        }
    }

    /// A plain service by name.
    pub fn service(&self, name: &str) -> Option<ServiceSpec> {
        match self.get(&ConfigKey::new(Kind::Service, name))?.object {
            ConfigObject::Service(service) => Some(service),
            _ => None,
        }
    }

    /// An engine by name.
    pub fn engine(&self, name: &str) -> Option<EngineSpec> {
        match self.get(&ConfigKey::new(Kind::Engine, name))?.object {
            ConfigObject::Engine(engine) => Some(engine),
            _ => None,
        }
    }

    /// Every engine, by name.
    pub fn engines(&self) -> Vec<EngineSpec> {
        self.list(Kind::Engine)
            .into_iter()
            .filter_map(|entry| match entry.object {
                ConfigObject::Engine(engine) => Some(engine),
                _ => None,
            })
            .collect()
    }

    fn shard(&self, key: &ConfigKey) -> &RwLock<HashMap<ConfigKey, Held>> {
        let hash = xxh3_64(key.name.as_bytes()) as usize;
        &self.shards[hash % SHARDS]
    }
}
