//! Sends single heartbeats and remembers what each peer has already told.

use std::collections::HashMap;
use std::sync::Arc;

use futures_util::future::join_all;
use tinbay_core::ids::BoxId;
use tinbay_core::view::BoxRecord;
use tinbay_wire::control::{Heartbeat, Message, Reply, ViewUpdate};

use crate::state::Node;

/// What a peer has already told of its view.
#[derive(Debug, Clone, Copy, Default)]
pub struct Known {
    version: u64,
    incarnation: u64,
}

impl Known {
    fn of(update: &ViewUpdate) -> Self {
        Self {
            version: update.version,
            incarnation: update.incarnation,
        }
    }
}

/// What came of a heartbeat.
pub struct Answered {
    /// The box asked.
    pub peer: BoxRecord,
    /// Its answer; none when it was silent.
    pub update: Option<ViewUpdate>,
}

/// The heartbeats of one controller.
pub struct Beats {
    node: Arc<Node>,
    known: HashMap<BoxId, Known>,
}

impl Beats {
    /// Nothing told yet.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
            known: HashMap::new(),
        }
    }

    /// What a peer has already told.
    pub fn known(&self, id: &BoxId) -> Known {
        self.known.get(id).copied().unwrap_or_default()
    }

    /// Remembers what a peer told, so that its next answers stay short.
    pub fn note(&mut self, id: &BoxId, update: &ViewUpdate) {
        self.known.insert(id.clone(), Known::of(update));
    }

    /// Forgets what a peer told; its next answer is its whole view.
    pub fn forget(&mut self, id: &BoxId) {
        self.known.remove(id);
    }

    /// Sends a heartbeat to each and gathers the answers.
    pub async fn ask_all(&self, peers: Vec<BoxRecord>) -> Vec<Answered> {
        let asks = peers.into_iter().map(|peer| async {
            let update = beat(&self.node, &peer, self.known(&peer.id)).await;
            Answered { peer, update }
        });
        join_all(asks).await
    }
}

/// Sends a heartbeat; the answer tells what the sender does not know yet.
pub async fn beat(node: &Node, peer: &BoxRecord, known: Known) -> Option<ViewUpdate> {
    let heartbeat = Heartbeat {
        record: node.me(),
        view_version: known.version,
        view_incarnation: known.incarnation,
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
