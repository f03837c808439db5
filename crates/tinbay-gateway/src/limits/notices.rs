//! What servers said of their limits, between boxes: each learns it from the server's own answers, from
//! the limit's home with each answer of that, from the server's holder with its status, and where there is
//! no holder from other boxes.
//!
//! A box that got no unit sends nothing and hears nothing from the server; by the others it learns that a
//! limit has changed or is over.

use std::rc::Rc;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::server_limit::LimitNotice;
use tinbay_core::units::Millis;

use super::home::{self, Home};
use super::limited::LimitKey;
use crate::node::Node;
use crate::peers::frame::{FramePart, ServerLimitPart};
use crate::peers::gossip;
use crate::servers::Server;

/// Boxes of the own zone that are told of a limit at once, and of other zones.
const PEERS: usize = 3;
const FAR_PEERS: usize = 2;

/// What a server said of its limit, as one box tells another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNoticePart {
    /// Requests a second; none where it names no limit.
    pub per_s: Option<f64>,
    /// How long ago it said so at most, in ms.
    pub most_age_ms: u32,
    /// How long ago it said so at least, in ms.
    pub least_age_ms: u32,
}

impl LimitNoticePart {
    fn new(notice: LimitNotice, now_ms: Millis) -> Self {
        let age_ms = |at_ms: Millis| u32::try_from(now_ms - at_ms.min(now_ms)).unwrap_or(u32::MAX);
        Self {
            per_s: notice.per_s,
            most_age_ms: age_ms(notice.said_after_ms),
            least_age_ms: age_ms(notice.said_before_ms),
        }
    }

    /// Taken as just sent; what it took to come makes the notice seem later, by milliseconds.
    fn to_notice(self, now_ms: Millis) -> LimitNotice {
        LimitNotice {
            per_s: self.per_s,
            said_after_ms: now_ms.saturating_sub(Millis::from(self.most_age_ms)),
            said_before_ms: now_ms.saturating_sub(Millis::from(self.least_age_ms)),
        }
    }
}

/// What this box knows of a server's limit, to tell another box; none where there is nothing to tell.
pub fn of(node: &Node, key: LimitKey) -> Option<LimitNoticePart> {
    let LimitKey::Server(server) = key else {
        return None;
    };
    let server = node.servers.borrow().by_fingerprint(server)?;
    of_server(node, &server)
}

/// The same of a server.
pub fn of_server(node: &Node, server: &Server) -> Option<LimitNoticePart> {
    let notice = server.limit_notice()?;
    Some(LimitNoticePart::new(notice, node.now_ms()))
}

/// Takes what another box knows of a server's limit.
pub fn take(node: &Node, key: LimitKey, part: Option<&LimitNoticePart>) {
    let (LimitKey::Server(server), Some(part)) = (key, part) else {
        return;
    };
    let server = node.servers.borrow().by_fingerprint(server);
    let Some(server) = server else {
        return;
    };
    let now_ms = node.now_ms();
    let notice = AnswerNotice {
        limit: Some(part.to_notice(now_ms)),
        ..AnswerNotice::default()
    };
    server.note_said(notice, now_ms);
    if server.take_limit_news().is_some() {
        note_change(node, &server);
    }
}

/// Tells the limit's home and the server's holder what this box heard from the server itself.
pub fn tell(node: &Node, server: &Rc<Server>) {
    note_change(node, server);
    let Some(notice) = of_server(node, server) else {
        return;
    };
    let part = ServerLimitPart {
        server: server.fingerprint(),
        notice,
    };
    let own_id = node.settings.borrow().box_id.clone();
    let drawn = home::of_name(node, LimitKey::Server(part.server), &server.record().id);
    let home = match drawn.map(|drawn| drawn.home) {
        Some(Home::Other(home)) => Some(home),
        Some(Home::Own) | None => None,
    };
    let holder = node
        .holder_of(server)
        .filter(|holder| *holder != own_id && Some(holder) != home.as_ref());
    for box_id in home.iter().chain(&holder) {
        node.outbox.post(box_id, FramePart::ServerLimit(part));
    }
}

/// A limit that is over is forgotten; of one that begins or changes all that use the server are told, so
/// that none goes on until the server's own answer: by its holder, or from one box to the next where there
/// is none.
fn note_change(node: &Node, server: &Rc<Server>) {
    if server.limit_per_s().is_none() {
        node.limits.forget(LimitKey::Server(server.fingerprint()));
        return;
    }
    if let Some(held) = node.held_server(server.key) {
        held.has_limit_news.set(true);
        server.order_due.notify_one();
    } else if !node.has_holder(server) {
        pass_on(node, server);
    }
}

/// Tells some boxes of the zone, and some of others; who did not know passes it on.
fn pass_on(node: &Node, server: &Server) {
    let Some(notice) = of_server(node, server) else {
        return;
    };
    let part = ServerLimitPart {
        server: server.fingerprint(),
        notice,
    };
    let mut rng = rand::rng();
    let mut boxes = Vec::new();
    boxes.extend(gossip::near_boxes(node).sample(&mut rng, PEERS).cloned());
    boxes.extend(gossip::far_boxes(node).sample(&mut rng, FAR_PEERS).cloned());
    for box_id in boxes {
        node.outbox.post(&box_id, FramePart::ServerLimit(part));
    }
}
