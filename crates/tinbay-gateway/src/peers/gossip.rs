//! Failure detection by gossip among the boxes of an availability zone.
//!
//! In each round, a box sends a few others the time since it last heard from each box of the zone.
//! So a box that fails is noticed by its whole zone within some rounds, at a cost per box that does
//! not grow with the zone. The few boxes that read the store for a zone, its relays, also report
//! its silent boxes to some relays of other zones, which gossip the report in their zones. Source:
//! van Renesse, Minsky and Hayden, "A gossip-style failure detection service", Middleware 1998.

use rand::seq::{IndexedRandom, SliceRandom};
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::frame::{FramePart, ZoneReportPart};
use crate::crashes::{parts, spread as crash_spread};
use crate::node::Node;
use crate::slots::spread;
use crate::watch::relay;

/// Boxes of the zone contacted in one round.
const PEERS_PER_ROUND: usize = 3;

/// Maximum number of boxes in one list of those last heard: what fits into a frame beside the
/// sender's own record.
const MAX_HEARD: usize = 100;

/// Maximum number of silent boxes in one message.
const MAX_SILENT: usize = 60;

/// Other zones contacted in one round: with up to 12 zones, each zone hears from each other one at
/// least once in two seconds, directly or through a third zone.
const ZONES_PER_ROUND: usize = 3;

/// Sends the known silent boxes of other zones to some boxes of this zone.
pub fn post_silent(node: &Node) {
    let mut silent = to_ages(node.members.borrow().silent_in_other_zones(node.now_ms()));
    if silent.is_empty() {
        return;
    }
    silent.truncate(MAX_SILENT);
    let peers = zone_boxes(node);
    for box_id in peers.sample(&mut rand::rng(), PEERS_PER_ROUND) {
        node.outbox.post(box_id, FramePart::Silent(silent.clone()));
    }
}

/// Reports to other zones if this box is one of its zone's relays.
pub fn post_zone_report(node: &Node) {
    let relays = relay::relays(node);
    // Relays of other zones report only to boxes that they see in the store. A box whose entry has
    // expired would get no reports and take these relays for silent; two boxes could then act as
    // home of the same limit and together grant twice its units.
    if !relays.includes_self || !node.is_surely_registered() {
        return;
    }
    let now_ms = node.now_ms();
    {
        let mut members = node.members.borrow_mut();
        for reporter in relays
            .ids_by_other_zone
            .iter()
            .filter_map(|relays| relays.first())
        {
            members.expect_zone_reporter(reporter, now_ms);
        }
        members.mark_silent_zone_reporters(now_ms);
    }
    let report = {
        let members = node.members.borrow();
        let mut silent = members.silent_in_own_zone(&node.settings.borrow().box_id, now_ms);
        silent.truncate(MAX_SILENT);
        ZoneReportPart {
            silent,
            zones_heard: to_ages(members.zones_heard(now_ms)),
        }
    };
    let mut rng = rand::rng();
    let refused = refused(node);
    let mut other_zones = relays.ids_by_other_zone;
    other_zones.shuffle(&mut rng);
    for relays in other_zones.iter().take(ZONES_PER_ROUND) {
        if let Some(box_id) = relays.choose(&mut rng) {
            node.outbox
                .post(box_id, FramePart::ZoneReport(report.clone()));
            for refused in &refused {
                node.outbox.post(box_id, refused.clone());
            }
        }
    }
}

/// All that is refused because servers crash, for one round.
fn refused(node: &Node) -> Vec<FramePart> {
    let requests = crash_spread::refused_part(node);
    requests
        .into_iter()
        .chain(parts::refusals_part(node))
        .collect()
}

fn to_ages(ages: Vec<(Fingerprint, Millis)>) -> Vec<(Fingerprint, u16)> {
    let capped = |age_ms: Millis| age_ms.min(Millis::from(u16::MAX)) as u16;
    let ages = ages.into_iter().map(|(key, age_ms)| (key, capped(age_ms)));
    ages.collect()
}

/// Queues one round of messages.
pub fn post_round(node: &Node) {
    post_zone_report(node);
    post_silent(node);
    let peers = zone_boxes(node);
    let mut rng = rand::rng();
    let heard = heard(node);
    let zones_heard = to_ages(node.members.borrow().zones_heard(node.now_ms()));
    let refused = refused(node);
    if let Some(brittle) = spread::brittle_services(node) {
        post_to_some(node, &brittle);
    }
    for box_id in peers.sample(&mut rng, PEERS_PER_ROUND) {
        for refused in &refused {
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

/// Sends a part to some boxes of this zone and to one of another.
pub fn post_to_some(node: &Node, part: &FramePart) {
    let mut rng = rand::rng();
    for box_id in zone_boxes(node).sample(&mut rng, PEERS_PER_ROUND) {
        node.outbox.post(box_id, part.clone());
    }
    if let Some(box_id) = other_zone_boxes(node).choose(&mut rng) {
        node.outbox.post(box_id, part.clone());
    }
}

/// Sends all boxes of the zone the record that says that this one is leaving.
pub fn post_leaving(node: &Node) {
    for box_id in zone_boxes(node) {
        let hello = FramePart::Hello(node.own_record());
        node.outbox.post(&box_id, hello);
    }
}

/// Other boxes of this zone that are listed in the store.
pub fn zone_boxes(node: &Node) -> Vec<String> {
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    members
        .others(&settings.box_id)
        .filter(|(_, member)| member.listed && member.record.zone == settings.zone)
        .map(|(id, _)| id.clone())
        .collect()
}

/// Boxes of other zones that are listed in the store.
pub fn other_zone_boxes(node: &Node) -> Vec<String> {
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
    heard.truncate(MAX_HEARD);
    heard
}
