//! Exchange between boxes of the rate limits that backend servers announce. A box learns a
//! server's limit from the server's own answers, from each answer of the limit's home, from the
//! status sent by the server's holder, and from other boxes if the server has no holder.
//!
//! The exchange is needed as a box without units sends nothing to the server and gets no answers
//! from it. Only other boxes can notify it that the limit has changed or ended.

use std::rc::Rc;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::server_limit::LimitNotice;
use tinbay_core::units::Millis;

use super::home::{self, Home};
use super::limited::{Homed, LimitKey};
use crate::node::Node;
use crate::peers::frame::{FramePart, ServerLimitPart};
use crate::peers::gossip;
use crate::servers::Server;

/// Boxes in this box's zone that are notified directly of a limit.
const ZONE_PEERS: usize = 3;

/// Boxes in other zones that are notified directly of a limit.
const OTHER_ZONE_PEERS: usize = 2;

/// Limit announced by a server, as one box passes it to another.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitNoticePart {
    /// Requests per second; `None` if the server announces no limit.
    pub per_s: Option<f64>,
    /// Upper bound of the announcement's age, in ms.
    pub max_age_ms: u32,
    /// Lower bound of the announcement's age, in ms.
    pub min_age_ms: u32,
}

impl LimitNoticePart {
    fn new(notice: LimitNotice, now_ms: Millis) -> Self {
        let age_ms = |at_ms: Millis| u32::try_from(now_ms - at_ms.min(now_ms)).unwrap_or(u32::MAX);
        Self {
            per_s: notice.per_s,
            max_age_ms: age_ms(notice.request_sent_ms),
            min_age_ms: age_ms(notice.answer_received_ms),
        }
    }

    /// Converts ages to local times. The transit time is ignored, which makes the announcement seem
    /// later by milliseconds.
    fn to_notice(self, now_ms: Millis) -> LimitNotice {
        LimitNotice {
            per_s: self.per_s,
            request_sent_ms: now_ms.saturating_sub(Millis::from(self.max_age_ms)),
            answer_received_ms: now_ms.saturating_sub(Millis::from(self.min_age_ms)),
        }
    }
}

/// Returns the known limit of a server for a message to another box; `None` if there is nothing to
/// pass on.
pub fn of(node: &Node, key: LimitKey) -> Option<LimitNoticePart> {
    let LimitKey::Server(server) = key else {
        return None;
    };
    let server = node.servers.borrow().by_fingerprint(server)?;
    of_server(node, &server)
}

/// Returns the known limit of `server`; `None` if it never announced one.
pub fn of_server(node: &Node, server: &Server) -> Option<LimitNoticePart> {
    let notice = server.limit_notice()?;
    Some(LimitNoticePart::new(notice, node.now_ms()))
}

/// Applies the limit of a server that another box passed on.
pub fn apply(node: &Node, key: LimitKey, part: Option<&LimitNoticePart>) {
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
    server.apply_notice(notice, now_ms);
    if server.take_limit_change().is_some() {
        apply_change(node, &server);
    }
}

/// Sends a limit that the server announced to this box to the limit's home and the server's holder.
pub fn notify_home_and_holder(node: &Node, server: &Rc<Server>) {
    apply_change(node, server);
    let Some(notice) = of_server(node, server) else {
        return;
    };
    let part = ServerLimitPart {
        server: server.fingerprint(),
        notice,
    };
    let own_id = node.settings.borrow().box_id.clone();
    let record = server.record();
    let homed = Homed {
        key: LimitKey::Server(part.server),
        name: &record.id,
    };
    let selected = home::of(node, homed);
    let home = match selected.map(|selected| selected.home) {
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

/// Drops the state of a limit that has ended. Otherwise, all boxes that use the server are notified
/// of the new or changed limit, so that none exceeds it until it gets the server's own answer. The
/// holder notifies them, or the boxes pass it on from one to the next if there is no holder.
fn apply_change(node: &Node, server: &Rc<Server>) {
    if server.announced_limit_per_s().is_none() {
        node.limits.forget(LimitKey::Server(server.fingerprint()));
        return;
    }
    if let Some(held) = node.held_server(server.key) {
        held.limit_changed.set(true);
        server.order_due.notify_one();
    } else if !node.has_holder(server) {
        pass_on(node, server);
    }
}

/// Sends the limit to some boxes of this zone and of others. A box that didn't know it passes it
/// on.
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
    boxes.extend(
        gossip::zone_boxes(node)
            .sample(&mut rng, ZONE_PEERS)
            .cloned(),
    );
    boxes.extend(
        gossip::other_zone_boxes(node)
            .sample(&mut rng, OTHER_ZONE_PEERS)
            .cloned(),
    );
    for box_id in boxes {
        node.outbox.post(&box_id, FramePart::ServerLimit(part));
    }
}
