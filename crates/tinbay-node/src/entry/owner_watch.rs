//! Detects that the owner to which a request was forwarded has been removed from the view.

use std::sync::Arc;

use tinbay_core::ids::BoxId;
use tinbay_core::view::BoxRecord;
use tokio::sync::watch;

use crate::state::Node;
use crate::util::sync::read;

/// Watches the view for the removal of a box.
///
/// A frozen box keeps its connections open, so only the view shows that other boxes own its engines
/// by now. A restarted process at the same address needs no such check: the connections of the
/// former process break by themselves, and the new process reports requests that it did not run.
pub struct OwnerWatch {
    node: Arc<Node>,
    id: BoxId,
    address: String,
    changes: watch::Receiver<u64>,
}

impl OwnerWatch {
    /// Starts watching a box.
    pub fn new(node: &Arc<Node>, owner: &BoxRecord) -> Self {
        Self {
            node: Arc::clone(node),
            id: owner.id.clone(),
            address: owner.address.clone(),
            changes: read(&node.members).changes(),
        }
    }

    /// Waits until the box is no longer in the view at its address.
    pub async fn removed(&mut self) {
        while self.is_in_view() {
            // An error is impossible, as the sender lives as long as the node.
            let _ = self.changes.changed().await;
        }
    }

    fn is_in_view(&self) -> bool {
        let members = read(&self.node.members);
        let known = members.view().get(&self.id);
        known.is_some_and(|record| record.address == self.address)
    }
}
