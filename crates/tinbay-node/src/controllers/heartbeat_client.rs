//! Sends heartbeats and tracks which part of each peer's view has been received.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use tinbay_core::ids::BoxId;
use tinbay_core::view::BoxRecord;
use tinbay_wire::control::{Heartbeat, Message, Reply, ViewUpdate};

use crate::state::Node;

/// How much of a peer's view has been received; the default stands for none of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ViewPosition {
    version: u64,
    incarnation: u64,
}

impl ViewPosition {
    fn after(update: &ViewUpdate) -> Self {
        Self {
            version: update.version,
            incarnation: update.incarnation,
        }
    }
}

/// Result of one heartbeat.
pub struct HeartbeatOutcome {
    /// The box that the heartbeat was sent to.
    pub peer: BoxRecord,
    /// Its answer; `None` if it did not answer in time.
    pub update: Option<ViewUpdate>,
}

/// Sends the heartbeats of one controller, so that each answer contains only what is new to it.
pub struct HeartbeatClient {
    node: Arc<Node>,
    positions: HashMap<BoxId, ViewPosition>,
}

impl HeartbeatClient {
    /// Creates a client that has not received any view yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            positions: HashMap::new(),
        }
    }

    /// How much of a peer's view has been received.
    pub fn position(&self, id: &BoxId) -> ViewPosition {
        self.positions.get(id).copied().unwrap_or_default()
    }

    /// Records a received update, so that the peer's next answer contains only later changes.
    pub fn record(&mut self, id: &BoxId, update: &ViewUpdate) {
        self.positions
            .insert(id.clone(), ViewPosition::after(update));
    }

    /// Drops a peer's position, so that its next answer contains its whole view.
    pub fn forget(&mut self, id: &BoxId) {
        self.positions.remove(id);
    }

    /// Sends a heartbeat to all peers concurrently and collects the answers.
    pub async fn send_all(&self, peers: Vec<BoxRecord>) -> Vec<HeartbeatOutcome> {
        let sends = peers.into_iter().map(|peer| async {
            let update = send_heartbeat(&self.node, &peer, self.position(&peer.id)).await;
            HeartbeatOutcome { peer, update }
        });
        join_all(sends).await
    }
}

/// Sends one heartbeat and returns the part of the peer's view after `position`, or `None` if the
/// peer does not answer.
pub async fn send_heartbeat(
    node: &Node,
    peer: &BoxRecord,
    position: ViewPosition,
) -> Option<ViewUpdate> {
    let heartbeat = Heartbeat {
        record: node.me(),
        view_version: position.version,
        view_incarnation: position.incarnation,
    };
    let message = Message::Heartbeat(heartbeat);
    match node.ask_soon(&peer.control_address, message).await {
        Ok(Reply::View(update)) => {
            node.note_contact();
            node.want_revision(update.revision);
            Some(update)
        }
        _ => None,
    }
}
