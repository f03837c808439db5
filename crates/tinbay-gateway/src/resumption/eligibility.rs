//! The servers at which a stream may begin or go on, by their software versions.

use std::rc::Rc;

use tinbay_core::resumption::fingerprint;
use tinbay_core::serving::servers::{Fingerprint, SoftwareVersion};

use super::stream_start::StreamStart;
use crate::front::inbound::InboundRequest;
use crate::node::Node;
use crate::servers::Server;

/// Removes the servers at which a request must not run. A resumed stream goes on at the version
/// that began it. A new stream does not begin at a version that other boxes may not have seen yet,
/// unless no other server is left to try.
pub fn retain_eligible(node: &Node, inbound: &InboundRequest, servers: &mut Vec<Rc<Server>>) {
    match inbound.stream_start {
        StreamStart::NotResumable => {}
        StreamStart::New { .. } => retain_adopted(node, inbound, servers),
        StreamStart::Resumed { .. } => match inbound.origin.get() {
            Some(origin) => servers.retain(|server| version_of(server) == origin),
            None => servers.clear(),
        },
    }
}

/// Whether a server that accepts requests, now or after a back-off, is left of the version that
/// began a stream; true for other requests.
pub fn has_server_of_origin(node: &Node, inbound: &InboundRequest) -> bool {
    let Some(origin) = inbound.origin.get() else {
        return true;
    };
    let servers = node.servers.borrow().in_service(&inbound.service);
    servers.iter().any(|server| version_of(server) == origin)
}

/// Fingerprint of a server's software version.
pub fn version_of(server: &Server) -> Fingerprint {
    fingerprint(server.record().software_version.as_str())
}

/// The version that began a stream, as it is known now. A stream may have been recorded under an
/// incarnation of a server whose entry had not been read and has been read since.
pub fn resolve_version(node: &Node, service: &str, recorded: Fingerprint) -> Fingerprint {
    let is_recorded = |server: &Rc<Server>| {
        let record = server.record();
        let unread = SoftwareVersion::unread(&record.id, record.born_ms);
        fingerprint(unread.as_str()) == recorded
    };
    let servers = node.servers.borrow().in_service(service);
    let found = servers.iter().find(|server| is_recorded(server));
    found.map_or(recorded, |server| version_of(server))
}

fn retain_adopted(node: &Node, inbound: &InboundRequest, servers: &mut Vec<Rc<Server>>) {
    let now_ms = node.now_ms();
    let service = fingerprint(&inbound.service);
    let history = node.resumption.history.borrow();
    if history.are_all_adopted(service, now_ms) {
        return;
    }
    let is_adopted = |server: &Rc<Server>| history.is_adopted(service, version_of(server), now_ms);
    if servers.iter().any(is_adopted) {
        servers.retain(is_adopted);
    }
}
