//! Polls the platform's list of boxes. Every box does so until it has joined; afterwards only the
//! keepers of a zone (the boxes that maintain its membership view) do.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Controller;
use crate::logging::part;
use crate::state::Node;
use crate::util::sync::write;

/// Time between reads once the box has joined.
const PERIOD: Duration = Duration::from_secs(1);

/// Time between reads before the box has joined.
const JOINING_PERIOD: Duration = Duration::from_millis(200);

/// Copies the platform's list of boxes into the membership state.
pub struct BoxListController {
    node: Arc<Node>,
}

impl BoxListController {
    /// Creates a controller that has not read the list yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    async fn read_list(&self) {
        if self.node.has_joined() && !self.node.is_keeper() {
            return;
        }
        let Ok(listed) = self.node.box_list.read().await else {
            log::debug!(target: part::MEMBER, "the box list could not be read; keeping the previous one");
            return;
        };
        let is_alone = listed.iter().all(|entry| entry.id == *self.node.id());
        let is_marked_leaving = listed.iter().any(|entry| {
            entry.id == *self.node.id() && entry.state == tinbay_core::view::BoxState::Leaving
        });
        if is_marked_leaving && !self.node.is_leaving() {
            self.node.leave();
        }
        write(&self.node.members).set_listed(listed);
        if is_alone && !self.node.has_joined() {
            self.node.note_joined();
        }
    }
}

impl Controller for BoxListController {
    fn period(&self) -> Duration {
        if self.node.has_joined() {
            PERIOD
        } else {
            JOINING_PERIOD
        }
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.read_list().boxed_local()
    }
}
