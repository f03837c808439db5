//! Runs a request forwarded by another box and relays the engine's chunks to it unchanged.

use std::sync::Arc;

use ntex::util::Bytes;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use tinbay_http::body::read_json;
use tinbay_http::stream::body_channel;
use tinbay_wire::forward::ForwardRequest;
use tinbay_wire::headers;

use super::job::Job;
use super::local;
use super::progress::InProgress;
use super::stream::AnswerStream;
use crate::controllers::OWNERSHIP_PERIOD_MS;
use crate::filters::Failure;
use crate::state::Node;

/// Size allowed for a forwarded request beyond the size of the caller's body.
const MAX_ENVELOPE_BYTES: usize = 4_096;

/// Handles `POST /internal/v1/run`.
pub async fn run(node: State<Arc<Node>>, request: HttpRequest, payload: Payload) -> HttpResponse {
    let progress = InProgress::begin(&node);
    match start(&node, &request, payload).await {
        Ok(stream) => relay(stream, progress),
        Err(failure) => failure.to_response(),
    }
}

async fn start(
    node: &Arc<Node>,
    request: &HttpRequest,
    payload: Payload,
) -> Result<AnswerStream, Failure> {
    let limit_bytes = node.options.max_body_bytes + MAX_ENVELOPE_BYTES;
    let forward: ForwardRequest = read_json(payload.into_inner(), limit_bytes).await?;
    if forward.owner_run.is_some_and(|run| run != node.incarnation) {
        return Err(Failure::NotOwner {
            retry_after_ms: OWNERSHIP_PERIOD_MS,
        });
    }
    if !node.reach_revision(forward.revision).await {
        return Err(Failure::StaleConfiguration);
    }
    let request_id = request.headers().get(headers::REQUEST_ID);
    let request_id = request_id
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default();
    let job = to_job(node, &forward, request_id);
    let call = &forward.call;
    let attempt = call.attempt;
    local::run(node, &job, &forward.engine, attempt, call.resume_from)
        .await
        .map_err(|error| error.failure)
}

fn to_job(node: &Node, forward: &ForwardRequest, request_id: &str) -> Job {
    let now_ms = node.clock.now_ms();
    let call = &forward.call;
    Job {
        name: call.request.clone(),
        request_id: request_id.to_owned(),
        model: call.model.clone(),
        base_model: String::new(),
        organisation: forward.organisation.clone(),
        class: String::new(),
        prompt: call.prompt.clone(),
        max_tokens: call.max_tokens,
        rank: call.priority,
        urgent: forward.urgent,
        repeatable: false,
        arrived_ms: now_ms.saturating_sub(forward.age_ms),
        start_by_ms: now_ms + forward.wait_left_ms,
        resume_from: call.resume_from,
    }
}

fn relay(mut stream: AnswerStream, progress: InProgress) -> HttpResponse {
    let info = stream.info.clone();
    let (body, receiver) = body_channel();
    ntex::rt::spawn(async move {
        while let Some(event) = stream.next_raw().await {
            let mut line = b"data: ".to_vec();
            line.extend_from_slice(&event);
            line.extend_from_slice(b"\n\n");
            if body.send(Bytes::from(line)).await.is_err() {
                // The forwarding box has disconnected. The run continues, so that it can be
                // resumed.
                stream.drain().await;
                break;
            }
        }
        drop(progress);
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .set_header(headers::STALL_MS, info.stall_ms.to_string())
        .set_header(headers::QUEUE_MS, info.queue_ms.to_string())
        .set_header(headers::EXPECTED_WAIT_MS, info.expected_wait_ms.to_string())
        .streaming(receiver)
}
