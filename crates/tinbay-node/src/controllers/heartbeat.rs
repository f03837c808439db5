//! Heartbeats from every box to the keepers of its zone.
//!
//! A box adopts the membership view of the first keeper that answers, so all boxes of a zone
//! converge on the same view. A keeper removes boxes of its zone whose heartbeats stop, and any box
//! removes a keeper that stops answering, so that the next box in rank becomes a keeper.
//!
//! This controller waits only for keepers of its own zone. Other zones and newly discovered boxes
//! are contacted elsewhere, so that one that does not answer cannot delay the heartbeats by which
//! this zone knows that the box is alive.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::ids::BoxId;
use tinbay_core::silence::Silences;
use tinbay_core::units::Millis;
use tinbay_core::view::{BoxRecord, BoxRun, dead_after_ms, heartbeat_period_ms};
use tinbay_wire::control::ViewUpdate;

use super::Controller;
use super::heartbeat_client::{HeartbeatClient, HeartbeatOutcome};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{read, write};

/// How long the last contact with a removed box is remembered, so that an older view from another
/// box does not add it back as newly discovered.
const SILENCE_RETENTION_MS: Millis = 600_000;

/// Sends heartbeats within the zone and maintains the membership view.
pub struct HeartbeatController {
    node: Arc<Node>,
    client: HeartbeatClient,
    /// When each keeper last answered a heartbeat of this box.
    keeper_answers: Silences,
    /// When each box of the zone last sent a heartbeat; used while this box is a keeper.
    box_heartbeats: Silences,
    keeper_since_ms: Option<Millis>,
    /// The keeper whose view this box adopts.
    primary: Option<BoxId>,
}

impl HeartbeatController {
    /// Creates a controller that has not heard from any box yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            client: HeartbeatClient::new(node),
            keeper_answers: Silences::default(),
            box_heartbeats: Silences::default(),
            keeper_since_ms: None,
            primary: None,
        }
    }

    async fn send_heartbeats(&mut self) {
        let me = self.node.me();
        let keepers: Vec<BoxRecord> = {
            let members = read(&self.node.members);
            members
                .view()
                .keepers(&me.zone)
                .into_iter()
                .cloned()
                .collect()
        };
        let is_keeper = keepers.iter().any(|keeper| keeper.id == me.id);
        self.update_keeper_since(is_keeper);
        self.send_to_keepers(&me, &keepers).await;
        if is_keeper {
            self.remove_silent(&me);
        }
        self.expire_silences();
        let box_count = read(&self.node.members).view().boxes().count();
        self.node.metrics.boxes.set(box_count as i64);
    }

    fn zone_box_count(&self) -> usize {
        let members = read(&self.node.members);
        members.view().count_in(&self.node.options.zone)
    }

    fn dead_after_ms(&self) -> Millis {
        dead_after_ms(self.zone_box_count(), self.node.options.dead_after_ms)
    }

    fn update_keeper_since(&mut self, is_keeper: bool) {
        if !is_keeper {
            self.keeper_since_ms = None;
        } else if self.keeper_since_ms.is_none() {
            self.keeper_since_ms = Some(self.node.clock.now_ms());
        }
    }

    async fn send_to_keepers(&mut self, me: &BoxRecord, keepers: &[BoxRecord]) {
        let others = keepers.iter().filter(|keeper| keeper.id != me.id).cloned();
        let answers = self.client.send_all(others.collect()).await;
        let now_ms = self.node.clock.now_ms();
        let mut has_primary = keepers.first().is_some_and(|first| first.id == me.id);
        for HeartbeatOutcome { peer, update } in answers {
            let Some(update) = update else {
                self.remove_if_unresponsive(&peer);
                continue;
            };
            self.keeper_answers.note_heard(&peer.run(), now_ms);
            if has_primary {
                self.client.record(&peer.id, &update);
                continue;
            }
            has_primary = true;
            self.adopt_view(&peer, update);
        }
    }

    /// Adopts a keeper's view. After a change of keeper, an incremental update is discarded and the
    /// whole view is requested with the next heartbeat.
    fn adopt_view(&mut self, keeper: &BoxRecord, update: ViewUpdate) {
        let is_same_keeper = self.primary.as_ref() == Some(&keeper.id);
        self.primary = Some(keeper.id.clone());
        if is_same_keeper || update.whole {
            self.client.record(&keeper.id, &update);
            write(&self.node.members).apply(update);
        } else {
            self.client.forget(&keeper.id);
        }
    }

    /// Removes a keeper that has not answered for the failure detection time.
    fn remove_if_unresponsive(&mut self, keeper: &BoxRecord) {
        let now_ms = self.node.clock.now_ms();
        let run = keeper.run();
        if self.keeper_answers.silent_ms(&run, now_ms) >= self.dead_after_ms() {
            // If it is heard again, for instance after a freeze, its detection time starts anew.
            self.keeper_answers.forget(&run.id);
            self.remove(&run);
        }
    }

    fn remove(&mut self, run: &BoxRun) {
        let id = &run.id;
        if write(&self.node.members).remove_run(run) {
            log::warn!(target: part::MEMBER, "box {id} is unresponsive and considered dead; removed from the view");
        }
        self.client.forget(id);
    }

    fn expire_silences(&mut self) {
        let oldest_ms = self
            .node
            .clock
            .now_ms()
            .saturating_sub(SILENCE_RETENTION_MS);
        self.keeper_answers.forget_before(oldest_ms);
        self.box_heartbeats.forget_before(oldest_ms);
    }

    /// Removes boxes of the zone whose heartbeats have stopped. A new keeper waits for the whole
    /// detection time first, as it received no heartbeats before.
    fn remove_silent(&mut self, me: &BoxRecord) {
        let Some(keeper_since_ms) = self.keeper_since_ms else {
            return;
        };
        let now_ms = self.node.clock.now_ms();
        let dead_after_ms = self.dead_after_ms();
        let keeper_for_ms = now_ms.saturating_sub(keeper_since_ms);
        let mut silent: Vec<BoxRun> = Vec::new();
        let members = read(&self.node.members);
        let others = members
            .view()
            .boxes()
            .filter(|record| record.zone == me.zone && record.id != me.id);
        for record in others {
            let run = record.run();
            if let Some(heartbeat_ms) = members.last_heartbeat_ms(&run) {
                self.box_heartbeats.note_heard(&run, heartbeat_ms);
            }
            let silent_ms = self.box_heartbeats.silent_ms(&run, now_ms);
            if silent_ms.min(keeper_for_ms) >= dead_after_ms {
                silent.push(run);
            }
        }
        drop(members);
        for run in silent {
            self.remove(&run);
        }
    }
}

impl Controller for HeartbeatController {
    fn period(&self) -> Duration {
        Duration::from_millis(heartbeat_period_ms(self.zone_box_count()))
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.send_heartbeats().boxed_local()
    }
}
