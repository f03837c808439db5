//! Chooses the server for a try.

use std::rc::Rc;

use rand::RngExt;

use super::question::Question;
use crate::node::Node;
use crate::servers::Server;

/// Load that a server of another zone must have less to be chosen: bytes between zones
/// cost, and the way is longer.
const OTHER_ZONE_LOAD: f64 = 0.15;

/// The server that should run a request, among those not tried yet.
pub fn choose(node: &Node, question: &Question, tried: &[String]) -> Option<Rc<Server>> {
    let ready = node.servers.borrow().ready(&question.service);
    ready
        .into_iter()
        .filter(|server| !tried.contains(&server.record().id))
        .filter(|server| holds(server, question))
        .map(|server| (load(node, &server), server))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, server)| server)
}

fn holds(server: &Server, question: &Question) -> bool {
    let Some(model) = &question.model else {
        return true;
    };
    let record = server.record();
    if model.contains('/') {
        record.adapters.iter().any(|held| held.adapter == *model)
    } else {
        record.models.contains(model)
    }
}

/// How busy a server is, with mistrust and distance added.
pub fn load(node: &Node, server: &Server) -> f64 {
    let record = server.record();
    let slots = record.slots.max(1) as f64;
    let distance = if record.zone == node.settings.borrow().zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    let tie: f64 = rand::rng().random_range(0.0..0.02);
    server.flights() as f64 / slots + server.mistrust(node.now_ms()) + distance + tie
}
