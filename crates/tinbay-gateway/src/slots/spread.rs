//! Passes on between boxes which services have brittle servers. A box that has just started, or has
//! few requests, learns it before its first answer.

use tinbay_core::serving::brittleness::BrittlenessReport;

use super::messages::{BrittleServicePart, BrittlenessPart};
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::peers::gossip;

/// Upper bound of the services named in one message.
const MAX_SERVICES: usize = 16;

/// The services with brittle servers, for one round of gossip; none if there are none.
pub fn brittle_services(node: &Node) -> Option<FramePart> {
    let now_ms = node.now_ms();
    let servers = node.servers.borrow();
    let brittle: Vec<BrittleServicePart> = servers
        .services()
        .filter_map(|(name, service)| {
            Some(BrittleServicePart {
                service: box_fingerprint(name),
                brittleness: BrittlenessPart::new(service.brittleness.get().report(now_ms)?),
            })
        })
        .take(MAX_SERVICES)
        .collect();
    (!brittle.is_empty()).then_some(FramePart::BrittleServices(brittle))
}

/// Applies what another box knows of brittle services, and passes on at once what is new.
pub fn handle(node: &Node, services: &[BrittleServicePart]) {
    let mut is_new = false;
    for part in services {
        let name = {
            let servers = node.servers.borrow();
            let mut known = servers.services();
            let named = known.find(|(name, _)| box_fingerprint(name) == part.service);
            named.map(|(name, _)| name.clone())
        };
        if let Some(name) = name {
            is_new |= apply(node, &name, part.brittleness);
        }
    }
    if is_new {
        pass_on(node);
    }
}

/// Sends the services with brittle servers to some boxes at once.
pub fn pass_on(node: &Node) {
    if let Some(part) = brittle_services(node) {
        gossip::post_to_some(node, &part);
    }
}

/// Applies what another box knows of one service; returns whether it was not known to be brittle.
pub fn apply(node: &Node, service: &str, part: BrittlenessPart) -> bool {
    let report: BrittlenessReport = part.to_report();
    let servers = node.servers.borrow();
    let Some(service) = servers.service_stats(service) else {
        return false;
    };
    let mut brittleness = service.brittleness.get();
    let is_new = brittleness.record_report(report, node.now_ms());
    service.brittleness.set(brittleness);
    is_new
}
