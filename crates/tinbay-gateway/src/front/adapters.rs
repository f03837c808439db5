//! Finds a server for a request, waiting for its adapter to be loaded where necessary.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::wanted_loads::WantedLoad;
use tinbay_core::units::Millis;

use super::choice::{self, Choice, HolderRequests};
use super::inbound::InboundRequest;
use super::refusal::{NotRunReason, Refusal};
use crate::events::{self, part};
use crate::limits::permits;
use crate::node::Node;
use crate::resumption::{eligibility, origin};
use crate::servers::Server;

/// Longest interval between two choices of a server while waiting for a load. A status report from
/// the box that manages the server ends the wait early.
const MAX_CHOICE_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a server's status; after that, the server is chosen without it.
const STATUS_TIMEOUT: Duration = Duration::from_millis(20);

/// `Retry-After` of a box that is shutting down: short, as another box can take the request at
/// once.
const RETRY_ELSEWHERE_MS: Millis = 20;

/// Returns the server that should run a request, once it holds the adapter or model.
///
/// # Errors
/// When no server takes work, the adapter can't be loaded in time, this box is leaving, or it is not
/// known which software version began the stream that the request resumes.
pub async fn find_server(
    node: &Rc<Node>,
    inbound: &InboundRequest,
    tried: &[String],
) -> Result<Rc<Server>, Refusal> {
    origin::find_origin(node, inbound).await?;
    let mut holder_requests = HolderRequests::default();
    loop {
        match choice::choose(node, inbound, tried, &holder_requests) {
            Choice::Send { server, copy } => {
                if let Some(copy) = copy {
                    node.request_load(&copy, wanted_load(node, inbound, true));
                }
                if inbound.model_key.is_none() || !needs_status(node, &server, &holder_requests) {
                    return Ok(server);
                }
                refresh_status(node, &server, &mut holder_requests).await;
            }
            Choice::Load(server) => {
                let last_send_ms = last_send_ms(node, inbound);
                check_load_in_time(node, &mut holder_requests, &server, last_send_ms)?;
                if holder_requests.loads.is_empty() {
                    log_wait(node, inbound, &server);
                }
                let remaining = Duration::from_millis(last_send_ms.saturating_sub(node.now_ms()));
                wait_for_load(
                    node,
                    inbound,
                    &server,
                    MAX_CHOICE_INTERVAL.min(remaining),
                    &mut holder_requests,
                )
                .await;
            }
            Choice::Nowhere => {
                origin::check_server_left(node, inbound)?;
                let retry_after_ms = eligibility::begins_in_ms(node, inbound)
                    .or_else(|| permits::caller_retry_after_ms(node, &inbound.service));
                return Err(Refusal::NoServer { retry_after_ms });
            }
        }
    }
}

/// Whether to ask the server's holder, the box that manages the server, for a current status before
/// the request is sent. Asked at most once per request and server.
pub(super) fn needs_status(node: &Node, server: &Server, holder_requests: &HolderRequests) -> bool {
    let is_refreshed = holder_requests.status_requests.contains_key(&server.key);
    !is_refreshed && node.should_request_status(server)
}

/// Requests the status of a server from its holder and waits up to `STATUS_TIMEOUT` for it.
pub(super) async fn refresh_status(
    node: &Node,
    server: &Server,
    holder_requests: &mut HolderRequests,
) {
    let status_received = server.status_received.notified();
    node.request_status(server);
    holder_requests
        .status_requests
        .insert(server.key, node.now_ms());
    let _ = tokio::time::timeout(STATUS_TIMEOUT, status_received).await;
}

/// Latest time to send a request so that its first chunk still reaches the caller.
///
/// Only the prefill of its own prompt is deducted. The prefill queue of a server is an estimate: if
/// it were deducted too, a wrong estimate would refuse requests while the engines have free slots.
fn last_send_ms(node: &Node, inbound: &InboundRequest) -> Millis {
    let own_prefill_ms = node.prefill_ms(&inbound.service, inbound.prompt.tokens) as Millis;
    let objective_ms = inbound.route.objective_ms;
    inbound
        .first_chunk_by_ms
        .saturating_sub(own_prefill_ms.min(objective_ms))
}

/// Refuses a request early if its adapter will be loaded too late or the box is leaving.
fn check_load_in_time(
    node: &Node,
    holder_requests: &mut HolderRequests,
    server: &Server,
    last_send_ms: Millis,
) -> Result<(), Refusal> {
    if node.is_leaving.get() {
        return Err(Refusal::NotRun {
            reason: NotRunReason::BoxLeaving,
            retry_after_ms: RETRY_ELSEWHERE_MS,
        });
    }
    let now_ms = node.now_ms();
    let wait_ms = node.load_wait_ms(server);
    let requested_ms = holder_requests
        .loads
        .get(&server.key)
        .map(|load| load.first_ms);
    if requested_ms.is_some_and(|requested_ms| node.has_status_since(server, requested_ms)) {
        holder_requests.record_expected_wait(server.key, wait_ms);
    }
    let expected_ms = holder_requests.expected_ms(server.key).unwrap_or(now_ms);
    let ready_ms = expected_ms.max(now_ms);
    if ready_ms < last_send_ms {
        return Ok(());
    }
    Err(Refusal::NotRun {
        reason: NotRunReason::AdapterNotLoaded,
        retry_after_ms: wait_ms as Millis,
    })
}

/// Requests the load from the server's holder unless that was done recently, then waits until a
/// status of the server arrives, the adapter becomes ready on any server, or `max_wait` has passed.
pub(super) async fn wait_for_load(
    node: &Node,
    inbound: &InboundRequest,
    server: &Server,
    max_wait: Duration,
    holder_requests: &mut HolderRequests,
) {
    let adapter = node.waiters.join(inbound.model_key.unwrap_or_default());
    let adapter_ready = adapter.notified();
    let status_received = server.status_received.notified();
    let now_ms = node.now_ms();
    if holder_requests.try_begin_load_request(server.key, now_ms) {
        node.request_load(server, wanted_load(node, inbound, false));
    }
    tokio::select! {
        () = adapter_ready => {}
        () = status_received => {}
        () = tokio::time::sleep(max_wait) => {}
    }
}

/// The load request for the adapter of a caller's request; `is_copy` asks for an additional copy.
pub(super) fn wanted_load(node: &Node, inbound: &InboundRequest, is_copy: bool) -> WantedLoad {
    WantedLoad {
        adapter: inbound.model.clone().unwrap_or_default(),
        version: inbound.named_version(node),
        is_copy,
    }
}

#[derive(Serialize)]
struct WaitEvent<'a> {
    request: &'a str,
    model: Option<&'a str>,
    version: Option<u64>,
    server: &'a str,
    holder: Option<&'a str>,
    has_holder: bool,
    age_ms: Millis,
}

fn log_wait(node: &Node, inbound: &InboundRequest, server: &Server) {
    let holder = node.holder_of(server);
    let event = WaitEvent {
        request: &inbound.id,
        model: inbound.model.as_deref(),
        version: inbound.named_version(node),
        server: &server.record().id,
        holder: holder.as_deref(),
        has_holder: node.has_holder(server),
        age_ms: node.now_ms() - inbound.arrived_ms,
    };
    events::emit(part::FRONT, Level::Info, "wait", &event);
}
