//! Heartbeats of every box to the keepers of its zone.
//!
//! A box hears its view from the first keeper that answers and so agrees with the others
//! of its zone. A keeper removes boxes of its zone that it has not heard, and any box
//! removes a keeper that does not answer, so that the next in rank takes its place.
//!
//! Nothing else is waited for here: a zone or a stranger that does not answer must not hold
//! up the heartbeats by which the own zone knows that this box lives.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::ids::BoxId;
use tinbay_core::units::Millis;
use tinbay_core::view::{BoxRecord, dead_after_ms, heartbeat_period_ms};
use tinbay_wire::control::ViewUpdate;

use super::Controller;
use super::beats::{Answered, Beats};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{read, write};

/// Sends heartbeats within the zone and keeps the view.
pub struct HeartbeatController {
    node: Arc<Node>,
    beats: Beats,
    answered_ms: HashMap<BoxId, Millis>,
    keeper_since_ms: Option<Millis>,
    /// The keeper whose view is followed.
    primary: Option<BoxId>,
}

impl HeartbeatController {
    /// A controller that has heard nobody yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            beats: Beats::new(node),
            answered_ms: HashMap::new(),
            keeper_since_ms: None,
            primary: None,
        }
    }

    async fn beat(&mut self) {
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
        self.note_keeper(is_keeper);
        self.beat_keepers(&me, &keepers).await;
        if is_keeper {
            self.remove_silent(&me);
        }
        let known = read(&self.node.members).view().boxes().count();
        self.node.metrics.boxes.set(known as i64);
    }

    fn zone_boxes(&self) -> usize {
        let members = read(&self.node.members);
        members.view().count_in(&self.node.options.zone)
    }

    fn dead_after_ms(&self) -> Millis {
        dead_after_ms(self.zone_boxes(), self.node.options.dead_after_ms)
    }

    fn note_keeper(&mut self, is_keeper: bool) {
        if !is_keeper {
            self.keeper_since_ms = None;
        } else if self.keeper_since_ms.is_none() {
            self.keeper_since_ms = Some(self.node.clock.now_ms());
        }
    }

    async fn beat_keepers(&mut self, me: &BoxRecord, keepers: &[BoxRecord]) {
        let others = keepers.iter().filter(|keeper| keeper.id != me.id).cloned();
        let answers = self.beats.ask_all(others.collect()).await;
        let now_ms = self.node.clock.now_ms();
        let mut followed = keepers.first().is_some_and(|first| first.id == me.id);
        for Answered { peer, update } in answers {
            let Some(update) = update else {
                self.suspect(&peer);
                continue;
            };
            self.answered_ms.insert(peer.id.clone(), now_ms);
            if followed {
                self.beats.note(&peer.id, &update);
                continue;
            }
            followed = true;
            self.follow(&peer, update);
        }
    }

    /// Takes the view of a keeper over; a change of keeper asks for its whole view first.
    fn follow(&mut self, keeper: &BoxRecord, update: ViewUpdate) {
        let same = self.primary.as_ref() == Some(&keeper.id);
        self.primary = Some(keeper.id.clone());
        if same || update.whole {
            self.beats.note(&keeper.id, &update);
            write(&self.node.members).apply(update);
        } else {
            self.beats.forget(&keeper.id);
        }
    }

    /// Removes a keeper that has not answered for too long.
    fn suspect(&mut self, keeper: &BoxRecord) {
        let now_ms = self.node.clock.now_ms();
        let since_ms = *self.answered_ms.entry(keeper.id.clone()).or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) < self.dead_after_ms() {
            return;
        }
        self.answered_ms.remove(&keeper.id);
        self.remove(&keeper.id);
    }

    fn remove(&mut self, id: &BoxId) {
        if write(&self.node.members).remove(id) {
            log::warn!(target: part::MEMBER, "box {id} is silent and held to be dead");
        }
        self.beats.forget(id);
    }

    /// As a keeper, removes boxes of the zone that have not been heard.
    fn remove_silent(&mut self, me: &BoxRecord) {
        let Some(keeper_since_ms) = self.keeper_since_ms else {
            return;
        };
        let now_ms = self.node.clock.now_ms();
        let dead_after_ms = self.dead_after_ms();
        let silent: Vec<BoxId> = {
            let members = read(&self.node.members);
            members
                .view()
                .boxes()
                .filter(|record| record.zone == me.zone && record.id != me.id)
                .filter(|record| {
                    let heard_ms = members.heard_ms(&record.id).unwrap_or(0);
                    let since_ms = heard_ms.max(keeper_since_ms);
                    now_ms.saturating_sub(since_ms) >= dead_after_ms
                })
                .map(|record| record.id.clone())
                .collect()
        };
        for id in silent {
            self.remove(&id);
        }
    }
}

impl Controller for HeartbeatController {
    fn period(&self) -> Duration {
        Duration::from_millis(heartbeat_period_ms(self.zone_boxes()))
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.beat().boxed_local()
    }
}
