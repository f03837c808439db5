//! Polls the owned engines to detect restarts, after which an engine has nothing loaded, and to
//! count requests of earlier owners that are still running.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, join_all};

use super::Controller;
use crate::owners::observe_engine;
use crate::state::Node;

/// Time between polls.
const PERIOD: Duration = Duration::from_millis(500);

/// Polls the state of every owned engine.
pub struct EngineWatchController {
    node: Arc<Node>,
}

impl EngineWatchController {
    /// Creates a controller that has not polled any engine yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }

    async fn poll_engines(&self) {
        let engines = self.node.owners.all();
        self.node.metrics.engines_owned.set(engines.len() as i64);
        join_all(engines.iter().map(observe_engine)).await;
    }
}

impl Controller for EngineWatchController {
    fn period(&self) -> Duration {
        PERIOD
    }

    fn step(&mut self) -> LocalBoxFuture<'_, ()> {
        self.poll_engines().boxed_local()
    }
}
