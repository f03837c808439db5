//! Heartbeats: every box to the keepers of its zone, keepers to those of other zones.
//!
//! A box hears its view from the first keeper that answers and so agrees with the others
//! of its zone. A keeper removes boxes of its zone that it has not heard, and any box
//! removes a keeper that does not answer, so that the next in rank takes its place.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};
use rand::seq::IndexedRandom;
use tinbay_core::ids::{BoxId, ZoneId};
use tinbay_core::units::Millis;
use tinbay_core::view::{BoxRecord, dead_after_ms, heartbeat_period_ms};
use tinbay_wire::control::{Heartbeat, Message, Reply, ViewUpdate};

use super::Controller;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::{read, write};

/// A zone none of whose keepers has answered for this long is held to be cut off.
const ZONE_SILENT_MS: Millis = 10_000;

/// Listed boxes asked at a time by a box that has met nobody yet.
const STRANGERS_ASKED: usize = 3;

/// A box that finds nobody for this long goes on alone.
const ALONE_AFTER_MS: Millis = 3_000;

#[derive(Debug, Clone, Copy, Default)]
struct Known {
    version: u64,
    incarnation: u64,
}

impl Known {
    fn of(update: &ViewUpdate) -> Self {
        Self {
            version: update.version,
            incarnation: update.incarnation,
        }
    }
}

/// Sends heartbeats and keeps the view.
pub struct HeartbeatController {
    node: Arc<Node>,
    known: HashMap<BoxId, Known>,
    answered_ms: HashMap<BoxId, Millis>,
    zone_answered_ms: HashMap<ZoneId, Millis>,
    keeper_since_ms: Option<Millis>,
    primary: Option<BoxId>,
}

struct Answered {
    peer: BoxRecord,
    update: Option<ViewUpdate>,
}

impl HeartbeatController {
    /// A controller that has heard nobody yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            known: HashMap::new(),
            answered_ms: HashMap::new(),
            zone_answered_ms: HashMap::new(),
            keeper_since_ms: None,
            primary: None,
        }
    }

    async fn beat(&mut self) {
        self.meet_strangers().await;
        let me = self.node.me();
        let keepers = self.keepers(&me.zone);
        let is_keeper = keepers.iter().any(|keeper| keeper.id == me.id);
        self.note_keeper(is_keeper);
        self.beat_own_zone(&me, &keepers).await;
        if is_keeper {
            self.beat_other_zones(&me).await;
            self.remove_silent(&me);
        }
        let members = read(&self.node.members);
        let known = members.view().boxes().count();
        self.node.metrics.boxes.set(known as i64);
    }

    fn zone_boxes(&self) -> usize {
        read(&self.node.members)
            .view()
            .count_in(&self.node.options.zone)
    }

    fn dead_after_ms(&self) -> Millis {
        dead_after_ms(self.zone_boxes(), self.node.options.dead_after_ms)
    }

    fn keepers(&self, zone: &ZoneId) -> Vec<BoxRecord> {
        let members = read(&self.node.members);
        members.view().keepers(zone).into_iter().cloned().collect()
    }

    fn note_keeper(&mut self, is_keeper: bool) {
        if !is_keeper {
            self.keeper_since_ms = None;
        } else if self.keeper_since_ms.is_none() {
            self.keeper_since_ms = Some(self.node.clock.now_ms());
        }
    }

    /// Looks for listed boxes that are not in the view, until one has answered and, as a
    /// keeper, now and then after: two halves of a fleet that lost each other meet again so.
    async fn meet_strangers(&mut self) {
        let joined = self.node.has_joined();
        if joined && self.keeper_since_ms.is_none() {
            return;
        }
        let strangers = read(&self.node.members).strangers();
        let asked: Vec<BoxRecord> = strangers
            .sample(&mut rand::rng(), STRANGERS_ASKED)
            .map(tinbay_wire::box_list::ListedBox::to_record)
            .collect();
        for answered in self.ask_all(asked).await {
            let Some(update) = answered.update else {
                continue;
            };
            let mut members = write(&self.node.members);
            for record in update.present {
                members.merge(record);
            }
            members.set_joined();
        }
        let alone = self.node.clock.now_ms() >= ALONE_AFTER_MS;
        if !joined && alone {
            write(&self.node.members).set_joined();
        }
    }

    async fn beat_own_zone(&mut self, me: &BoxRecord, keepers: &[BoxRecord]) {
        let others = keepers.iter().filter(|keeper| keeper.id != me.id).cloned();
        let answers = self.ask_all(others.collect()).await;
        let mut followed = keepers.first().is_some_and(|first| first.id == me.id);
        for Answered { peer, update } in answers {
            let Some(update) = update else {
                self.suspect(&peer);
                continue;
            };
            if followed {
                // Not followed, but known: its next answers stay short.
                self.known.insert(peer.id.clone(), Known::of(&update));
                continue;
            }
            followed = true;
            self.follow(&peer, update);
        }
    }

    /// Takes the view of a keeper over; a change of keeper asks for its whole view first.
    fn follow(&mut self, keeper: &BoxRecord, update: ViewUpdate) {
        let known = Known::of(&update);
        let same = self.primary.as_ref() == Some(&keeper.id);
        if same || update.whole {
            self.primary = Some(keeper.id.clone());
            self.known.insert(keeper.id.clone(), known);
            write(&self.node.members).apply(update);
        } else {
            self.primary = Some(keeper.id.clone());
            self.known.remove(&keeper.id);
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
        self.known.remove(id);
    }

    async fn beat_other_zones(&mut self, me: &BoxRecord) {
        let zones: BTreeSet<ZoneId> = {
            let members = read(&self.node.members);
            members
                .view()
                .boxes()
                .map(|record| record.zone.clone())
                .collect()
        };
        for zone in zones.into_iter().filter(|zone| *zone != me.zone) {
            self.beat_zone(&zone).await;
        }
    }

    /// Asks the first keeper of a zone, and the next ones when it does not answer.
    async fn beat_zone(&mut self, zone: &ZoneId) {
        let now_ms = self.node.clock.now_ms();
        for keeper in self.keepers(zone) {
            let answers = self.ask_all(vec![keeper.clone()]).await;
            let update = answers.into_iter().find_map(|answered| answered.update);
            if let Some(update) = update {
                self.known.insert(keeper.id.clone(), Known::of(&update));
                self.zone_answered_ms.insert(zone.clone(), now_ms);
                write(&self.node.members).apply_zone(zone, update);
                return;
            }
        }
        let since_ms = *self.zone_answered_ms.entry(zone.clone()).or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) >= ZONE_SILENT_MS {
            self.zone_answered_ms.remove(zone);
            write(&self.node.members).remove_zone(zone);
            log::warn!(target: part::MEMBER, "zone {zone} is silent and held to be cut off");
        }
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

    /// Sends a heartbeat to each and gathers the answers.
    async fn ask_all(&mut self, peers: Vec<BoxRecord>) -> Vec<Answered> {
        let asks = peers.into_iter().map(|peer| {
            let known = self.known.get(&peer.id).copied().unwrap_or_default();
            let node = Arc::clone(&self.node);
            async move {
                let update = ask(&node, &peer, known).await;
                Answered { peer, update }
            }
        });
        let answers = join_all(asks).await;
        let now_ms = self.node.clock.now_ms();
        for Answered { peer, update } in &answers {
            if let Some(update) = update {
                self.answered_ms.insert(peer.id.clone(), now_ms);
                self.node.note_contact();
                self.node.want_revision(update.revision);
            }
        }
        answers
    }
}

async fn ask(node: &Node, peer: &BoxRecord, known: Known) -> Option<ViewUpdate> {
    let heartbeat = Heartbeat {
        record: node.me(),
        view_version: known.version,
        view_incarnation: known.incarnation,
    };
    let message = Message::Heartbeat(heartbeat);
    match node.ask_soon(&peer.control_address, message).await {
        Ok(Reply::View(update)) => Some(update),
        _ => None,
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
