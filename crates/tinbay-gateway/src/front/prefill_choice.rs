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
use super::choice::{Choice, HolderRequests, Survey};
use super::inbound::InboundRequest;
use crate::handover::split::Split;
use crate::node::Node;
use crate::servers::Server;

/// Chooses the server for a request that names an adapter.
pub fn choose_for_adapter(
    node: &Node,
    inbound: &InboundRequest,
    split: &Split,
    asked: &HolderRequests,
) -> Choice {
    if let Some(choice) = choose_decode_engine(node, inbound, split, asked) {
        return choice;
    }
    let prefill_engines = Survey::make(node, inbound, &split.prefill_engines, asked);
    match prefill_engines.pick() {
        Pick::Nowhere => {
            let decode_engines = Survey::make(node, inbound, &split.decode_engines, asked);
            decode_engines.to_choice(decode_engines.pick())
        }
        pick => prefill_engines.to_choice(pick),
    }
}

/// The decode engine for a request, if its prefill stalls no stream there.
fn choose_decode_engine(
    node: &Node,
    inbound: &InboundRequest,
    split: &Split,
    asked: &HolderRequests,
) -> Option<Choice> {
    if !prefills_beside_streams(node, inbound, 0.0) {
        return None;
    }
    let decode_engines = Survey::make(node, inbound, &split.decode_engines, asked);
    let choice = decode_engines.to_choice(decode_engines.pick());
    let is_fine = match &choice {
        Choice::Send { server, .. } => {
            needs_status(node, server, asked)
                || prefills_beside_streams(node, inbound, node.backlog_ms(server))
        }
        Choice::Load(_) => true,
        Choice::Nowhere => false,
    };
    is_fine.then_some(choice)
}

/// Chooses between the least loaded decode engine and prefill engine for a request that names only a base model.
pub fn choose_for_model(
    node: &Node,
    inbound: &InboundRequest,
    decode_engine: Option<Rc<Server>>,
    prefill_engine: Option<Rc<Server>>,
) -> Option<Rc<Server>> {
    match (decode_engine, prefill_engine) {
        (Some(decode_engine), Some(prefill_engine)) => {
            let is_fine = prefills_beside_streams(node, inbound, node.backlog_ms(&decode_engine));
            Some(if is_fine {
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
    let own_ms = node.prefill_ms(&inbound.service, inbound.prompt.tokens);
    let pause_ms = inbound.route.objective_gap_ms;
    pause_ms.is_none_or(|pause_ms| can_prefill_beside_streams(backlog_ms + own_ms, pause_ms))
}
