//! Handles control messages from other boxes.

use std::sync::Arc;

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use tinbay_core::units::Revision;
use tinbay_wire::control::{Envelope, HeardBox, Heartbeat, Message, Reply};

use super::succession::record_succession;
use crate::control::Answer;
use crate::state::Node;
use crate::util::clock::wall_ms;
use crate::util::sync::{lock, read, write};

/// Handles the control messages that arrive at one box.
pub struct ControlHandler {
    node: Arc<Node>,
}

impl ControlHandler {
    /// Creates the handler of `node`.
    pub fn new(node: &Arc<Node>) -> Self {
        Self {
            node: Arc::clone(node),
        }
    }
}

impl Answer for ControlHandler {
    fn answer(&self, envelope: Envelope) -> LocalBoxFuture<'static, Reply> {
        let node = Arc::clone(&self.node);
        async move { answer(&node, envelope).await }.boxed_local()
    }
}

async fn answer(node: &Arc<Node>, envelope: Envelope) -> Reply {
    node.note_contact();
    node.want_revision(envelope.revision);
    match envelope.message {
        Message::Heartbeat(heartbeat) => answer_heartbeat(node, envelope.revision, heartbeat),
        Message::Claim(key) => Reply::Claim(lock(&node.keys).claim(&key, wall_ms())),
        Message::ReleaseNotRun(key) => {
            lock(&node.keys).release_not_run(&key);
            Reply::Ok
        }
        Message::AskLoad(request) => {
            node.loads.wait_for_region_grant(node, request).await;
            Reply::LoadGranted
        }
        Message::EndLoad {
            engine,
            model,
            unused,
        } => {
            node.loads.end_region_load(&engine, &model, unused);
            Reply::Ok
        }
        Message::Succession(succession) => {
            record_succession(node, &succession);
            Reply::Ok
        }
        Message::HandOver(engine) => {
            node.hand_over(&engine).await;
            Reply::Ok
        }
        Message::ConfigSince(revision) => Reply::Config(node.config.update_since(revision)),
        Message::ZoneStatus => Reply::Zone(zone_status(node)),
        Message::SuccessionOf(engine) => {
            Reply::Succession(lock(&node.successions).get(&engine).cloned())
        }
    }
}

fn answer_heartbeat(node: &Node, revision: Revision, heartbeat: Heartbeat) -> Reply {
    let mut members = write(&node.members);
    members.record_heartbeat(&heartbeat.record.run(), revision, node.clock.now_ms());
    members.merge(heartbeat.record);
    Reply::View(members.update_since(
        heartbeat.view_version,
        heartbeat.view_incarnation,
        node.config.in_force(),
    ))
}

/// The last heartbeat received from each box of this zone, with a current entry for this box.
pub fn zone_status(node: &Node) -> Vec<HeardBox> {
    let members = read(&node.members);
    let mut heard = members.last_heartbeats_in(&node.options.zone, node.clock.now_ms());
    heard.retain(|entry| entry.id != *node.id());
    heard.push(HeardBox {
        id: node.id().clone(),
        revision: node.config.in_force(),
        silent_ms: 0,
    });
    heard
}
