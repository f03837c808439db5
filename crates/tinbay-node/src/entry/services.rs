//! Calls of plain HTTP services, which are passed through without adapters or streaming.

use std::sync::Arc;
use std::time::Duration;

use ntex::client::ClientResponse;
use ntex::util::{Bytes, BytesMut};
use ntex::web::types::{Path, Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use rand::seq::SliceRandom;
use tinbay_core::config::ServiceSpec;
use tinbay_core::retry::{AttemptEnd, AttemptEnds, RetryCase, may_retry};
use tinbay_http::body::read_body;
use tinbay_http::client::{await_head, fresh_client, pooled_client};
use tinbay_wire::headers;

use super::progress::InProgress;
use crate::filters::{Context, Failure, Operation, release_claim, run_chain};
use crate::logging::part;
use crate::state::Node;

/// Upper bound of an answer's size.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The answer of a plain service.
struct ServiceReply {
    status: ntex::http::StatusCode,
    content_type: String,
    body: BytesMut,
}

/// Why a call of one address of a service failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum CallFailure {
    /// No connection could be established, so the call was not sent.
    #[error("could not connect to the service")]
    NotSent,
    /// The service reported that it did not run the call.
    #[error("the service refused the call")]
    Declined,
    /// The call was sent, but no complete answer arrived.
    #[error("no complete answer from the service")]
    Unknown,
}

impl CallFailure {
    fn attempt_end(self) -> AttemptEnd {
        match self {
            CallFailure::NotSent | CallFailure::Declined => AttemptEnd::NotRun,
            CallFailure::Unknown => AttemptEnd::Unknown,
        }
    }
}

/// Handles `POST /v1/services/NAME/...`.
pub async fn call(
    node: State<Arc<Node>>,
    request: HttpRequest,
    path: Path<(String, String)>,
    payload: Payload,
) -> HttpResponse {
    let _progress = InProgress::begin(&node);
    let (name, rest) = path.into_inner();
    match answer(&node, &request, &name, &rest, payload).await {
        Ok(reply) => HttpResponse::build(reply.status)
            .content_type(reply.content_type)
            .body(reply.body.freeze()),
        Err(failure) => failure.to_response(),
    }
}

async fn answer(
    node: &Arc<Node>,
    request: &HttpRequest,
    name: &str,
    rest: &str,
    payload: Payload,
) -> Result<ServiceReply, Failure> {
    let body = read_body(payload.into_inner(), node.options.max_body_bytes).await?;
    let spec = node
        .config
        .service(name)
        .ok_or_else(|| Failure::UnknownService(name.to_owned()))?;
    let operation = Operation::Service {
        name: name.to_owned(),
        repeatable: spec.repeatable,
    };
    let arrived_ms = node.clock.now_ms();
    let mut context = Context::new(request.headers(), operation, arrived_ms);
    run_chain(node, &mut context).await?;
    let outcome = try_addresses(node, &context, &spec, rest, body.freeze()).await;
    if let Err(failure) = &outcome
        && failure.is_not_run()
    {
        release_claim(node, &context.key_claim).await;
    }
    outcome
}

async fn try_addresses(
    node: &Arc<Node>,
    context: &Context<'_>,
    spec: &ServiceSpec,
    rest: &str,
    body: Bytes,
) -> Result<ServiceReply, Failure> {
    let class = context.class.name.as_str();
    node.earn_retry(class);
    let mut addresses = spec.addresses.clone();
    addresses.shuffle(&mut rand::rng());
    let mut ends = AttemptEnds::default();
    for address in addresses {
        let failure = match send(context, spec, &address, rest, body.clone()).await {
            Ok(reply) => return Ok(reply),
            Err(failure) => failure,
        };
        log::debug!(target: part::ENTRY, "{} of {} at {address}: {failure}", context.identity.request_id, spec.name);
        let case = RetryCase {
            end: failure.attempt_end(),
            repeatable: context.treatment.repeatable,
            answer_begun: false,
            now_ms: node.clock.now_ms(),
            deadline_ms: context.arrived_ms + spec.timeout_ms,
        };
        ends.record(failure.attempt_end());
        // A failed connection put no load on the service, so it does not count against the retry
        // budget.
        let is_exempt = failure == CallFailure::NotSent;
        if !may_retry(&case) || !(is_exempt || node.spend_retry(class)) {
            break;
        }
    }
    if ends.are_all_not_run() {
        return Err(Failure::BackendFailed { not_run: true });
    }
    Err(Failure::OutcomeUnknown)
}

async fn send(
    context: &Context<'_>,
    spec: &ServiceSpec,
    address: &str,
    rest: &str,
    body: Bytes,
) -> Result<ServiceReply, CallFailure> {
    let client = match context.treatment.repeatable {
        true => pooled_client().await,
        false => fresh_client().await,
    };
    let url = format!("http://{address}/{rest}");
    let content_type = context.header("content-type").unwrap_or("application/json");
    let mut request = client
        .post(url.as_str())
        .set_header("content-type", content_type)
        .set_header(headers::REQUEST_ID, context.identity.request_id.as_str());
    if let Some(key) = &context.identity.key {
        request = request.set_header(headers::KEY, key.to_string());
    }
    let timeout = Duration::from_millis(spec.timeout_ms);
    let response =
        await_head(request.send_body(body), timeout)
            .await
            .map_err(|error| match error.is_not_sent() {
                true => CallFailure::NotSent,
                false => CallFailure::Unknown,
            })?;
    if reports_not_run(&response) {
        return Err(CallFailure::Declined);
    }
    read_reply(response, timeout).await
}

fn reports_not_run(response: &ClientResponse) -> bool {
    !response.status().is_success() && response.headers().contains_key(headers::NOT_RUN)
}

async fn read_reply(
    response: ClientResponse,
    timeout: Duration,
) -> Result<ServiceReply, CallFailure> {
    let read = read_body(response.take_payload(), MAX_ANSWER_BYTES);
    let body = match tokio::time::timeout(timeout, read).await {
        Ok(Ok(body)) => body,
        _ => return Err(CallFailure::Unknown),
    };
    let content_type = response.headers().get("content-type");
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Ok(ServiceReply {
        status: response.status(),
        content_type: content_type.unwrap_or("application/json").to_owned(),
        body,
    })
}
