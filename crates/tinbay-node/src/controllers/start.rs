//! Lets a box that has started take work.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

use super::Controller;
use crate::platform::keys;
use crate::state::Node;
use crate::util::sync::read;

/// Time between looks while the box starts.
const PERIOD: Duration = Duration::from_millis(50);

/// Time between asks at a key-value service that did not answer.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Time between looks once it has started.
const STARTED: Duration = Duration::from_secs(60);

/// Declares the box live once it has met the others, serves their configuration and reaches the key-value
/// service.
///
/// A box that joins in an outage can't take its engines over. While it only starts, they stay with the
/// boxes that have them.
pub struct StartController {
    node: Arc<Node>,
    period: Duration,
}

impl StartController {
    /// A controller of a box that starts.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            period: PERIOD,
        }
    }

    async fn start(&mut self) {
        if !self.node.is_starting() {
            self.period = STARTED;
            return;
        }
        if !self.node.is_current() {
            return;
        }
        if self.has_live_others() && self.node.kv.get(keys::CONFIG_HEAD).await.is_err() {
            self.period = ASK_AGAIN;
            return;
        }
        self.node.go_live();
    }

    /// Whether other boxes own the engines meanwhile.
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
