//! Moves a box from the starting to the live state, in which it accepts work.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Controller;
use crate::platform::keys;
use crate::state::Node;
use crate::util::sync::read;

/// Time between checks while the box is starting.
const STARTING_PERIOD: Duration = Duration::from_millis(50);

/// Time between checks while the key-value service does not answer.
const KV_RETRY_PERIOD: Duration = Duration::from_millis(500);

/// Time between checks once the box is live.
const LIVE_PERIOD: Duration = Duration::from_secs(60);

/// Declares the box live once it has joined, serves the newest known configuration and reaches the
/// key-value service.
///
/// A box that joins during an outage of the key-value service cannot take over its engines. As long
/// as it stays in the starting state, the engines remain with their current owners.
pub struct StartController {
    node: Arc<Node>,
    period: Duration,
}

impl StartController {
    /// Creates the controller of a starting box.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            period: STARTING_PERIOD,
        }
    }

    async fn start(&mut self) {
        if !self.node.is_starting() {
            self.period = LIVE_PERIOD;
            return;
        }
        if !self.node.is_current() {
            return;
        }
        if self.has_live_others() && self.node.kv.get(keys::CONFIG_HEAD).await.is_err() {
            self.period = KV_RETRY_PERIOD;
            return;
        }
        self.node.go_live();
    }

    /// Whether other live boxes of the region can own the engines in the meantime.
    fn has_live_others(&self) -> bool {
        let members = read(&self.node.members);
        let mut live = members.view().live(&self.node.options.region);
        live.any(|other| other.id != *self.node.id())
    }
}

impl Controller for StartController {
    fn period(&self) -> Duration {
        self.period
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.start().boxed_local()
    }
}
