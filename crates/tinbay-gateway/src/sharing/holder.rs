//! Allocates the capacity of the scarce backend servers that this box holds: admits or rejects the
//! admission requests of all boxes.

use std::rc::Rc;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::sharing::admission::Decision;
use tinbay_core::sharing::scarcity::ServerLoad;
use tinbay_core::units::Millis;

use super::messages::{AdmissionReply, AdmissionReplyPart, AdmissionRequestPart};
use crate::events::{self, part};
use crate::members::box_fingerprint;
use crate::node::{InForce, Node};
use crate::orders::held_server::HeldServer;
use crate::peers::frame::FramePart;
use crate::servers::Server;

/// Default objective for a service without a route.
const DEFAULT_OBJECTIVE_MS: Millis = 1_000;

#[derive(Serialize)]
struct ScarcityEvent<'a> {
    server: &'a str,
    is_scarce: bool,
    running: usize,
    slots: usize,
    backlog_ms: f64,
}

/// Handles an admission request from another box.
pub fn handle_request(node: &Node, box_id: &str, part: &AdmissionRequestPart) {
    let server = node.servers.borrow().by_fingerprint(part.server);
    let held = server
        .as_ref()
        .and_then(|server| node.held_server(server.key));
    let (Some(server), Some(held)) = (server, held) else {
        let reply = AdmissionReply::NotHolder;
        return send_reply(node, box_id, part.number, reply);
    };
    let request = part.to_request(box_fingerprint(box_id));
    held.admission.borrow_mut().ask(request, node.now_ms());
    decide_waiting(node, &server, &held);
    if held.admission.borrow().is_waiting(request.id) {
        send_reply(node, box_id, part.number, AdmissionReply::Queued);
    }
}

/// Handles an admission request from this box.
pub fn handle_own_request(node: &Node, server: &Rc<Server>, part: AdmissionRequestPart) {
    let number = part.number;
    let Some(held) = node.held_server(server.key) else {
        let reply = AdmissionReply::NotHolder;
        return node
            .sharing
            .deliver_reply(AdmissionReplyPart { number, reply });
    };
    let reply = AdmissionReply::Queued;
    node.sharing
        .deliver_reply(AdmissionReplyPart { number, reply });
    let request = part.to_request(own_key(node));
    held.admission.borrow_mut().ask(request, node.now_ms());
    decide_waiting(node, server, &held);
}

/// Whether client accounts exist that have to share capacity.
pub fn has_accounts(node: &Node) -> bool {
    let in_force = node.in_force();
    in_force.is_some_and(|in_force| !in_force.configuration.accounts.is_empty())
}

/// Admits or rejects the waiting admission requests that can be decided now. Without client
/// accounts there is nothing to share.
pub fn decide_waiting(node: &Node, server: &Rc<Server>, held: &HeldServer) {
    let Some(in_force) = node.in_force() else {
        return;
    };
    let is_any_waiting = held.admission.borrow().waiting_count() > 0;
    if in_force.configuration.accounts.is_empty() && !is_any_waiting {
        return;
    }
    let now_ms = node.now_ms();
    let server_load = server_load(&in_force, server, held, now_ms);
    let was_scarce = held.admission.borrow().is_scarce();
    let decisions = {
        let mut admission = held.admission.borrow_mut();
        admission.decide(server_load, &in_force.weights, now_ms)
    };
    for decision in decisions {
        send_decision(node, decision);
    }
    if held.admission.borrow().is_scarce() != was_scarce {
        log_scarcity_change(server, server_load, !was_scarce);
    }
}

/// Decides on the waiting admission requests at all scarce servers that this box holds.
pub fn decide_all(node: &Node) {
    let held: Vec<_> = {
        let held = node.held_servers.borrow();
        held.iter()
            .map(|(key, held)| (*key, Rc::clone(held)))
            .collect()
    };
    for (key, held) in held {
        let server = node.servers.borrow().by_key(key);
        if let Some(server) = server.filter(|_| held.admission.borrow().is_scarce()) {
            decide_waiting(node, &server, &held);
        }
    }
}

/// Number of scarce servers that this box holds, and number of admission requests that wait there.
pub fn counts(node: &Node) -> (usize, usize) {
    let held_servers = node.held_servers.borrow();
    let admissions = || held_servers.values().map(|held| held.admission.borrow());
    let scarce = admissions()
        .filter(|admission| admission.is_scarce())
        .count();
    let waiting = admissions()
        .map(|admission| admission.waiting_count())
        .sum();
    (scarce, waiting)
}

fn server_load(
    in_force: &InForce,
    server: &Server,
    held: &HeldServer,
    now_ms: Millis,
) -> ServerLoad {
    let record = server.record();
    let objective_ms = in_force.shortest_objective_ms(&record.service);
    ServerLoad {
        running: held.running(now_ms),
        slots: record.slots,
        backlog_ms: held.backlog_ms(now_ms),
        objective_ms: objective_ms.unwrap_or(DEFAULT_OBJECTIVE_MS),
    }
}

fn send_decision(node: &Node, decision: Decision) {
    let reply = AdmissionReply::from(decision.answer);
    let number = decision.id.number;
    if decision.id.box_key == own_key(node) {
        return node
            .sharing
            .deliver_reply(AdmissionReplyPart { number, reply });
    }
    let members = node.members.borrow();
    let box_id = members.id_of(decision.id.box_key).cloned();
    drop(members);
    // A box that is no longer known repeats its request once it is known again.
    if let Some(box_id) = box_id {
        send_reply(node, &box_id, number, reply);
    }
}

fn send_reply(node: &Node, box_id: &str, number: u32, reply: AdmissionReply) {
    let part = AdmissionReplyPart { number, reply };
    node.outbox.post(box_id, FramePart::AdmissionReply(part));
}

fn own_key(node: &Node) -> Fingerprint {
    box_fingerprint(&node.settings.borrow().box_id)
}

fn log_scarcity_change(server: &Server, server_load: ServerLoad, is_scarce: bool) {
    let event = ScarcityEvent {
        server: &server.record().id,
        is_scarce,
        running: server_load.running,
        slots: server_load.slots,
        backlog_ms: server_load.backlog_ms,
    };
    events::emit(part::FRONT, Level::Info, "server_scarce", &event);
}
