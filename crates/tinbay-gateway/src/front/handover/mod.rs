//! Hands over the runs of this box's requests from prefill engines to decode engines.

mod actions;
mod successor;
mod target;

use std::cell::RefCell;
use std::rc::Rc;

use hyper::StatusCode;
use log::Level;
use serde::Serialize;
use tinbay_core::handover::roles::has_slots_for_two_copies;
use tinbay_core::serving::configuration::RouteKind;

use self::actions::NodeHandover;
use self::successor::RunHandover;
use self::target::{RunVersions, Target};
use super::adapters;
use super::choice::HolderRequests;
use super::inbound::{Handover, InboundRequest};
use crate::events::{self, part};
use crate::http::body::RequestBody;
use crate::http::framing::BodyFraming;
use crate::http::head::ResponseHead;
use crate::http::relay::{RelayEnd, RelayHandover};
use crate::node::Node;
use crate::servers::{RunningRequest, Server};

/// The handover of an answer that has begun; `None` if its run stays where it is. Only a stream
/// from a prefill engine is handed over, and only if its length is not known in advance.
pub fn for_answer(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    head: &ResponseHead,
    running: &Rc<RefCell<RunningRequest>>,
    body: Option<RequestBody>,
) -> Option<Box<dyn RelayHandover>> {
    let is_stream = inbound.route.kind == RouteKind::Streaming;
    let has_known_length = head.format.framing == BodyFraming::Length;
    if !is_stream || has_known_length || head.status != StatusCode::OK {
        return None;
    }
    if !supports_handover(node, &inbound.service) {
        return None;
    }
    let source = running.borrow().server();
    if !node
        .splits
        .is_prefill_engine(&node.servers, &source, node.now_ms())
    {
        return None;
    }
    let actions = NodeHandover::new(node, inbound, running, body?);
    Some(Box::new(RunHandover::new(actions)))
}

/// Has the server that will continue a run load the adapter while the source prefills the prompt.
pub fn prepare(node: &Node, inbound: &InboundRequest, prefill_engine: &Server) {
    let is_prefill_engine =
        node.splits
            .is_prefill_engine(&node.servers, prefill_engine, node.now_ms());
    if !is_prefill_engine || inbound.route.kind != RouteKind::Streaming {
        return;
    }
    let versions = RunVersions::of(node, inbound, prefill_engine);
    match target::choose(node, inbound, &HolderRequests::default(), &versions) {
        Target::AfterLoad(decode_engine) => {
            node.request_load(&decode_engine, adapters::wanted_load(node, inbound, false));
        }
        Target::Ready {
            copy: Some(copy), ..
        } => {
            node.request_load(&copy, adapters::wanted_load(node, inbound, true));
        }
        Target::Ready { .. } | Target::Nowhere => {}
    }
}

/// Records a stream that ended on the server where it began. Whether the engines of its service are
/// split into prefill engines and decode engines depends on how many streams paused for too long.
pub fn record_stream(node: &Node, inbound: &InboundRequest, end: &RelayEnd) {
    let stream_timing = end.timing;
    let was_handed_over = inbound.handover.get() == Some(Handover::Moved);
    let max_pause_ms = inbound.route.objective_gap_ms;
    if end.result.is_err()
        || was_handed_over
        || stream_timing.pieces() < 2
        || max_pause_ms.is_none()
    {
        return;
    }
    if !supports_handover(node, &inbound.service) {
        return;
    }
    let has_long_pause = stream_timing.has_long_pause(max_pause_ms);
    let now_ms = node.now_ms();
    if node
        .splits
        .record_stream(&inbound.service, has_long_pause, now_ms)
    {
        log_split(&inbound.service);
    }
}

/// Whether runs of a service may be handed over: its engines support it, and have enough adapter
/// slots to hold each adapter on two of them.
fn supports_handover(node: &Node, service: &str) -> bool {
    let Some(engine) = node
        .engine_properties(service)
        .filter(|engine| engine.supports_handover)
    else {
        return false;
    };
    let engines = node
        .splits
        .engine_count(&node.servers, service, node.now_ms());
    has_slots_for_two_copies(engine.adapters(), engines, engine.adapter_slots)
}

#[derive(Serialize)]
struct SplitEvent<'a> {
    service: &'a str,
}

fn log_split(service: &str) {
    let event = SplitEvent { service };
    events::emit(part::FRONT, Level::Info, "engines_read_for_others", &event);
}
