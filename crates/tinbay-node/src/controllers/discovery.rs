//! Contacts boxes from the platform's list: any of them until this box has joined, afterwards those
//! that are missing from the view.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use rand::seq::IndexedRandom;
use tinbay_core::units::Millis;
use tinbay_core::view::{BoxRecord, HEARTBEAT_MS};
use tinbay_wire::box_list::ListedBox;

use super::Controller;
use super::heartbeat_client::HeartbeatClient;
use crate::state::Node;
use crate::util::sync::{read, write};

/// Listed boxes contacted per step.
const BOXES_PER_STEP: usize = 3;

/// A box that has reached no other box by this time after its start continues alone.
const JOIN_TIMEOUT_MS: Millis = 3_000;

/// Contacts listed boxes until one has answered. Afterwards keepers keep contacting listed boxes
/// that are missing from their view, so that the two sides of a healed network partition merge
/// again.
pub struct DiscoveryController {
    node: Arc<Node>,
    client: HeartbeatClient,
}

impl DiscoveryController {
    /// Creates a controller that has not contacted any box yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            client: HeartbeatClient::new(node),
        }
    }

    async fn discover(&mut self) {
        if self.node.has_joined() && !self.node.is_keeper() {
            return;
        }
        let undiscovered = read(&self.node.members).undiscovered();
        let contacted: Vec<BoxRecord> = undiscovered
            .sample(&mut rand::rng(), BOXES_PER_STEP)
            .map(ListedBox::to_record)
            .collect();
        for outcome in self.client.send_all(contacted).await {
            let Some(update) = outcome.update else {
                continue;
            };
            let mut members = write(&self.node.members);
            for record in update.present {
                members.merge(record);
            }
            drop(members);
            self.node.note_joined();
        }
        let has_timed_out = self.node.clock.now_ms() >= JOIN_TIMEOUT_MS;
        if !self.node.has_joined() && has_timed_out {
            self.node.note_joined();
        }
    }
}

impl Controller for DiscoveryController {
    fn period(&self) -> Duration {
        Duration::from_millis(HEARTBEAT_MS)
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.discover().boxed_local()
    }
}
