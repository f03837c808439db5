//! Reports crashes to the boxes that track a request, and announces quarantined requests to all
//! boxes.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::ledger::CrashKey;
use tinbay_core::serving::capacity::{self, RankedBox};
use tinbay_core::units::{MS_PER_SECOND, Millis};

use super::confirm::has_crashed;
use crate::node::Node;
use crate::peers::frame::{CrashReportPart, FramePart, RefusedPart};
use crate::peers::gossip::zone_boxes;
use crate::watch::relay;

/// Boxes that track the crashes of a request. With two, crashes are still counted while one of them
/// is down.
const TRACKERS: usize = 2;

/// Number of times that a crash is reported, as messages may be lost. Counting a report twice has
/// no effect.
const REPORT_SENDS: usize = 2;

/// Pause between the reports. The failure of a tracker is detected within this time, and the second
/// report then goes to its replacement.
const REPORT_PAUSE: Duration = Duration::from_millis(600);

/// Boxes in this zone to which a message is posted directly, and which pass it on.
const ZONE_PEERS: usize = 4;

/// Upper bound on requests listed in one message. Each message lists a random selection, so that
/// all requests are listed over time.
const MAX_LISTED: usize = 24;

/// Zones to which a message is posted directly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All zones, as the message begins at this box.
    AllZones,
    /// This zone, and other zones only if this box is one of the relays that read the store for its
    /// zone.
    AsRelay,
}

/// Whether a server has certainly crashed, or this box may have lost its link to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Certainty {
    /// It has crashed.
    Certain,
    /// The boxes that track the requests have to find out.
    Uncertain,
}

/// Reports a server's crash to the boxes that track the requests.
pub fn report(node: &Rc<Node>, digests: Vec<RequestDigest>, crash: CrashKey, certainty: Certainty) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        for send in 0..REPORT_SENDS {
            if send > 0 {
                tokio::time::sleep(REPORT_PAUSE).await;
            }
            for digest in &digests {
                report_once(&node, *digest, crash, certainty);
            }
        }
    });
}

fn report_once(node: &Node, digest: RequestDigest, crash: CrashKey, certainty: Certainty) {
    for tracker in trackers(node, &digest.to_string()) {
        let part = CrashReportPart { digest, crash };
        let message = match certainty {
            Certainty::Certain => FramePart::CrashReport(part),
            Certainty::Uncertain => FramePart::PossibleCrash(part),
        };
        node.outbox.post(&tracker, message);
    }
}

/// Other boxes that track a request or a prompt part, given its name. This box counts the crashes
/// that it sees in any case.
pub fn trackers(node: &Node, name: &str) -> Vec<String> {
    let mut trackers = all_trackers(node, name);
    trackers.retain(|id| *id != node.settings.borrow().box_id);
    trackers
}

/// Whether this box is the first of those that track a request or a prompt part.
pub fn is_first_tracker(node: &Node, name: &str) -> bool {
    let trackers = all_trackers(node, name);
    trackers.first() == Some(&node.settings.borrow().box_id)
}

/// The boxes that track a request or a prompt part, best first.
fn all_trackers(node: &Node, name: &str) -> Vec<String> {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let others = members.candidates(&settings.box_id, now_ms);
    let own = RankedBox {
        id: &settings.box_id,
        capacity: settings.resources.capacity(),
    };
    let boxes: Vec<RankedBox<'_>> = others.chain([own]).collect();
    capacity::select_boxes(name, &boxes, TRACKERS)
        .into_iter()
        .map(str::to_string)
        .collect()
}

/// Announces a quarantined request to some boxes directly.
pub fn announce(node: &Node, digest: RequestDigest, audience: Audience) {
    let refused = vec![RefusedPart { digest, age_s: 0 }];
    post(node, &FramePart::Refused(refused), audience);
}

/// Queues a message for some boxes, which pass it on.
pub fn post(node: &Node, message: &FramePart, audience: Audience) {
    for box_id in zone_boxes(node).sample(&mut rand::rng(), ZONE_PEERS) {
        node.outbox.post(box_id, message.clone());
    }
    let relays = relay::relays(node);
    if audience == Audience::AsRelay && !relays.includes_self {
        return;
    }
    for zone in relays.ids_by_other_zone {
        if let Some(box_id) = zone.choose(&mut rand::rng()) {
            node.outbox.post(box_id, message.clone());
        }
    }
}

/// Quarantined requests for a round of gossip; `None` if there are none.
pub fn refused_part(node: &Node) -> Option<FramePart> {
    let mut ages = node.crashes.quarantine.borrow().ages(node.now_ms());
    if ages.is_empty() {
        return None;
    }
    ages.shuffle(&mut rand::rng());
    ages.truncate(MAX_LISTED);
    let refused = ages.into_iter().map(|(digest, age_ms)| RefusedPart {
        digest,
        age_s: (age_ms / MS_PER_SECOND) as u16,
    });
    Some(FramePart::Refused(refused.collect()))
}

/// Handles another box's report of a crash.
pub fn handle_report(node: &Node, part: &CrashReportPart) {
    super::count_crash(node, part.digest, part.crash);
}

/// Handles another box's report of a crash that may be the loss of that box's links: if this box
/// finds that the server has crashed, it counts the crash and tells the other trackers.
pub fn handle_possible_crash(node: &Rc<Node>, part: CrashReportPart) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        if has_crashed(&node, part.crash, node.now_ms()).await {
            super::count_crash(&node, part.digest, part.crash);
            report_once(&node, part.digest, part.crash, Certainty::Certain);
        }
    });
}

/// Handles another box's list of quarantined requests.
pub fn handle_refused(node: &Node, parts: &[RefusedPart]) {
    for part in parts {
        let age_ms = Millis::from(part.age_s) * MS_PER_SECOND;
        super::apply_announcement(node, part.digest, age_ms);
    }
}
