//! What a box knows of the other boxes, and who has which duty by that view.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, EngineId, Incarnation, ZoneId};
use crate::rendezvous;
use crate::units::Millis;

/// Boxes of a zone that watch the key-value service for the others.
pub const KEEPERS_PER_ZONE: usize = 3;

/// How many boxes stand in line behind the owner of an engine.
pub const SUCCESSION_LENGTH: usize = 3;

/// Time between heartbeats in a small zone.
pub const HEARTBEAT_MS: Millis = 500;

/// Boxes of a zone up to which each sends heartbeats at full pace. A heartbeat and its answer
/// are about 108 bytes, so this many cost a keeper about 7 KB a second.
const BOXES_AT_FULL_PACE: usize = 36;

/// Heartbeats missed before a box is held to be dead.
const MISSED_HEARTBEATS: Millis = 3;

/// Time between heartbeats in a zone of `boxes`, so that a keeper's load stays the same.
pub fn heartbeat_period_ms(boxes: usize) -> Millis {
    HEARTBEAT_MS * boxes.div_ceil(BOXES_AT_FULL_PACE).max(1) as Millis
}

/// Silence after which a box is held to be dead, at least `least_ms`.
pub fn dead_after_ms(boxes: usize, least_ms: Millis) -> Millis {
    least_ms.max(MISSED_HEARTBEATS * heartbeat_period_ms(boxes))
}

/// Whether a box takes new work.
///
/// New states go to the end: boxes of other versions read them by their place.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BoxState {
    /// It takes work.
    Live,
    /// It ends what it has and takes nothing new.
    Leaving,
    /// It has not yet met the others or caught up with their configuration, and owns nothing.
    Starting,
}

impl BoxState {
    /// Whether a run of a box enters this state after the other one.
    pub fn is_after(self, other: BoxState) -> bool {
        self.stage() > other.stage()
    }

    fn stage(self) -> u8 {
        match self {
            BoxState::Starting => 0,
            BoxState::Live => 1,
            BoxState::Leaving => 2,
        }
    }
}

/// One box as the others see it. It changes seldom, so that views stay cheap to pass on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Its name.
    pub id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region; engines and keys are shared within one.
    pub region: String,
    /// Where callers and boxes reach it over HTTP, `ip:port`.
    pub address: String,
    /// Where boxes reach it for control messages, `ip:port`.
    pub control_address: String,
    /// Its run; higher after a restart.
    pub incarnation: Incarnation,
    /// Whether it takes new work.
    pub state: BoxState,
}

/// One run of a box's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BoxRun {
    /// The box.
    pub id: BoxId,
    /// Its run.
    pub incarnation: Incarnation,
}

impl BoxRecord {
    /// The run of the box that the record is about.
    pub fn run(&self) -> BoxRun {
        BoxRun {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The boxes a box believes to exist.
#[derive(Debug, Clone, Default)]
pub struct View {
    boxes: BTreeMap<BoxId, BoxRecord>,
}

impl View {
    /// Takes a record unless a newer one is known: a later run, or a later state of the same run.
    pub fn merge(&mut self, record: BoxRecord) -> bool {
        if let Some(known) = self.boxes.get(&record.id) {
            let stage = (record.incarnation, record.state.stage());
            if stage <= (known.incarnation, known.state.stage()) {
                return false;
            }
        }
        self.boxes.insert(record.id.clone(), record);
        true
    }

    /// Marks a box as leaving, on the platform's word.
    pub fn mark_leaving(&mut self, id: &BoxId) -> bool {
        let Some(record) = self.boxes.get_mut(id) else {
            return false;
        };
        let changed = record.state != BoxState::Leaving;
        record.state = BoxState::Leaving;
        changed
    }

    /// Marks a run of a box as live, on its own word that it owns an engine.
    pub fn mark_live(&mut self, id: &BoxId, incarnation: Incarnation) -> bool {
        let Some(record) = self.boxes.get_mut(id) else {
            return false;
        };
        let starts = record.incarnation == incarnation && record.state == BoxState::Starting;
        if starts {
            record.state = BoxState::Live;
        }
        starts
    }

    /// Removes a box that is held to be dead.
    pub fn remove(&mut self, id: &BoxId) -> bool {
        self.boxes.remove(id).is_some()
    }

    /// The record of a box.
    pub fn get(&self, id: &BoxId) -> Option<&BoxRecord> {
        self.boxes.get(id)
    }

    /// Whether a run of a box is the one that is known.
    pub fn has_run(&self, run: &BoxRun) -> bool {
        self.get(&run.id)
            .is_some_and(|record| record.incarnation == run.incarnation)
    }

    /// Whether a box is still to be met by one that has joined the others or not.
    ///
    /// Before that a box may know others by their heartbeats alone: they are in its view, but have not
    /// told it theirs. Boxes that start send none to each other, so neither would hear that the other one
    /// has become live.
    pub fn is_unmet(&self, id: &BoxId, has_joined: bool) -> bool {
        let known = self.get(id);
        !has_joined || known.is_none_or(|record| record.state == BoxState::Starting)
    }

    /// Every known box, by name.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxRecord> {
        self.boxes.values()
    }

    /// Boxes of a region that take work.
    pub fn live<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a BoxRecord> {
        self.boxes
            .values()
            .filter(move |b| b.state == BoxState::Live && b.region == region)
    }

    /// How many boxes a zone has.
    pub fn count_in(&self, zone: &ZoneId) -> usize {
        self.boxes.values().filter(|b| b.zone == *zone).count()
    }

    /// The boxes that should own `engine`, best first: those of its zone, else of its region.
    pub fn succession(&self, engine: &EngineId, zone: &ZoneId, region: &str) -> Vec<&BoxRecord> {
        let in_zone: Vec<&str> = self
            .live(region)
            .filter(|b| b.zone == *zone)
            .map(|b| b.id.as_str())
            .collect();
        let mut ranked = rendezvous::rank(engine.as_str(), in_zone, SUCCESSION_LENGTH);
        if ranked.len() < SUCCESSION_LENGTH {
            let others = self
                .live(region)
                .filter(|b| b.zone != *zone)
                .map(|b| b.id.as_str());
            let missing = SUCCESSION_LENGTH - ranked.len();
            ranked.extend(rendezvous::rank(engine.as_str(), others, missing));
        }
        ranked
            .into_iter()
            .filter_map(|id| self.boxes.get(&BoxId::new(id)))
            .collect()
    }

    /// The keepers of a zone. Views may differ for a while; one keeper more does no harm.
    /// A zone whose boxes are all leaving keeps its keepers until they have gone.
    pub fn keepers(&self, zone: &ZoneId) -> Vec<&BoxRecord> {
        let members: Vec<&BoxRecord> = self.boxes.values().filter(|b| b.zone == *zone).collect();
        let any_live = members.iter().any(|b| b.state == BoxState::Live);
        let able = members
            .into_iter()
            .filter(|b| b.state == BoxState::Live || !any_live)
            .map(|b| b.id.as_str());
        rendezvous::rank(zone.as_str(), able, KEEPERS_PER_ZONE)
            .into_iter()
            .filter_map(|id| self.boxes.get(&BoxId::new(id)))
            .collect()
    }

    /// The box of a region that shares out the weight store's allowance.
    pub fn load_arbiter(&self, region: &str) -> Option<&BoxRecord> {
        let members = self.live(region).map(|b| b.id.as_str());
        let id = rendezvous::pick("weight-store", members)?;
        self.boxes.get(&BoxId::new(id))
    }
}
