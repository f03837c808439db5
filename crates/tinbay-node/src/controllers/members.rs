//! The boxes known to this box, and the incremental updates that pass its view on to others.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;

use tinbay_core::config::EngineSpec;
use tinbay_core::ids::{BoxId, EngineId, Incarnation, ZoneId};
use tinbay_core::units::{Millis, Revision};
use tinbay_core::view::{BoxRecord, BoxRun, BoxState, View};
use tinbay_wire::box_list::ListedBox;
use tinbay_wire::control::{HeardBox, ViewUpdate};
use tokio::sync::watch;

use crate::logging::part;
use crate::util::sync::lock;

/// Number of removals kept for incremental updates. A box that is further behind gets the whole
/// view.
const MAX_KEPT_REMOVALS: usize = 4_096;

/// The last heartbeat received from a box.
#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    incarnation: Incarnation,
    revision: Revision,
    received_ms: Millis,
}

/// The owner of an engine, computed from one version of the view.
#[derive(Debug)]
struct CachedOwner {
    version: u64,
    zone: ZoneId,
    owner: Option<BoxId>,
}

/// Membership state of this box: its view, the last heartbeat of each box, and the platform's list.
#[derive(Debug)]
pub struct Members {
    me: BoxId,
    incarnation: u64,
    view: View,
    version: u64,
    /// Version of the view in which each box last changed.
    changed: HashMap<BoxId, u64>,
    /// Removed boxes by the version of the view that removed them.
    removed: BTreeMap<u64, BoxId>,
    /// The newest version whose removal is no longer kept.
    newest_dropped_removal: u64,
    last_heartbeats: HashMap<BoxId, LastHeartbeat>,
    listed: Vec<ListedBox>,
    has_joined: bool,
    /// Cached because the cost of ranking boxes for each request would grow with the fleet.
    owners: Mutex<HashMap<EngineId, CachedOwner>>,
    changes: watch::Sender<u64>,
}

impl Members {
    /// Creates a state whose view contains only this box.
    pub fn new(me: BoxRecord) -> Self {
        let mut members = Self {
            me: me.id.clone(),
            incarnation: me.incarnation,
            view: View::default(),
            version: 0,
            changed: HashMap::new(),
            removed: BTreeMap::new(),
            newest_dropped_removal: 0,
            last_heartbeats: HashMap::new(),
            listed: Vec::new(),
            has_joined: false,
            owners: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        members.merge(me);
        members
    }

    /// The current membership view of this box.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Version of the view, increased by every change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Subscribes to changes of the view; the value is its version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Whether this box is a keeper of a zone.
    pub fn is_keeper(&self, zone: &ZoneId) -> bool {
        let keepers = self.view.keepers(zone);
        keepers.iter().any(|keeper| keeper.id == self.me)
    }

    /// The box that should own an engine, computed at most once per version of the view.
    pub fn owner_of(&self, spec: &EngineSpec) -> Option<&BoxRecord> {
        let mut owners = lock(&self.owners);
        let cached = owners.get(&spec.name);
        let owner = match cached.filter(|c| c.version == self.version && c.zone == spec.zone) {
            Some(cached) => cached.owner.clone(),
            None => {
                let ranked = self.view.succession(&spec.name, &spec.zone, &spec.region);
                let owner = ranked.first().map(|record| record.id.clone());
                let cached = CachedOwner {
                    version: self.version,
                    zone: spec.zone.clone(),
                    owner: owner.clone(),
                };
                owners.insert(spec.name.clone(), cached);
                owner
            }
        };
        self.view.get(&owner?)
    }

    /// Whether this box has reached another box or established that there are none.
    pub fn has_joined(&self) -> bool {
        self.has_joined
    }

    /// Marks this box as joined.
    pub fn set_joined(&mut self) {
        self.has_joined = true;
    }

    /// Merges a record into the view and returns whether the view changed.
    pub fn merge(&mut self, record: BoxRecord) -> bool {
        let id = record.id.clone();
        let (incarnation, state) = (record.incarnation, record.state);
        let changed = self.view.merge(record);
        if changed {
            log::debug!(target: part::MEMBER, "view: run {incarnation} of {id} is {state:?}");
            self.record_change(id);
        }
        changed
    }

    /// Marks a run of a box as live because it has announced that it owns an engine.
    pub fn mark_live(&mut self, id: &BoxId, incarnation: Incarnation) {
        if self.view.mark_live(id, incarnation) {
            log::debug!(target: part::MEMBER, "view: run {incarnation} of {id} is live, as it owns an engine");
            self.record_change(id.clone());
        }
    }

    /// Removes a box that is considered dead. This box itself is never removed.
    pub fn remove(&mut self, id: &BoxId) -> bool {
        if *id == self.me || !self.view.remove(id) {
            return false;
        }
        log::debug!(target: part::MEMBER, "view: {id} removed");
        self.raise_version();
        self.changed.remove(id);
        self.last_heartbeats.remove(id);
        self.removed.insert(self.version, id.clone());
        while self.removed.len() > MAX_KEPT_REMOVALS {
            if let Some((version, _)) = self.removed.pop_first() {
                self.newest_dropped_removal = version;
            }
        }
        true
    }

    /// Removes a run of a box that is considered dead, unless the box has restarted since.
    pub fn remove_run(&mut self, run: &BoxRun) -> bool {
        self.view.has_run(run) && self.remove(&run.id)
    }

    /// Records a heartbeat from a run of a box, with the configuration revision it has in force.
    pub fn record_heartbeat(&mut self, run: &BoxRun, revision: Revision, now_ms: Millis) {
        let heartbeat = LastHeartbeat {
            incarnation: run.incarnation,
            revision,
            received_ms: now_ms,
        };
        self.last_heartbeats.insert(run.id.clone(), heartbeat);
    }

    /// When the last heartbeat of a run of a box arrived; `None` if there was none.
    pub fn last_heartbeat_ms(&self, run: &BoxRun) -> Option<Millis> {
        let heartbeat = self.last_heartbeats.get(&run.id)?;
        (heartbeat.incarnation == run.incarnation).then_some(heartbeat.received_ms)
    }

    /// The last heartbeat from each box of a zone; boxes without one are left out.
    pub fn last_heartbeats_in(&self, zone: &ZoneId, now_ms: Millis) -> Vec<HeardBox> {
        self.view
            .boxes()
            .filter(|record| record.zone == *zone)
            .filter_map(|record| {
                let heartbeat = self.last_heartbeats.get(&record.id)?;
                Some(HeardBox {
                    id: record.id.clone(),
                    revision: heartbeat.revision,
                    silent_ms: now_ms.saturating_sub(heartbeat.received_ms),
                })
            })
            .collect()
    }

    /// Stores the platform's list and marks the boxes that it reports as leaving in the view.
    pub fn set_listed(&mut self, listed: Vec<ListedBox>) {
        for entry in &listed {
            let leaving = entry.state == BoxState::Leaving;
            if leaving && self.view.mark_leaving(&entry.id) {
                self.record_change(entry.id.clone());
            }
        }
        self.listed = listed;
    }

    /// Listed boxes that this box has not contacted yet.
    pub fn undiscovered(&self) -> Vec<ListedBox> {
        self.listed
            .iter()
            .filter(|entry| entry.id != self.me && self.view.is_unmet(&entry.id, self.has_joined))
            .cloned()
            .collect()
    }

    /// The changes of this view since `version`, which the receiver has from the run `incarnation`
    /// of this box. The whole view if that run has ended or its removals are no longer kept.
    pub fn update_since(&self, version: u64, incarnation: u64, revision: Revision) -> ViewUpdate {
        let whole = incarnation != self.incarnation || version < self.newest_dropped_removal;
        let since = if whole { 0 } else { version };
        let present = self
            .view
            .boxes()
            .filter(|record| self.changed.get(&record.id).is_some_and(|v| *v > since))
            .cloned()
            .collect();
        let gone = match whole {
            true => Vec::new(),
            false => self
                .removed
                .range(since + 1..)
                .map(|(_, id)| id.clone())
                .collect(),
        };
        ViewUpdate {
            incarnation: self.incarnation,
            version: self.version,
            whole,
            present,
            gone,
            revision,
        }
    }

    /// Applies the view of a keeper of this zone.
    pub fn apply(&mut self, update: ViewUpdate) {
        if update.whole {
            self.remove_absent(&update.present, |_| true);
        }
        for id in &update.gone {
            if !update.present.iter().any(|record| record.id == *id) {
                self.remove(id);
            }
        }
        for record in update.present {
            self.merge(record);
        }
    }

    /// Applies the part of a keeper's view that concerns its own zone, which is not the zone of
    /// this box.
    ///
    /// A whole view does not list removed boxes; boxes that it does not contain are removed. It is
    /// not used that way while the keeper is still starting, as it may not know its zone yet.
    pub fn apply_zone(&mut self, zone: &ZoneId, keeper: &BoxId, update: ViewUpdate) {
        let has_started =
            |record: &BoxRecord| record.id == *keeper && record.state != BoxState::Starting;
        if update.whole && update.present.iter().any(has_started) {
            self.remove_absent(&update.present, |record| record.zone == *zone);
        }
        let in_zone =
            |view: &View, id: &BoxId| view.get(id).is_some_and(|record| record.zone == *zone);
        for id in &update.gone {
            if in_zone(&self.view, id) {
                self.remove(id);
            }
        }
        for record in update.present {
            if record.zone == *zone {
                self.merge(record);
            }
        }
    }

    /// Removes every box of a zone.
    pub fn remove_zone(&mut self, zone: &ZoneId) {
        let ids: Vec<BoxId> = self
            .view
            .boxes()
            .filter(|record| record.zone == *zone)
            .map(|record| record.id.clone())
            .collect();
        for id in ids {
            self.remove(&id);
        }
    }

    /// Removes the boxes that satisfy `in_scope` but are absent from a whole view.
    fn remove_absent(&mut self, present: &[BoxRecord], in_scope: impl Fn(&BoxRecord) -> bool) {
        let absent: Vec<BoxId> = self
            .view
            .boxes()
            .filter(|known| in_scope(known))
            .filter(|known| !present.iter().any(|record| record.id == known.id))
            .map(|record| record.id.clone())
            .collect();
        for id in absent {
            self.remove(&id);
        }
    }

    fn raise_version(&mut self) {
        self.version += 1;
        self.changes.send_replace(self.version);
    }

    fn record_change(&mut self, id: BoxId) {
        self.raise_version();
        self.changed.insert(id, self.version);
    }
}
