//! Counts requests in progress; a planned stop waits until there are none.

use std::sync::Arc;

use crate::state::Node;

/// A request in progress; counted while it lives.
pub struct InProgress {
    node: Arc<Node>,
}

impl InProgress {
    /// Counts one more.
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
