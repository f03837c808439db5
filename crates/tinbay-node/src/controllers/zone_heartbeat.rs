//! Heartbeats between zones: each keeper to one keeper of every other zone, all at once.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_core::units::Millis;
use tinbay_core::view::{BoxRecord, heartbeat_period_ms};
use tinbay_wire::control::ViewUpdate;

use super::Controller;
use super::beats::{Beats, Known, beat};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{read, write};

/// A zone none of whose keepers has answered for this long is held to be cut off.
const ZONE_SILENT_MS: Millis = 10_000;

/// As a keeper, hears of other zones.
pub struct ZoneHeartbeatController {
    node: Arc<Node>,
    beats: Beats,
    answered_ms: HashMap<ZoneId, Millis>,
    /// The keeper of each zone that answered last.
    answering: HashMap<ZoneId, BoxId>,
}

/// What the first keeper of a zone that answered told.
struct ZoneAnswer {
    zone: ZoneId,
    told: Option<(BoxRecord, ViewUpdate)>,
}

impl ZoneHeartbeatController {
    /// A controller that has heard of no zone yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            beats: Beats::new(node),
            answered_ms: HashMap::new(),
            answering: HashMap::new(),
        }
    }

    async fn beat_zones(&mut self) {
        let zones = self.keepers_of_other_zones();
        let asks = zones.into_iter().map(|(zone, mut keepers)| {
            // A frozen keeper would hold up every round by the wait for its answer.
            let answering = self.answering.get(&zone);
            keepers.sort_by_key(|keeper| Some(&keeper.id) != answering);
            let known = keepers.iter().map(|keeper| self.beats.known(&keeper.id));
            let asked = keepers.iter().cloned().zip(known).collect();
            ask_zone(Arc::clone(&self.node), zone, asked)
        });
        for answer in join_all(asks).await {
            self.take(answer);
        }
    }

    /// Nobody unless this box is a keeper itself.
    fn keepers_of_other_zones(&self) -> BTreeMap<ZoneId, Vec<BoxRecord>> {
        let own = &self.node.options.zone;
        let members = read(&self.node.members);
        let view = members.view();
        if !members.is_keeper(own) {
            return BTreeMap::new();
        }
        let zones: BTreeSet<&ZoneId> = view.boxes().map(|record| &record.zone).collect();
        zones
            .into_iter()
            .filter(|zone| *zone != own)
            .map(|zone| {
                let keepers = view.keepers(zone).into_iter().cloned().collect();
                (zone.clone(), keepers)
            })
            .collect()
    }

    fn take(&mut self, answer: ZoneAnswer) {
        let now_ms = self.node.clock.now_ms();
        let zone = answer.zone;
        if let Some((keeper, update)) = answer.told {
            self.beats.note(&keeper.id, &update);
            self.answered_ms.insert(zone.clone(), now_ms);
            write(&self.node.members).apply_zone(&zone, &keeper.id, update);
            self.answering.insert(zone, keeper.id);
            return;
        }
        let since_ms = *self.answered_ms.entry(zone.clone()).or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= ZONE_SILENT_MS {
            self.answered_ms.remove(&zone);
            write(&self.node.members).remove_zone(&zone);
            log::warn!(target: part::MEMBER, "zone {zone} is silent and held to be cut off");
        }
    }
}

/// Asks the keepers of a zone in turn until one answers.
async fn ask_zone(node: Arc<Node>, zone: ZoneId, keepers: Vec<(BoxRecord, Known)>) -> ZoneAnswer {
    for (keeper, known) in keepers {
        if let Some(update) = beat(&node, &keeper, known).await {
            let told = Some((keeper, update));
            return ZoneAnswer { zone, told };
        }
    }
    ZoneAnswer { zone, told: None }
}

impl Controller for ZoneHeartbeatController {
    fn period(&self) -> Duration {
        let members = read(&self.node.members);
        let boxes = members.view().count_in(&self.node.options.zone);
        Duration::from_millis(heartbeat_period_ms(boxes))
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.beat_zones().boxed_local()
    }
}
