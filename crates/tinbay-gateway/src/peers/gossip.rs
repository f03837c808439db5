//! Boxes of one availability zone tell each other whom they heard.
//!
//! Each box talks to a few others at a time and passes on how long ago it heard each one; so a
//! box that falls silent is missed by its whole zone within some rounds, at a cost that does
//! not grow with the zone. The few boxes that read the store for a zone also speak for it: they
//! tell some of those of other zones which of its boxes are silent, and each zone passes that on.
//! Source: van Renesse, Minsky and Hayden, "A gossip-style failure detection service",
//! Middleware 1998.

use rand::seq::{IndexedRandom, SliceRandom};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::frame::{FramePart, ZoneWordPart};
use crate::crashes::spread;
use crate::node::Node;
use crate::watch::relay;

/// Boxes talked to in one round.
const PEERS: usize = 3;

/// Most boxes passed on in one message; what fits beside the sender's own record.
const MOST_PASSED_ON: usize = 100;

/// Most silent boxes named in one message.
const MOST_SILENT: usize = 60;

/// Zones that are spoken to in one round: with up to 12 zones each one hears each other one at
/// least once in two seconds, directly or through a third one.
const ZONES_SPOKEN_TO: usize = 3;

/// Tells some boxes of the zone which boxes of other zones are silent.
pub fn post_silent(node: &Node) {
    let mut silent = to_ages(node.members.borrow().silent_far(node.now_ms()));
    if silent.is_empty() {
        return;
    }
    silent.truncate(MOST_SILENT);
    let near = near_boxes(node);
    for box_id in near.sample(&mut rand::rng(), PEERS) {
        node.outbox.post(box_id, FramePart::Silent(silent.clone()));
    }
}

/// Speaks to other zones, if this box is one of those that speak for its own.
pub fn post_zone_word(node: &Node) {
    let relays = relay::relays(node);
    // Other zones speak to the boxes that they see in the store. One whose entry had lapsed heard no
    // word of them, said that their speakers were silent, and two homes dealt an account twice its
    // limit for 4 s.
    if !relays.is_one || !node.is_surely_entered() {
        return;
    }
    let now_ms = node.now_ms();
    {
        let mut members = node.members.borrow_mut();
        for speaker in relays
            .far_by_zone
            .iter()
            .filter_map(|relays| relays.first())
        {
            members.expect_speaker(speaker, now_ms);
        }
        members.judge_speakers(now_ms);
    }
    let word = {
        let members = node.members.borrow();
        let mut silent = members.silent_near(&node.settings.borrow().box_id, now_ms);
        silent.truncate(MOST_SILENT);
        ZoneWordPart {
            silent,
            zones_heard: to_ages(members.zones_heard(now_ms)),
        }
    };
    let mut rng = rand::rng();
    let refused = spread::refused_part(node);
    let mut far = relays.far_by_zone;
    far.shuffle(&mut rng);
    for relays in far.iter().take(ZONES_SPOKEN_TO) {
        if let Some(box_id) = relays.choose(&mut rng) {
            node.outbox.post(box_id, FramePart::ZoneWord(word.clone()));
            if let Some(refused) = &refused {
                node.outbox.post(box_id, refused.clone());
            }
        }
    }
}

fn to_ages(ages: Vec<(Fingerprint, Millis)>) -> Vec<(Fingerprint, u16)> {
    let short = |age_ms: Millis| age_ms.min(Millis::from(u16::MAX)) as u16;
    let ages = ages.into_iter().map(|(key, age_ms)| (key, short(age_ms)));
    ages.collect()
}

/// Posts one round of messages.
pub fn post_round(node: &Node) {
    post_zone_word(node);
    post_silent(node);
    let near = near_boxes(node);
    let mut rng = rand::rng();
    let heard = heard(node);
    let zones_heard = to_ages(node.members.borrow().zones_heard(node.now_ms()));
    let refused = spread::refused_part(node);
    for box_id in near.sample(&mut rng, PEERS) {
        if let Some(refused) = &refused {
            node.outbox.post(box_id, refused.clone());
        }
        let hello = FramePart::Hello(node.own_record());
        node.outbox.post(box_id, hello);
        if !zones_heard.is_empty() {
            let zones_heard = FramePart::ZonesHeard(zones_heard.clone());
            node.outbox.post(box_id, zones_heard);
        }
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

/// The other boxes of the zone.
pub fn near_boxes(node: &Node) -> Vec<String> {
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    members
        .others(&settings.box_id)
        .filter(|(_, member)| member.listed && member.record.zone == settings.zone)
        .map(|(id, _)| id.clone())
        .collect()
}

/// The boxes of other zones.
pub fn far_boxes(node: &Node) -> Vec<String> {
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    members
        .others(&settings.box_id)
        .filter(|(_, member)| member.listed && member.record.zone != settings.zone)
        .map(|(id, _)| id.clone())
        .collect()
}

fn heard(node: &Node) -> Vec<(Fingerprint, u16)> {
    let now_ms = node.now_ms();
    let members = node.members.borrow();
    let mut heard = to_ages(members.heard(now_ms).collect());
    heard.shuffle(&mut rand::rng());
    heard.truncate(MOST_PASSED_ON);
    heard
}
