//! Heartbeats of every box to the keepers of its zone.
//!
//! A box hears its view from the first keeper that answers and so agrees with the others
//! of its zone. A keeper removes boxes of its zone that it has not heard, and any box
//! removes a keeper that does not answer, so that the next in rank takes its place.
//!
//! Nothing else is waited for here: a zone or a stranger that does not answer must not hold
//! up the heartbeats by which the own zone knows that this box lives.

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
use super::beats::{Answered, Beats};
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{read, write};

/// How long the silence of a removed box is remembered, so that another box's older view does not bring it
/// back as one just met.
const SILENCE_KEPT_MS: Millis = 600_000;

/// Sends heartbeats within the zone and keeps the view.
pub struct HeartbeatController {
    node: Arc<Node>,
    beats: Beats,
    /// Keepers that answer this box's heartbeats.
    answers: Silences,
    /// As a keeper, the boxes whose heartbeats it hears.
    heartbeats: Silences,
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
            answers: Silences::default(),
            heartbeats: Silences::default(),
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
        self.forget_long_silent();
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
            self.answers.note_heard(&peer.run(), now_ms);
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
        let run = keeper.run();
        if self.answers.silent_ms(&run, now_ms) >= self.dead_after_ms() {
            // One that is heard again, as after a freeze, gets the whole time to answer.
            self.answers.forget(&run.id);
            self.remove(&run);
        }
    }

    fn remove(&mut self, run: &BoxRun) {
        let id = &run.id;
        if write(&self.node.members).remove_run(run) {
            log::warn!(target: part::MEMBER, "box {id} is silent and held to be dead");
        }
        self.beats.forget(id);
    }

    fn forget_long_silent(&mut self) {
        let oldest_ms = self.node.clock.now_ms().saturating_sub(SILENCE_KEPT_MS);
        self.answers.forget_before(oldest_ms);
        self.heartbeats.forget_before(oldest_ms);
    }

    /// As a keeper, removes boxes of the zone that have not been heard.
    fn remove_silent(&mut self, me: &BoxRecord) {
        let Some(keeper_since_ms) = self.keeper_since_ms else {
            return;
        };
        let now_ms = self.node.clock.now_ms();
        let dead_after_ms = self.dead_after_ms();
        let as_keeper_ms = now_ms.saturating_sub(keeper_since_ms);
        let mut silent: Vec<BoxRun> = Vec::new();
        let members = read(&self.node.members);
        let others = members
            .view()
            .boxes()
            .filter(|record| record.zone == me.zone && record.id != me.id);
        for record in others {
            let run = record.run();
            if let Some(heard_ms) = members.heard_ms(&run) {
                self.heartbeats.note_heard(&run, heard_ms);
            }
            let silent_ms = self.heartbeats.silent_ms(&run, now_ms);
            if silent_ms.min(as_keeper_ms) >= dead_after_ms {
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
        Duration::from_millis(heartbeat_period_ms(self.zone_boxes()))
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.beat().boxed_local()
    }
}
