//! Fetches newer configuration from other boxes, not from the key-value service, once any of them
//! has announced a newer revision.

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

/// Longest wait for a wake-up. A box without any contact for this long also asks other boxes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between the end of one step and the next wait for a wake-up.
const PERIOD: Duration = Duration::from_millis(20);

/// Timeout for fetching the whole configuration. Later updates are short and use the ordinary
/// timeout, so that a frozen box does not delay the request to the next one.
const FULL_FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Other boxes asked per step.
const BOXES_PER_STEP: usize = 3;

/// Brings the configuration of this box up to the newest revision that it knows of.
pub struct CatchUpController {
    node: Arc<Node>,
}

impl CatchUpController {
    /// Creates a controller with nothing to fetch.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    async fn catch_up(&self) {
        let _ = tokio::time::timeout(IDLE_TIMEOUT, self.node.catch_up.notified()).await;
        let is_behind = self.node.wanted_revision() > self.node.config.in_force();
        let lacks_contact = self.node.silent_ms() > IDLE_TIMEOUT.as_millis() as u64;
        if is_behind || lacks_contact {
            self.ask_boxes().await;
        }
        let in_force = self.node.config.in_force();
        if in_force > 0 && self.node.has_joined() && self.node.set_ready() {
            log::info!(target: part::NODE, "ready with configuration revision {in_force}");
        }
    }

    async fn ask_boxes(&self) {
        for peer in self.peers() {
            let since = self.node.config.in_force();
            let message = Message::ConfigSince(since);
            let timeout = if since == 0 {
                FULL_FETCH_TIMEOUT
            } else {
                ASK_WITHIN
            };
            let reply = self.node.ask(&peer.control_address, message, timeout).await;
            if let Ok(Reply::Config(update)) = reply {
                self.node.note_contact();
                self.node.config.apply_update(&update);
                if self.node.config.in_force() >= self.node.wanted_revision() {
                    log::debug!(target: part::CONFIG, "configuration brought up to date from {}", peer.id);
                    return;
                }
            }
        }
    }

    /// Keepers of the zone first, then any other boxes.
    fn peers(&self) -> Vec<BoxRecord> {
        let members = read(&self.node.members);
        let view = members.view();
        let mut peers: Vec<&BoxRecord> = view.keepers(&self.node.options.zone);
        peers.extend(view.boxes());
        peers
            .into_iter()
            .filter(|peer| peer.id != *self.node.id())
            .take(BOXES_PER_STEP)
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
