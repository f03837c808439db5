//! Counts requests in progress, so that a planned shutdown can wait until there are none.

use std::sync::Arc;

use crate::state::Node;

/// Guard that counts a request as in progress until it is dropped.
pub struct InProgress {
    node: Arc<Node>,
}

impl InProgress {
    /// Counts a request that has just arrived.
    pub fn begin(node: &Arc<Node>) -> Self {
        node.metrics.work.inc();
        node.metrics.in_progress.inc();
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.node.metrics.in_progress.dec();
    }
}
