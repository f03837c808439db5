//! Chooses the server that continues a run after a handover.

use std::rc::Rc;

use tinbay_core::serving::contents::{AdapterKey, HeldState};
use tinbay_core::serving::servers::SoftwareVersion;

use crate::front::choice::{self, CandidateSet, Choice, HolderRequests};
use crate::front::deliver::held_version;
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

/// What the server that began a run has, and the one that continues it must have too.
#[derive(Debug)]
pub struct RunVersions {
    /// Version of the adapter; 0 if unknown.
    pub adapter: u64,
    /// Version of the server's software.
    pub software: SoftwareVersion,
}

impl RunVersions {
    /// The versions for a request on the server that begins its run.
    pub fn of(node: &Node, inbound: &InboundRequest, source: &Server) -> Self {
        Self {
            adapter: held_version(node, inbound, source).unwrap_or_default(),
            software: source.record().software_version.clone(),
        }
    }
}

/// Chooses the server that should continue a run of these versions.
pub fn choose(
    node: &Node,
    inbound: &InboundRequest,
    holder_requests: &HolderRequests,
    versions: &RunVersions,
) -> Target {
    let now_ms = node.now_ms();
    let ready = node.servers.borrow().ready(&inbound.service);
    let split = node
        .splits
        .split(&node.servers, &inbound.service, &ready, now_ms);
    let Some(split) = split else {
        return Target::Nowhere;
    };
    let successors = split.successors(versions.software.as_str());
    if adapter_of(inbound).is_none() {
        return choose_for_model(node, inbound, &successors);
    }
    let candidates = CandidateSet::collect(node, inbound, &successors, holder_requests);
    match candidates.to_choice(candidates.pick()) {
        Choice::Send { server, copy } => {
            let can_take_now =
                can_take_run(node, &server) && holds(node, inbound, &server, versions.adapter);
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

fn choose_for_model(node: &Node, inbound: &InboundRequest, successors: &[Rc<Server>]) -> Target {
    let model = inbound.model.as_deref().unwrap_or_default();
    let holders = choice::servers_with_model(model, successors);
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
