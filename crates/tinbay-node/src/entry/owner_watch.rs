//! Notices that the owner a request was passed to is held to be dead.

use std::sync::Arc;

use tinbay_core::view::{BoxRecord, BoxRun};
use tokio::sync::watch;

use crate::state::Node;
use crate::util::sync::read;

/// Watches the view for the end of one run of a box.
///
/// A frozen box keeps its connections open: only the view tells that others own its engines by now.
pub struct OwnerWatch {
    node: Arc<Node>,
    run: BoxRun,
    changes: watch::Receiver<u64>,
}

impl OwnerWatch {
    /// Watches a box from now on.
    pub fn new(node: &Arc<Node>, owner: &BoxRecord) -> Self {
        Self {
            node: Arc::clone(node),
            run: owner.run(),
            changes: read(&node.members).changes(),
        }
    }

    /// Waits until this run of the box is no longer in the view.
    pub async fn gone(&mut self) {
        while self.is_in_view() {
            // The sender lives as long as the node.
            let _ = self.changes.changed().await;
        }
    }

    fn is_in_view(&self) -> bool {
        read(&self.node.members).view().has_run(&self.run)
    }
}
