//! Meets boxes that the platform lists: until one has answered, then those that the view does not hold.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use rand::seq::IndexedRandom;
use tinbay_core::units::Millis;
use tinbay_core::view::{BoxRecord, HEARTBEAT_MS};
use tinbay_wire::box_list::ListedBox;

use super::Controller;
use super::beats::Beats;
use crate::state::Node;
use crate::util::sync::{read, write};

/// Listed boxes asked at a time.
const BOXES_ASKED: usize = 3;

/// A box that finds nobody for this long goes on alone.
const ALONE_AFTER_MS: Millis = 3_000;

/// Asks listed boxes until one has answered. After that keepers go on with those not in the view, so
/// that two halves of a fleet that lost each other meet again.
pub struct MeetingController {
    node: Arc<Node>,
    beats: Beats,
}

impl MeetingController {
    /// A controller that has met nobody yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            beats: Beats::new(node),
        }
    }

    async fn meet(&mut self) {
        if self.node.has_joined() && !self.node.is_keeper() {
            return;
        }
        let unmet = read(&self.node.members).unmet();
        let asked: Vec<BoxRecord> = unmet
            .sample(&mut rand::rng(), BOXES_ASKED)
            .map(ListedBox::to_record)
            .collect();
        for answered in self.beats.ask_all(asked).await {
            let Some(update) = answered.update else {
                continue;
            };
            let mut members = write(&self.node.members);
            for record in update.present {
                members.merge(record);
            }
            drop(members);
            self.node.note_joined();
        }
        let alone = self.node.clock.now_ms() >= ALONE_AFTER_MS;
        if !self.node.has_joined() && alone {
            self.node.note_joined();
        }
    }
}

impl Controller for MeetingController {
    fn period(&self) -> Duration {
        Duration::from_millis(HEARTBEAT_MS)
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.meet().boxed_local()
    }
}
