//! Chooses the server for a prompt when the engines of a service are split into prefill engines,
//! which prefill prompts for the others, and decode engines.
//!
//! A prompt goes to a prefill engine, and its run is handed over to a decode engine after the
//! first event. A prompt short enough not to stall the streams of the decode engine goes there
//! directly.

use std::rc::Rc;

use tinbay_core::handover::prefill_limit::can_prefill_beside_streams;
use tinbay_core::serving::placement::Pick;

use super::adapters::needs_status;
use super::choice::{CandidateSet, Choice, HolderRequests};
use super::inbound::InboundRequest;
use crate::handover::split::Split;
use crate::node::Node;
use crate::servers::Server;

/// Chooses the server for a request that names an adapter.
pub fn choose_for_adapter(
    node: &Node,
    inbound: &InboundRequest,
    split: &Split,
    holder_requests: &HolderRequests,
) -> Choice {
    if let Some(choice) = choose_decode_engine(node, inbound, split, holder_requests) {
        return choice;
    }
    let prefill_engines =
        CandidateSet::collect(node, inbound, &split.prefill_engines, holder_requests);
    match prefill_engines.pick() {
        Pick::Nowhere => {
            let decode_engines =
                CandidateSet::collect(node, inbound, &split.decode_engines, holder_requests);
            decode_engines.to_choice(decode_engines.pick())
        }
        pick => prefill_engines.to_choice(pick),
    }
}

/// The choice of a decode engine for a request; `None` if its prefill would stall streams there.
fn choose_decode_engine(
    node: &Node,
    inbound: &InboundRequest,
    split: &Split,
    holder_requests: &HolderRequests,
) -> Option<Choice> {
    if !prefills_beside_streams(node, inbound, 0.0) {
        return None;
    }
    let decode_engines =
        CandidateSet::collect(node, inbound, &split.decode_engines, holder_requests);
    let choice = decode_engines.to_choice(decode_engines.pick());
    let is_acceptable = match &choice {
        Choice::Send { server, .. } => {
            needs_status(node, server, holder_requests)
                || prefills_beside_streams(node, inbound, node.backlog_ms(server))
        }
        Choice::Load(_) => true,
        Choice::Nowhere => false,
    };
    is_acceptable.then_some(choice)
}

/// Chooses between the least loaded decode engine and prefill engine for a request that names only
/// a base model.
pub fn choose_for_model(
    node: &Node,
    inbound: &InboundRequest,
    decode_engine: Option<Rc<Server>>,
    prefill_engine: Option<Rc<Server>>,
) -> Option<Rc<Server>> {
    match (decode_engine, prefill_engine) {
        (Some(decode_engine), Some(prefill_engine)) => {
            let stalls_no_stream =
                prefills_beside_streams(node, inbound, node.backlog_ms(&decode_engine));
            Some(if stalls_no_stream {
                decode_engine
            } else {
                prefill_engine
            })
        }
        (decode_engine, prefill_engine) => decode_engine.or(prefill_engine),
    }
}

/// Whether an engine with a prefill queue of `backlog_ms` can prefill the prompt as well without
/// pausing its streams for too long.
fn prefills_beside_streams(node: &Node, inbound: &InboundRequest, backlog_ms: f64) -> bool {
    let own_prefill_ms = node.prefill_ms(&inbound.service, inbound.prompt.tokens);
    let max_pause_ms = inbound.route.objective_gap_ms;
    max_pause_ms.is_none_or(|max_pause_ms| {
        can_prefill_beside_streams(backlog_ms + own_prefill_ms, max_pause_ms)
    })
}
