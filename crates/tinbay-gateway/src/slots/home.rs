//! Leases out the slots of the brittle servers of which this box is the home.

use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::slots::home::{Decision, HomeTerms, LeaseId, SlotAnswer, SlotHome, SlotRequest};
use tinbay_core::units::Millis;

use super::messages::{SlotReply, SlotReplyPart, SlotReportPart, SlotRequestPart};
use super::{HeldHome, homed, selected_home, spread};
use crate::events::{self, part};
use crate::limits::home::{self as limit_home, Home};
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;

/// Time after a request by which a box stays the home in place of another one.
const SUBSTITUTE_LIFE_MS: Millis = 1_000;

#[derive(Serialize)]
struct HomeEvent<'a> {
    server: &'a str,
    slots: usize,
    brittle_for_ms: Millis,
}

/// Answers a request for a slot from a box that regards this one as the server's home.
pub fn handle_request(node: &Node, box_id: &str, part: &SlotRequestPart) {
    let send = |reply| {
        let number = part.number;
        let reply = SlotReplyPart { number, reply };
        node.outbox.post_urgent(box_id, FramePart::SlotReply(reply));
    };
    let Some(server) = node.servers.borrow().by_fingerprint(part.server) else {
        return send(SlotReply::NotHome { other: None });
    };
    spread::apply(node, &server.record().service, part.brittleness);
    let home = {
        let record = server.record();
        limit_home::home_excluding(node, homed(&server, &record.id), &part.excluded)
    };
    match home {
        Some(Home::Own) => {}
        Some(Home::Other(other)) => {
            let other = Some(box_fingerprint(&other));
            return send(SlotReply::NotHome { other });
        }
        None => return send(SlotReply::NotHome { other: None }),
    }
    let request = SlotRequest {
        id: LeaseId {
            box_key: box_fingerprint(box_id),
            number: part.number,
        },
        rank: part.rank,
        max_wait_ms: Millis::from(part.max_wait_ms),
    };
    let Some(is_waiting) = request_slot(node, &server, request) else {
        return send(SlotReply::NotHome { other: None });
    };
    if !part.excluded.is_empty() {
        record_substitution(node, &server);
    }
    if is_waiting {
        send(SlotReply::Queued);
    }
}

/// Handles a request of this box for a slot of a server of which it is the home. Returns whether
/// the request waits; `None` if this box can't be a home now.
pub fn request_slot(node: &Node, server: &Rc<Server>, request: SlotRequest) -> Option<bool> {
    let now_ms = node.now_ms();
    with_home(node, server, |home, terms| {
        home.request(request, now_ms);
        home.decide(terms, now_ms)
    })
    .map(|decisions| send_decisions(node, decisions))?;
    let homes = node.slots.homes.borrow();
    let home = homes.get(&server.key);
    Some(home.is_some_and(|held| held.home.is_waiting(request.id)))
}

/// Records that other boxes take this one for a server's home, as the one that all would select
/// can't be it now.
fn record_substitution(node: &Node, server: &Server) {
    let mut homes = node.slots.homes.borrow_mut();
    if let Some(held) = homes.get_mut(&server.key) {
        held.substitute_until_ms = node.now_ms() + SUBSTITUTE_LIFE_MS;
    }
}

/// Whether this box is a server's home, by its own view or as others take it for one.
fn is_home(node: &Node, server: &Server) -> bool {
    let homes = node.slots.homes.borrow();
    let held = homes.get(&server.key);
    let is_substitute = held.is_some_and(|held| node.now_ms() < held.substitute_until_ms);
    is_substitute || selected_home(node, server) == Some(Home::Own)
}

/// Applies a box's report of its leases, if this box is the server's home.
pub fn apply_report(node: &Node, box_key: Fingerprint, report: &SlotReportPart) {
    let server = node.servers.borrow().by_fingerprint(report.server);
    let Some(server) = server.filter(|server| is_home(node, server)) else {
        return;
    };
    let now_ms = node.now_ms();
    let decisions = with_home(node, &server, |home, terms| {
        for (number, end) in &report.ended {
            let id = LeaseId {
                box_key,
                number: *number,
            };
            home.end(id, *end, terms, now_ms);
        }
        if let Some(held) = &report.held {
            home.renew(box_key, held, now_ms);
        }
        home.decide(terms, now_ms)
    });
    if let Some(decisions) = decisions {
        send_decisions(node, decisions);
    }
}

/// Decides on the requests that wait at all servers of which this box is the home, and drops the
/// state of those of which it no longer is.
pub fn decide_all(node: &Node) {
    let keys: Vec<_> = node.slots.homes.borrow().keys().copied().collect();
    let now_ms = node.now_ms();
    for key in keys {
        let server = node.servers.borrow().by_key(key);
        let Some(server) = server.filter(|server| is_home(node, server)) else {
            node.slots.homes.borrow_mut().remove(&key);
            continue;
        };
        let decisions = with_home(node, &server, |home, terms| home.decide(terms, now_ms));
        send_decisions(node, decisions.unwrap_or_default());
    }
}

/// Changes the state of a server's slots, which begins empty. Returns `None`, and drops the state, if
/// the server is not brittle or this box's view of the fleet is too unreliable to act as a home.
fn with_home<T>(
    node: &Node,
    server: &Server,
    change: impl FnOnce(&mut SlotHome, HomeTerms) -> T,
) -> Option<T> {
    let now_ms = node.now_ms();
    let fleet = limit_home::fleet(node);
    let mut homes = node.slots.homes.borrow_mut();
    let brittleness = server.brittleness(now_ms).filter(|_| fleet.is_reliable);
    let Some(brittleness) = brittleness else {
        homes.remove(&server.key);
        return None;
    };
    let terms = HomeTerms {
        slots: server.record().slots.max(1),
        rejections_per_s: brittleness.rejections_per_s,
        reached: fleet.reached,
    };
    let held = homes.entry(server.key).or_insert_with(|| {
        node.slots.changed.notify_one();
        log_begin(server, brittleness.known_for_ms);
        HeldHome {
            home: SlotHome::new(terms.slots, brittleness.known_for_ms, now_ms),
            substitute_until_ms: now_ms,
        }
    });
    Some(change(&mut held.home, terms))
}

fn log_begin(server: &Server, brittle_for_ms: Millis) {
    let record = server.record();
    let event = HomeEvent {
        server: &record.id,
        slots: record.slots,
        brittle_for_ms,
    };
    events::emit(part::SERVERS, Level::Info, "slots_home", &event);
}

fn send_decisions(node: &Node, decisions: Vec<Decision>) {
    for Decision { id, answer } in decisions {
        let reply = match answer {
            SlotAnswer::Leased => SlotReply::Leased,
            SlotAnswer::Full { retry_after_ms } => SlotReply::Full {
                retry_after_ms: u16::try_from(retry_after_ms).unwrap_or(u16::MAX),
            },
        };
        let number = id.number;
        let part = SlotReplyPart { number, reply };
        if id.box_key == own_key(node) {
            node.slots.deliver_reply(part);
            continue;
        }
        let members = node.members.borrow();
        let box_id = members.id_of(id.box_key).cloned();
        drop(members);
        // A box that is no longer known repeats its request once it is known again.
        if let Some(box_id) = box_id {
            node.outbox.post_urgent(&box_id, FramePart::SlotReply(part));
        }
    }
}

/// Fingerprint of this box.
pub fn own_key(node: &Node) -> Fingerprint {
    box_fingerprint(&node.settings.borrow().box_id)
}
