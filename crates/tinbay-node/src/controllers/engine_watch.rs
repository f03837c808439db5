//! Looks at the owned engines: whether one restarted empty, and what of earlier owners
//! still runs.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};

use super::Controller;
use crate::owners::recount;
use crate::state::Node;

/// Time between looks.
const PERIOD: Duration = Duration::from_millis(500);

/// Looks at every owned engine.
pub struct EngineWatchController {
    node: Arc<Node>,
}

impl EngineWatchController {
    /// A controller that has seen nothing yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    async fn look(&self) {
        let engines = self.node.owners.all();
        self.node.metrics.engines_owned.set(engines.len() as i64);
        join_all(engines.iter().map(recount)).await;
    }
}

impl Controller for EngineWatchController {
    fn period(&self) -> Duration {
        PERIOD
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.look().boxed_local()
    }
}
