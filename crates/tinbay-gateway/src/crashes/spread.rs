//! Tells crashes to the boxes that judge, and what is refused to all.

use std::rc::Rc;
use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::ledger::CrashKey;
use tinbay_core::serving::capacity::{self, RankedBox};
use tinbay_core::units::{MS_PER_SECOND, Millis};

use crate::node::Node;
use crate::peers::frame::{CrashReportPart, FramePart, RefusedPart};
use crate::peers::gossip::near_boxes;
use crate::watch::relay;

/// Boxes that judge a request: with two, its crashes are counted on while one of them is gone.
const JUDGES: usize = 2;

/// How often a crash is told, as messages may be lost; counting it twice changes nothing.
const TELLS: usize = 2;

/// Pause between them: who judges may have changed by then, as a box has been missed.
const TELL_PAUSE: Duration = Duration::from_millis(600);

/// Boxes of the zone that are told at once what is refused, and tell it on.
const NEWS_PEERS: usize = 4;

/// Most requests that are named in one message; all of them go around in turns.
const MOST_NAMED: usize = 24;

/// Who is told at once what is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// All zones: this box has found it.
    AllZones,
    /// Other zones only where this box reads the store for its own.
    AsRelay,
}

/// Tells the boxes that judge some requests that a server crashed under these.
pub fn report(node: &Rc<Node>, digests: Vec<RequestDigest>, crash: CrashKey) {
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move {
        for tell in 0..TELLS {
            if tell > 0 {
                tokio::time::sleep(TELL_PAUSE).await;
            }
            for digest in &digests {
                report_once(&node, *digest, crash);
            }
        }
    });
}

fn report_once(node: &Node, digest: RequestDigest, crash: CrashKey) {
    for judge in judges(node, digest) {
        let part = CrashReportPart { digest, crash };
        node.outbox.post(&judge, FramePart::CrashReport(part));
    }
}

/// The other boxes that judge a request; this one counts what it sees in any case.
fn judges(node: &Node, digest: RequestDigest) -> Vec<String> {
    let now_ms = node.now_ms();
    let settings = node.settings.borrow();
    let members = node.members.borrow();
    let others = members.candidates(&settings.box_id, now_ms);
    let own = RankedBox {
        id: &settings.box_id,
        capacity: settings.resources.capacity(),
    };
    let boxes: Vec<RankedBox<'_>> = others.chain([own]).collect();
    capacity::draw(&digest.to_string(), &boxes, JUDGES)
        .into_iter()
        .filter(|id| *id != settings.box_id)
        .map(str::to_string)
        .collect()
}

/// Tells some boxes at once that a request is refused.
pub fn post_news(node: &Node, digest: RequestDigest, audience: Audience) {
    let news = vec![RefusedPart { digest, age_s: 0 }];
    for box_id in near_boxes(node).sample(&mut rand::rng(), NEWS_PEERS) {
        node.outbox.post(box_id, FramePart::Refused(news.clone()));
    }
    let relays = relay::relays(node);
    if audience == Audience::AsRelay && !relays.is_one {
        return;
    }
    for zone in relays.far_by_zone {
        if let Some(box_id) = zone.choose(&mut rand::rng()) {
            node.outbox.post(box_id, FramePart::Refused(news.clone()));
        }
    }
}

/// What is refused, for a round of gossip; none where nothing is.
pub fn refused_part(node: &Node) -> Option<FramePart> {
    let mut ages = node.crashes.quarantine.borrow().ages(node.now_ms());
    if ages.is_empty() {
        return None;
    }
    ages.shuffle(&mut rand::rng());
    ages.truncate(MOST_NAMED);
    let refused = ages.into_iter().map(|(digest, age_ms)| RefusedPart {
        digest,
        age_s: (age_ms / MS_PER_SECOND) as u16,
    });
    Some(FramePart::Refused(refused.collect()))
}

/// Takes a report of another box.
pub fn take_report(node: &Node, part: &CrashReportPart) {
    super::count(node, part.digest, part.crash);
}

/// Takes what another box refuses.
pub fn take_refused(node: &Node, parts: &[RefusedPart]) {
    for part in parts {
        let age_ms = Millis::from(part.age_s) * MS_PER_SECOND;
        super::take_word(node, part.digest, age_ms);
    }
}
