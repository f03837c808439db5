//! A box's view of the other boxes, and the roles that follow from it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, EngineId, Incarnation, ZoneId};
use crate::rendezvous;
use crate::units::Millis;

/// Number of keepers in a zone: the boxes that watch the key-value service and receive heartbeats
/// on behalf of the others.
pub const KEEPERS_PER_ZONE: usize = 3;

/// Number of boxes in the succession of an engine, including its owner.
pub const SUCCESSION_LENGTH: usize = 3;

/// Time between heartbeats in a small zone.
pub const HEARTBEAT_MS: Millis = 500;

/// Number of boxes in a zone up to which heartbeats are sent every [`HEARTBEAT_MS`]. A heartbeat
/// and its answer take about 108 bytes, so that a keeper handles about 7 KB/s.
const BOXES_AT_FULL_RATE: usize = 36;

/// Missed heartbeats after which a box is declared dead.
const MISSED_HEARTBEATS: Millis = 3;

/// Time between heartbeats in a zone of `boxes`; it grows with the zone to bound the load of a
/// keeper.
pub fn heartbeat_period_ms(boxes: usize) -> Millis {
    HEARTBEAT_MS * boxes.div_ceil(BOXES_AT_FULL_RATE).max(1) as Millis
}

/// Silence after which a box is declared dead, at least `least_ms`.
pub fn dead_after_ms(boxes: usize, least_ms: Millis) -> Millis {
    least_ms.max(MISSED_HEARTBEATS * heartbeat_period_ms(boxes))
}

/// Lifecycle state of a box.
///
/// New states must be appended, as other versions of the software decode them by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BoxState {
    /// The box accepts work.
    Live,
    /// The box finishes its work and accepts no new work.
    Leaving,
    /// The box has not yet joined the others or caught up with the configuration, and owns nothing.
    Starting,
}

impl BoxState {
    /// Whether this state comes after `other` in the life of a run.
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

/// Description of a box, as distributed to the others. It changes seldom, so that views are cheap
/// to distribute.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRecord {
    /// Unique id from the settings of the box.
    pub id: BoxId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Region; engines and keys are shared within one.
    pub region: String,
    /// HTTP address for callers and other boxes, `ip:port`.
    pub address: String,
    /// Address for control messages of other boxes, `ip:port`.
    pub control_address: String,
    /// Incarnation of the process; higher after a restart.
    pub incarnation: Incarnation,
    /// Lifecycle state of this run.
    pub state: BoxState,
}

/// One run of a box's process.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct BoxRun {
    /// Id of the box.
    pub id: BoxId,
    /// Distinguishes the run from earlier and later ones.
    pub incarnation: Incarnation,
}

impl BoxRecord {
    /// The run of the box that the record describes.
    pub fn run(&self) -> BoxRun {
        BoxRun {
            id: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The boxes that a box knows of.
#[derive(Debug, Clone, Default)]
pub struct View {
    boxes: BTreeMap<BoxId, BoxRecord>,
}

impl View {
    /// Inserts a record unless the known one is at least as new, by run and then by state. Returns
    /// whether it was inserted.
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

    /// Marks a box as leaving, as announced by the platform. Returns whether that changed its
    /// state.
    pub fn mark_leaving(&mut self, id: &BoxId) -> bool {
        let Some(record) = self.boxes.get_mut(id) else {
            return false;
        };
        let changed = record.state != BoxState::Leaving;
        record.state = BoxState::Leaving;
        changed
    }

    /// Marks a starting run of a box as live, after it has reported that it owns an engine. Returns
    /// whether that changed its state.
    pub fn mark_live(&mut self, id: &BoxId, incarnation: Incarnation) -> bool {
        let Some(record) = self.boxes.get_mut(id) else {
            return false;
        };
        let is_starting = record.incarnation == incarnation && record.state == BoxState::Starting;
        if is_starting {
            record.state = BoxState::Live;
        }
        is_starting
    }

    /// Removes a box that was declared dead.
    pub fn remove(&mut self, id: &BoxId) -> bool {
        self.boxes.remove(id).is_some()
    }

    /// The record of a box.
    pub fn get(&self, id: &BoxId) -> Option<&BoxRecord> {
        self.boxes.get(id)
    }

    /// Whether the known run of the box is this one.
    pub fn has_run(&self, run: &BoxRun) -> bool {
        self.get(&run.id)
            .is_some_and(|record| record.incarnation == run.incarnation)
    }

    /// Whether this box, which has joined the others if `has_joined`, still has to exchange views
    /// with box `id`.
    ///
    /// Before it has joined, a box may know others by their heartbeats only: they are in its view,
    /// but it has not received theirs. Starting boxes send each other no heartbeats, so that
    /// neither would learn that the other one has become live.
    pub fn is_unmet(&self, id: &BoxId, has_joined: bool) -> bool {
        let known = self.get(id);
        !has_joined || known.is_none_or(|record| record.state == BoxState::Starting)
    }

    /// All known boxes, sorted by id.
    pub fn boxes(&self) -> impl Iterator<Item = &BoxRecord> {
        self.boxes.values()
    }

    /// The live boxes of a region.
    pub fn live<'a>(&'a self, region: &'a str) -> impl Iterator<Item = &'a BoxRecord> {
        self.boxes
            .values()
            .filter(move |b| b.state == BoxState::Live && b.region == region)
    }

    /// Number of boxes in a zone.
    pub fn count_in(&self, zone: &ZoneId) -> usize {
        self.boxes.values().filter(|b| b.zone == *zone).count()
    }

    /// The succession of `engine`: its designated owner, then those next in line. Boxes of its zone
    /// come first, then those of its region.
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

    /// The keepers of a zone. Views may differ for a while, which is harmless, as it only leads to
    /// an additional keeper. If all boxes of a zone are leaving, they stay eligible.
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

    /// The box of a region that runs the [`LoadArbiter`](crate::loads::LoadArbiter).
    pub fn load_arbiter(&self, region: &str) -> Option<&BoxRecord> {
        let members = self.live(region).map(|b| b.id.as_str());
        let id = rendezvous::pick("weight-store", members)?;
        self.boxes.get(&BoxId::new(id))
    }
}
