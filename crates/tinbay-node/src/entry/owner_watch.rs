//! Notices that the owner a request was passed to is held to be dead.

use std::sync::Arc;

use tinbay_core::ids::BoxId;
use tinbay_core::view::BoxRecord;
use tokio::sync::watch;

use crate::state::Node;
use crate::util::sync::read;

/// Watches the view for the end of a box.
///
/// A frozen box keeps its connections open: only the view tells that others own its engines by now. Where a
/// new run takes its place at the same address, the connections of the former one break by themselves, and
/// the new one tells what it did not run.
pub struct OwnerWatch {
    node: Arc<Node>,
    id: BoxId,
    address: String,
    changes: watch::Receiver<u64>,
}

impl OwnerWatch {
    /// Watches a box from now on.
    pub fn new(node: &Arc<Node>, owner: &BoxRecord) -> Self {
        Self {
            node: Arc::clone(node),
            id: owner.id.clone(),
            address: owner.address.clone(),
            changes: read(&node.members).changes(),
        }
    }

    /// Waits until the box is no longer in the view at its address.
    pub async fn gone(&mut self) {
        while self.is_in_view() {
            // The sender lives as long as the node.
            let _ = self.changes.changed().await;
        }
    }

    fn is_in_view(&self) -> bool {
        let members = read(&self.node.members);
        let known = members.view().get(&self.id);
        known.is_some_and(|record| record.address == self.address)
    }
}
