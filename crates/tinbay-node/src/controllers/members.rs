//! The boxes this box knows, and how it passes its view on.

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

/// Removals remembered for boxes that catch up; one that is further behind gets the whole view.
const KEPT_REMOVALS: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Heard {
    incarnation: Incarnation,
    revision: Revision,
    at_ms: Millis,
}

/// The owner of an engine as worked out from one version of the view.
#[derive(Debug)]
struct KnownOwner {
    version: u64,
    zone: ZoneId,
    owner: Option<BoxId>,
}

/// What this box knows of others.
#[derive(Debug)]
pub struct Members {
    me: BoxId,
    incarnation: u64,
    view: View,
    version: u64,
    changed: HashMap<BoxId, u64>,
    removed: BTreeMap<u64, BoxId>,
    oldest_removal: u64,
    heard: HashMap<BoxId, Heard>,
    listed: Vec<ListedBox>,
    joined: bool,
    /// Ranking the boxes of a zone for each request would grow with the fleet.
    owners: Mutex<HashMap<EngineId, KnownOwner>>,
    changes: watch::Sender<u64>,
}

impl Members {
    /// A view that holds only this box.
    pub fn new(me: BoxRecord) -> Self {
        let mut members = Self {
            me: me.id.clone(),
            incarnation: me.incarnation,
            view: View::default(),
            version: 0,
            changed: HashMap::new(),
            removed: BTreeMap::new(),
            oldest_removal: 0,
            heard: HashMap::new(),
            listed: Vec::new(),
            joined: false,
            owners: Mutex::default(),
            changes: watch::Sender::new(0),
        };
        members.merge(me);
        members
    }

    /// The view.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Rises with every change of the view.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Tells of every change of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Whether this box is a keeper of a zone.
    pub fn is_keeper(&self, zone: &ZoneId) -> bool {
        let keepers = self.view.keepers(zone);
        keepers.iter().any(|keeper| keeper.id == self.me)
    }

    /// The box that should own an engine; worked out once a change of the view.
    pub fn owner_of(&self, spec: &EngineSpec) -> Option<&BoxRecord> {
        let mut owners = lock(&self.owners);
        let known = owners.get(&spec.name);
        let owner = match known.filter(|k| k.version == self.version && k.zone == spec.zone) {
            Some(known) => known.owner.clone(),
            None => {
                let heirs = self.view.succession(&spec.name, &spec.zone, &spec.region);
                let owner = heirs.first().map(|heir| heir.id.clone());
                let known = KnownOwner {
                    version: self.version,
                    zone: spec.zone.clone(),
                    owner: owner.clone(),
                };
                owners.insert(spec.name.clone(), known);
                owner
            }
        };
        self.view.get(&owner?)
    }

    /// Whether the box has met the others or found that there are none.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Declares the box to have joined.
    pub fn set_joined(&mut self) {
        self.joined = true;
    }

    /// Takes a record in.
    pub fn merge(&mut self, record: BoxRecord) -> bool {
        let id = record.id.clone();
        let (incarnation, state) = (record.incarnation, record.state);
        let changed = self.view.merge(record);
        if changed {
            log::debug!(target: part::MEMBER, "view: run {incarnation} of {id} is {state:?}");
            self.note_change(id);
        }
        changed
    }

    /// Takes a run of a box to be live, on its own word that it owns an engine.
    pub fn mark_live(&mut self, id: &BoxId, incarnation: Incarnation) {
        if self.view.mark_live(id, incarnation) {
            log::debug!(target: part::MEMBER, "view: run {incarnation} of {id} is live, as it owns an engine");
            self.note_change(id.clone());
        }
    }

    /// Removes a box held to be dead. This box itself is never removed.
    pub fn remove(&mut self, id: &BoxId) -> bool {
        if *id == self.me || !self.view.remove(id) {
            return false;
        }
        log::debug!(target: part::MEMBER, "view: {id} is gone");
        self.raise_version();
        self.changed.remove(id);
        self.heard.remove(id);
        self.removed.insert(self.version, id.clone());
        while self.removed.len() > KEPT_REMOVALS {
            if let Some((version, _)) = self.removed.pop_first() {
                self.oldest_removal = version;
            }
        }
        true
    }

    /// Removes a run of a box held to be dead, unless the box has started again meanwhile.
    pub fn remove_run(&mut self, run: &BoxRun) -> bool {
        self.view.has_run(run) && self.remove(&run.id)
    }

    /// Notes that a run of a box was heard.
    pub fn note_heard(&mut self, run: &BoxRun, revision: Revision, now_ms: Millis) {
        let heard = Heard {
            incarnation: run.incarnation,
            revision,
            at_ms: now_ms,
        };
        self.heard.insert(run.id.clone(), heard);
    }

    /// When a run of a box was last heard.
    pub fn heard_ms(&self, run: &BoxRun) -> Option<Millis> {
        let heard = self.heard.get(&run.id)?;
        (heard.incarnation == run.incarnation).then_some(heard.at_ms)
    }

    /// What was last heard from each box of a zone.
    pub fn heard_in(&self, zone: &ZoneId, now_ms: Millis) -> Vec<HeardBox> {
        self.view
            .boxes()
            .filter(|record| record.zone == *zone)
            .filter_map(|record| {
                let heard = self.heard.get(&record.id)?;
                Some(HeardBox {
                    id: record.id.clone(),
                    revision: heard.revision,
                    silent_ms: now_ms.saturating_sub(heard.at_ms),
                })
            })
            .collect()
    }

    /// Keeps the platform's list; boxes it marks as leaving are taken at its word.
    pub fn set_listed(&mut self, listed: Vec<ListedBox>) {
        for entry in &listed {
            let leaving = entry.state == BoxState::Leaving;
            if leaving && self.view.mark_leaving(&entry.id) {
                self.note_change(entry.id.clone());
            }
        }
        self.listed = listed;
    }

    /// Listed boxes that are still to be met.
    pub fn unmet(&self) -> Vec<ListedBox> {
        self.listed
            .iter()
            .filter(|entry| entry.id != self.me && self.view.is_unmet(&entry.id, self.joined))
            .cloned()
            .collect()
    }

    /// What a box that has `version` of this view still needs.
    pub fn update_since(&self, version: u64, incarnation: u64, revision: Revision) -> ViewUpdate {
        let whole = incarnation != self.incarnation || version < self.oldest_removal;
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

    /// Takes the view of this zone's keeper over.
    pub fn apply(&mut self, update: ViewUpdate) {
        if update.whole {
            self.remove_unnamed(&update.present, |_| true);
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

    /// Takes over what a keeper of another zone says about that zone.
    ///
    /// A whole view names no box as gone: those that it leaves out are, unless the keeper itself has yet to
    /// meet its zone.
    pub fn apply_zone(&mut self, zone: &ZoneId, keeper: &BoxId, update: ViewUpdate) {
        let has_met =
            |record: &BoxRecord| record.id == *keeper && record.state != BoxState::Starting;
        if update.whole && update.present.iter().any(has_met) {
            self.remove_unnamed(&update.present, |record| record.zone == *zone);
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

    /// Removes boxes of those concerned that a whole view does not name.
    fn remove_unnamed(&mut self, present: &[BoxRecord], concerns: impl Fn(&BoxRecord) -> bool) {
        let unnamed: Vec<BoxId> = self
            .view
            .boxes()
            .filter(|known| concerns(known))
            .filter(|known| !present.iter().any(|record| record.id == known.id))
            .map(|record| record.id.clone())
            .collect();
        for id in unnamed {
            self.remove(&id);
        }
    }

    fn raise_version(&mut self) {
        self.version += 1;
        self.changes.send_replace(self.version);
    }

    fn note_change(&mut self, id: BoxId) {
        self.raise_version();
        self.changed.insert(id, self.version);
    }
}
