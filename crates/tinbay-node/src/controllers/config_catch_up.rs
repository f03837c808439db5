//! Catches up with a revision another box has spoken of, by asking boxes, not the
//! key-value service.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::view::BoxRecord;
use tinbay_wire::control::{Message, Reply};

use super::Controller;
use crate::control::ASK_WITHIN;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::read;

/// How long the controller sleeps when nobody wakes it.
const IDLE: Duration = Duration::from_secs(1);

/// Time between steps.
const PERIOD: Duration = Duration::from_millis(20);

/// How long a whole configuration may take on its way. Later updates are short, and a box that
/// is frozen must not hold them up: the next one is asked after the usual patience.
const WHOLE_WITHIN: Duration = Duration::from_secs(5);

/// Other boxes asked before the next step.
const ASKED: usize = 3;

/// Fetches configuration from other boxes.
pub struct CatchUpController {
    node: Arc<Node>,
}

impl CatchUpController {
    /// A controller with nothing to fetch.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    async fn catch_up(&self) {
        let _ = tokio::time::timeout(IDLE, self.node.catch_up.notified()).await;
        let behind = self.node.wanted_revision() > self.node.config.in_force();
        let silent = self.node.silent_ms() > IDLE.as_millis() as u64;
        if behind || silent {
            self.ask_boxes().await;
        }
        let in_force = self.node.config.in_force();
        if in_force > 0 && self.node.has_joined() && self.node.set_ready() {
            log::info!(target: part::NODE, "ready with revision {in_force}");
        }
    }

    async fn ask_boxes(&self) {
        for peer in self.peers() {
            let since = self.node.config.in_force();
            let message = Message::ConfigSince(since);
            let within = if since == 0 { WHOLE_WITHIN } else { ASK_WITHIN };
            let reply = self.node.ask(&peer.control_address, message, within).await;
            if let Ok(Reply::Config(update)) = reply {
                self.node.note_contact();
                self.node.config.apply_update(&update);
                if self.node.config.in_force() >= self.node.wanted_revision() {
                    log::debug!(target: part::CONFIG, "caught up with {}", peer.id);
                    return;
                }
            }
        }
    }

    /// The keepers of the zone first, then any other box.
    fn peers(&self) -> Vec<BoxRecord> {
        let members = read(&self.node.members);
        let view = members.view();
        let mut peers: Vec<&BoxRecord> = view.keepers(&self.node.options.zone);
        peers.extend(view.boxes());
        peers
            .into_iter()
            .filter(|peer| peer.id != *self.node.id())
            .take(ASKED)
            .cloned()
            .collect()
    }
}

impl Controller for CatchUpController {
    fn period(&self) -> Duration {
        PERIOD
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.catch_up().boxed_local()
    }
}
