//! Heartbeats between zones: each keeper contacts one keeper of every other zone, all zones
//! concurrently.

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
use super::heartbeat_client::{HeartbeatClient, ViewPosition, send_heartbeat};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{read, write};

/// A zone is considered cut off when none of its keepers has answered for this long.
const ZONE_DEAD_AFTER_MS: Millis = 10_000;

/// Keeps the boxes of other zones in the view up to date while this box is a keeper.
pub struct ZoneHeartbeatController {
    node: Arc<Node>,
    client: HeartbeatClient,
    answered_ms: HashMap<ZoneId, Millis>,
    /// The keeper of each zone that answered last.
    responsive_keepers: HashMap<ZoneId, BoxId>,
}

/// The answer of the first keeper of a zone that responded, if any did.
struct ZoneAnswer {
    zone: ZoneId,
    answer: Option<(BoxRecord, ViewUpdate)>,
}

impl ZoneHeartbeatController {
    /// Creates a controller that has not contacted any zone yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            client: HeartbeatClient::new(node),
            answered_ms: HashMap::new(),
            responsive_keepers: HashMap::new(),
        }
    }

    async fn contact_zones(&mut self) {
        let zones = self.keepers_of_other_zones();
        let contacts = zones.into_iter().map(|(zone, mut keepers)| {
            // The keeper that answered last is tried first, as waiting for a frozen one to time out
            // would delay every step.
            let last_responsive = self.responsive_keepers.get(&zone);
            keepers.sort_by_key(|keeper| Some(&keeper.id) != last_responsive);
            let positions = keepers
                .iter()
                .map(|keeper| self.client.position(&keeper.id));
            let candidates = keepers.iter().cloned().zip(positions).collect();
            contact_zone(Arc::clone(&self.node), zone, candidates)
        });
        for answer in join_all(contacts).await {
            self.apply_answer(answer);
        }
    }

    /// The keepers of each other zone; empty unless this box is a keeper itself.
    fn keepers_of_other_zones(&self) -> BTreeMap<ZoneId, Vec<BoxRecord>> {
        let own_zone = &self.node.options.zone;
        let members = read(&self.node.members);
        let view = members.view();
        if !members.is_keeper(own_zone) {
            return BTreeMap::new();
        }
        let zones: BTreeSet<&ZoneId> = view.boxes().map(|record| &record.zone).collect();
        zones
            .into_iter()
            .filter(|zone| *zone != own_zone)
            .map(|zone| {
                let keepers = view.keepers(zone).into_iter().cloned().collect();
                (zone.clone(), keepers)
            })
            .collect()
    }

    fn apply_answer(&mut self, answer: ZoneAnswer) {
        let now_ms = self.node.clock.now_ms();
        let zone = answer.zone;
        if let Some((keeper, update)) = answer.answer {
            self.client.record(&keeper.id, &update);
            self.answered_ms.insert(zone.clone(), now_ms);
            write(&self.node.members).apply_zone(&zone, &keeper.id, update);
            self.responsive_keepers.insert(zone, keeper.id);
            return;
        }
        let since_ms = *self.answered_ms.entry(zone.clone()).or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= ZONE_DEAD_AFTER_MS {
            self.answered_ms.remove(&zone);
            write(&self.node.members).remove_zone(&zone);
            log::warn!(target: part::MEMBER, "zone {zone} is unresponsive and considered cut off; its boxes are removed from the view");
        }
    }
}

/// Contacts the keepers of a zone in turn until one answers.
async fn contact_zone(
    node: Arc<Node>,
    zone: ZoneId,
    keepers: Vec<(BoxRecord, ViewPosition)>,
) -> ZoneAnswer {
    for (keeper, position) in keepers {
        if let Some(update) = send_heartbeat(&node, &keeper, position).await {
            let answer = Some((keeper, update));
            return ZoneAnswer { zone, answer };
        }
    }
    ZoneAnswer { zone, answer: None }
}

impl Controller for ZoneHeartbeatController {
    fn period(&self) -> Duration {
        let members = read(&self.node.members);
        let box_count = members.view().count_in(&self.node.options.zone);
        Duration::from_millis(heartbeat_period_ms(box_count))
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.contact_zones().boxed_local()
    }
}
