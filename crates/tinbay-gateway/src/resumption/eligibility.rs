//! The servers at which a stream may begin or go on, by their software versions.

use std::rc::Rc;

use tinbay_core::resumption::fingerprint;
use tinbay_core::serving::servers::{Fingerprint, SoftwareVersion};
use tinbay_core::units::Millis;

use super::stream_start::StreamStart;
use crate::front::inbound::InboundRequest;
use crate::node::Node;
use crate::servers::Server;

/// Removes the servers at which a request must not run. A resumed stream goes on at the version
/// that began it. A new stream does not begin at a version that other boxes may not have seen yet.
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

/// Time until the request's stream may begin at a server that takes requests now, but is of a version
/// that other boxes may not have seen yet; `None` if there is no such server.
pub fn begins_in_ms(node: &Node, inbound: &InboundRequest) -> Option<Millis> {
    if !matches!(inbound.stream_start, StreamStart::New { .. }) {
        return None;
    }
    let now_ms = node.now_ms();
    let service = fingerprint(&inbound.service);
    let ready = node.servers.borrow().ready(&inbound.service);
    let history = node.resumption.history.borrow();
    let adopted_in_ms = |server: &Rc<Server>| {
        let adopted_in_ms = history.adopted_in_ms(service, version_of(server), now_ms)?;
        (adopted_in_ms > 0).then_some(adopted_in_ms)
    };
    ready.iter().filter_map(adopted_in_ms).min()
}

/// Removes the servers of versions that are not adopted while one of an adopted version is listed.
/// That one may not take requests of this box for the moment, or be leaving; a box that has not seen
/// the other versions yet would still resume their streams there.
fn retain_adopted(node: &Node, inbound: &InboundRequest, servers: &mut Vec<Rc<Server>>) {
    let now_ms = node.now_ms();
    let service = fingerprint(&inbound.service);
    let history = node.resumption.history.borrow();
    if history.are_all_adopted(service, now_ms) {
        return;
    }
    let is_adopted = |server: &Rc<Server>| history.is_adopted(service, version_of(server), now_ms);
    if node
        .servers
        .borrow()
        .of_service(&inbound.service)
        .any(is_adopted)
    {
        servers.retain(is_adopted);
    }
}
