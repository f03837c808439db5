//! Boxes of one availability zone tell each other whom they heard.
//!
//! Each box talks to a few others at a time and passes on how long ago it heard each one; so a
//! box that falls silent is missed by its whole zone within some rounds, at a cost that does
//! not grow with the zone. Boxes of other zones are judged by their entries in the store.
//! Source: van Renesse, Minsky and Hayden, "A gossip-style failure detection service",
//! Middleware 1998.

use rand::seq::{IndexedRandom, SliceRandom};
use tinbay_core::serving::servers::Fingerprint;

use super::frame::FramePart;
use crate::node::Node;

/// Boxes talked to in one round.
const PEERS: usize = 3;

/// Most boxes passed on in one message; what fits beside the sender's own record.
const MOST_PASSED_ON: usize = 100;

/// Posts one round of messages.
pub fn post_round(node: &Node) {
    let near = near_boxes(node);
    let mut rng = rand::rng();
    let heard = heard(node);
    for box_id in near.sample(&mut rng, PEERS) {
        let hello = FramePart::Hello(node.own_record());
        node.outbox.post(box_id, hello);
        node.outbox
            .post(box_id, FramePart::LastHeard(heard.clone()));
    }
}

/// Tells all boxes of the zone at once that this one is leaving.
pub fn post_leaving(node: &Node) {
    for box_id in near_boxes(node) {
        let hello = FramePart::Hello(node.own_record());
        node.outbox.post(&box_id, hello);
    }
}

fn near_boxes(node: &Node) -> Vec<String> {
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    members
        .others(&settings.box_id)
        .filter(|(_, member)| member.listed && member.record.zone == settings.zone)
        .map(|(id, _)| id.clone())
        .collect()
}

fn heard(node: &Node) -> Vec<(Fingerprint, u16)> {
    let now_ms = node.now_ms();
    let members = node.members.borrow();
    let mut heard: Vec<(Fingerprint, u16)> = members
        .heard(now_ms)
        .map(|(fingerprint, age_ms)| (fingerprint, age_ms.min(u64::from(u16::MAX)) as u16))
        .collect();
    heard.shuffle(&mut rand::rng());
    heard.truncate(MOST_PASSED_ON);
    heard
}
