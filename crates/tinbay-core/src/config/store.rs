//! In-memory store of the configuration, divided into shards with one lock each.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::objects::{Adapter, Class, ConfigKey, ConfigObject, EngineSpec, Kind, ServiceSpec};
use crate::ids::ModelRef;
use crate::units::Revision;

/// Number of shards; enough that request threads seldom contend for one lock.
const SHARDS: usize = 32;

/// The smallest key, used as the start of ranges of the index.
const FIRST_KEY: ConfigKey = ConfigKey {
    kind: Kind::Adapter,
    name: String::new(),
};

/// An object and the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigEntry {
    /// Revision of the last write to the object's key.
    pub revision: Revision,
    /// Content of the object after that write.
    pub object: ConfigObject,
}

/// State of a key. The revision of a deletion is kept, so that an older write can't restore the
/// object.
#[derive(Debug, Clone)]
enum KeyState {
    Present(ConfigEntry),
    Deleted(Revision),
}

impl KeyState {
    fn revision(&self) -> Revision {
        match self {
            KeyState::Present(entry) => entry.revision,
            KeyState::Deleted(revision) => *revision,
        }
    }
}

/// A write or, without an object, a deletion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Key of the changed object.
    pub key: ConfigKey,
    /// Revision at which the change was made.
    pub revision: Revision,
    /// New content; absent for a deletion.
    pub object: Option<ConfigObject>,
}

/// Changes that bring another box's store up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Whether `changes` holds all objects, so that any other object does not exist.
    pub whole: bool,
    /// The revision in force after the update.
    pub revision: Revision,
    /// Changes in any order; each object occurs at most once.
    pub changes: Vec<ConfigChange>,
}

/// The configuration objects known to a box. No key ever returns to a lower revision.
#[derive(Debug)]
pub struct ConfigStore {
    shards: Vec<RwLock<HashMap<ConfigKey, KeyState>>>,
    by_revision: Mutex<BTreeSet<(Revision, ConfigKey)>>,
    in_force: AtomicI64,
    /// All changes after this revision are known individually, including deletions.
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
    /// Applies a write or, without an object, a deletion. Returns false, without a change, if the
    /// revision is not higher than the known one.
    pub fn apply(&self, key: &ConfigKey, revision: Revision, object: Option<ConfigObject>) -> bool {
        let mut shard = self
            .shard(key)
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if shard
            .get(key)
            .is_some_and(|state| state.revision() >= revision)
        {
            return false;
        }
        let state = match object {
            Some(object) => KeyState::Present(ConfigEntry { revision, object }),
            None => KeyState::Deleted(revision),
        };
        let replaced = shard.insert(key.clone(), state);
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

    /// Applies an update from the key-value service or from another box.
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

    /// The update that brings a box at `revision` up to date with this one.
    pub fn update_since(&self, revision: Revision) -> ConfigUpdate {
        let in_force = self.in_force();
        if revision < self.complete_since.load(Ordering::Acquire) {
            return self.full_update(in_force);
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

    /// Declares that all changes up to `revision` have been applied.
    pub fn advance(&self, revision: Revision) {
        self.in_force.fetch_max(revision, Ordering::AcqRel);
    }

    /// The revision up to which all changes have been applied.
    pub fn in_force(&self) -> Revision {
        self.in_force.load(Ordering::Acquire)
    }

    /// Incremented with each change of an engine or service; caches of rankings are keyed by it.
    pub fn fleet_generation(&self) -> u64 {
        self.fleet_generation.load(Ordering::Acquire)
    }

    /// Looks up an object by its key.
    pub fn get(&self, key: &ConfigKey) -> Option<ConfigEntry> {
        let shard = self
            .shard(key)
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        match shard.get(key)? {
            KeyState::Present(entry) => Some(entry.clone()),
            KeyState::Deleted(_) => None,
        }
    }

    /// Whether an object exists.
    pub fn contains(&self, key: &ConfigKey) -> bool {
        let shard = self
            .shard(key)
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        matches!(shard.get(key), Some(KeyState::Present(_)))
    }

    /// The key of the first object of a kind that satisfies a predicate.
    pub fn find(&self, kind: Kind, predicate: impl Fn(&ConfigObject) -> bool) -> Option<ConfigKey> {
        self.list(kind)
            .into_iter()
            .find(|entry| predicate(&entry.object))
            .map(|entry| entry.object.key())
    }

    /// All objects of a kind, sorted by name.
    pub fn list(&self, kind: Kind) -> Vec<ConfigEntry> {
        let mut entries = Vec::new();
        for shard in &self.shards {
            let shard = shard.read().unwrap_or_else(PoisonError::into_inner);
            for (key, state) in shard.iter() {
                if let (true, KeyState::Present(entry)) = (key.kind == kind, state) {
                    entries.push(entry.clone());
                }
            }
        }
        entries.sort_by_cached_key(|entry| entry.object.key());
        entries
    }

    /// All objects, by kind and name.
    pub fn list_all(&self) -> Vec<ConfigEntry> {
        Kind::ALL
            .into_iter()
            .flat_map(|kind| self.list(kind))
            .collect()
    }

    /// Deletes the objects that a full update does not hold, except those written after it.
    fn delete_missing(&self, update: &ConfigUpdate) {
        let named: HashSet<&ConfigKey> = update.changes.iter().map(|c| &c.key).collect();
        for entry in self.list_all() {
            let key = entry.object.key();
            if entry.revision <= update.revision && !named.contains(&key) {
                self.apply(&key, update.revision, None);
            }
        }
    }

    fn full_update(&self, revision: Revision) -> ConfigUpdate {
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
        let state = shard.get(key)?;
        let object = match state {
            KeyState::Present(entry) => Some(entry.object.clone()),
            KeyState::Deleted(_) => None,
        };
        Some(ConfigChange {
            key: key.clone(),
            revision: state.revision(),
            object,
        })
    }

    fn index(&self) -> MutexGuard<'_, BTreeSet<(Revision, ConfigKey)>> {
        self.by_revision
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks up an adapter by name.
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

    /// Looks up a priority class by name.
    pub fn class(&self, name: &str) -> Option<Class> {
        match self.get(&ConfigKey::new(Kind::Class, name))?.object {
            ConfigObject::Class(class) => Some(class),
            _ => None,
        }
    }

    /// Looks up a service by name.
    pub fn service(&self, name: &str) -> Option<ServiceSpec> {
        match self.get(&ConfigKey::new(Kind::Service, name))?.object {
            ConfigObject::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Looks up an engine by name.
    pub fn engine(&self, name: &str) -> Option<EngineSpec> {
        match self.get(&ConfigKey::new(Kind::Engine, name))?.object {
            ConfigObject::Engine(engine) => Some(engine),
            _ => None,
        }
    }

    /// All engines, sorted by name.
    pub fn engines(&self) -> Vec<EngineSpec> {
        self.list(Kind::Engine)
            .into_iter()
            .filter_map(|entry| match entry.object {
                ConfigObject::Engine(engine) => Some(engine),
                _ => None,
            })
            .collect()
    }

    fn shard(&self, key: &ConfigKey) -> &RwLock<HashMap<ConfigKey, KeyState>> {
        let hash = xxh3_64(key.name.as_bytes()) as usize;
        &self.shards[hash % SHARDS]
    }
}
