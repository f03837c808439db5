//! Chooses the server that continues a run after a handover.

use std::rc::Rc;

use tinbay_core::serving::contents::{AdapterKey, HeldState};

use crate::front::choice::{self, CandidateSet, Choice, HolderRequests};
use crate::front::inbound::InboundRequest;
use crate::node::Node;
use crate::servers::Server;

/// Where a run should be continued.
pub enum Target {
    /// On a server that can take it now.
    Ready {
        /// The server that can take it.
        server: Rc<Server>,
        /// Another server that should load the adapter too.
        copy: Option<Rc<Server>>,
    },
    /// On a server that first has to load the adapter.
    AfterLoad(Rc<Server>),
    /// On no server for now.
    Nowhere,
}

/// Chooses the server that should continue a run; `version` is the adapter version on the source,
/// which the target must hold too.
pub fn choose(
    node: &Node,
    inbound: &InboundRequest,
    holder_requests: &HolderRequests,
    version: u64,
) -> Target {
    let now_ms = node.now_ms();
    let ready = node.servers.borrow().ready(&inbound.service);
    let split = node
        .splits
        .split(&node.servers, &inbound.service, &ready, now_ms);
    let Some(split) = split else {
        return Target::Nowhere;
    };
    if adapter_of(inbound).is_none() {
        return choose_for_model(node, inbound, &split.decode_engines);
    }
    let decode_engines =
        CandidateSet::collect(node, inbound, &split.decode_engines, holder_requests);
    match decode_engines.to_choice(decode_engines.pick()) {
        Choice::Send { server, copy } => {
            let can_take_now =
                can_take_run(node, &server) && holds(node, inbound, &server, version);
            match copy {
                _ if can_take_now => Target::Ready { server, copy },
                Some(copy) => Target::AfterLoad(copy),
                None => Target::Nowhere,
            }
        }
        Choice::Load(server) => Target::AfterLoad(server),
        Choice::Nowhere => Target::Nowhere,
    }
}

fn choose_for_model(
    node: &Node,
    inbound: &InboundRequest,
    decode_engines: &[Rc<Server>],
) -> Target {
    let model = inbound.model.as_deref().unwrap_or_default();
    let holders = choice::servers_with_model(model, decode_engines);
    let server = choice::least_loaded(node, &holders, inbound.route.objective_ms);
    match server.filter(|server| can_take_run(node, server)) {
        Some(server) => Target::Ready { server, copy: None },
        None => Target::Nowhere,
    }
}

/// Whether a server has a free slot for a run and requires no permit.
fn can_take_run(node: &Node, server: &Server) -> bool {
    server.limit_per_s().is_none() && node.running(server) < server.record().slots
}

fn holds(node: &Node, inbound: &InboundRequest, server: &Server, version: u64) -> bool {
    let Some(key) = adapter_of(inbound) else {
        return true;
    };
    node.entry(server, key)
        .is_some_and(|entry| entry.state == HeldState::Ready && entry.version == version)
}

/// The key of a request's adapter; `None` if the request names only a base model.
pub fn adapter_of(inbound: &InboundRequest) -> Option<AdapterKey> {
    let model = inbound.model.as_deref()?;
    model.contains('/').then_some(inbound.model_key).flatten()
}
