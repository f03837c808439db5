//! Judges which of the servers held here have more than their part of the requests.
//!
//! The holder alone judges and tells the others, so that all boxes pass over the same servers
//! when they look for an adapter's home. Source of the bound: Mirrokni, Thorup and
//! Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.

use std::rc::Rc;

use crate::node::Node;
use crate::servers::Server;

/// Factor over the mean of all servers above which one gets no more adapters.
const OVER_MEAN: f64 = 1.5;

/// Factor below which it gets adapters again.
const UNDER_MEAN: f64 = 1.2;

/// Requests at a server that are too few to speak of an overload.
const LEAST_REQUESTS: f64 = 6.0;

/// Judges all servers held here, and has the others told what changed.
pub fn judge(node: &Node) {
    for service in node.held_services() {
        let ready = node.servers.borrow().ready(&service);
        let mean = mean_requests(&ready);
        for server in node.held_of_service(&service) {
            let factor = if server.is_overloaded() {
                UNDER_MEAN
            } else {
                OVER_MEAN
            };
            let bound = (mean * factor).max(LEAST_REQUESTS);
            if server.set_overloaded(server.usual_flights() > bound) {
                node.tell_contents(server.key);
            }
        }
    }
}

fn mean_requests(servers: &[Rc<Server>]) -> f64 {
    let sum: f64 = servers.iter().map(|server| server.usual_flights()).sum();
    sum / servers.len().max(1) as f64
}
