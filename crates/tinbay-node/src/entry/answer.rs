//! Sends an answer to a caller, either complete or as a stream of server-sent events.

use ntex::util::Bytes;
use ntex::web::HttpResponse;
use serde::Serialize;
use tinbay_core::assemble::Chunk;
use tinbay_core::ids::ModelRef;
use tinbay_http::stream::{body_channel, event};
use tinbay_wire::completion::{Choice, CompletionAnswer, DONE_EVENT, Usage};
use tinbay_wire::headers;

use super::attempts::Attempts;
use super::stream::RunInfo;
use crate::filters::Failure;

/// One event of a streamed answer.
#[derive(Debug, Serialize)]
struct AnswerEvent<'a> {
    id: &'a str,
    model: &'a ModelRef,
    position: u64,
    choices: [EventChoice<'a>; 1],
}

#[derive(Debug, Serialize)]
struct EventChoice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'static str>,
}

/// `finish_reason` of a complete answer.
const STOP: &str = "stop";

fn head(info: &RunInfo, request_id: &str) -> ntex::http::ResponseBuilder {
    let mut response = HttpResponse::Ok();
    response
        .set_header(headers::REQUEST_ID, request_id)
        .set_header(headers::BOX, info.owner.as_str())
        .set_header(headers::ENGINE, info.engine.as_str())
        .set_header(headers::STALL_MS, info.stall_ms.to_string())
        .set_header(headers::QUEUE_MS, info.queue_ms.to_string());
    response
}

fn to_event(name: &str, chunk: &Chunk) -> Bytes {
    let answer = AnswerEvent {
        id: name,
        model: &chunk.model,
        position: chunk.position,
        choices: [EventChoice {
            index: 0,
            text: &chunk.text,
            finish_reason: chunk.last.then_some(STOP),
        }],
    };
    event(&serde_json::to_string(&answer).unwrap_or_default())
}

/// Collects the complete answer before responding.
///
/// # Errors
/// The failure for the caller, when a broken stream cannot be resumed.
pub async fn collect(
    mut attempts: Attempts,
    first: Chunk,
    name: &str,
    request_id: &str,
    info: &RunInfo,
) -> Result<HttpResponse, Failure> {
    let model = first.model.clone();
    let mut text = first.text;
    let mut tokens = 1;
    while !attempts.is_complete() {
        let chunk = attempts.next_chunk().await?;
        text.push_str(&chunk.text);
        tokens += 1;
    }
    let answer = CompletionAnswer {
        id: name.to_owned(),
        model,
        choices: vec![Choice {
            index: 0,
            text,
            finish_reason: STOP.to_owned(),
        }],
        usage: Usage {
            completion_tokens: tokens,
        },
    };
    Ok(head(info, request_id).json(&answer))
}

/// Streams the answer. `on_end` receives the failure that ended it early, if any.
pub fn stream(
    mut attempts: Attempts,
    first: &Chunk,
    name: &str,
    request_id: &str,
    info: &RunInfo,
    on_end: impl FnOnce(Result<(), Failure>) + 'static,
) -> HttpResponse {
    let (body, receiver) = body_channel();
    let name = name.to_owned();
    let first = to_event(&name, first);
    ntex::rt::spawn(async move {
        let mut next = Ok(first);
        let end = loop {
            let event = match next {
                Ok(event) => event,
                Err(failure) => break Err(failure),
            };
            if body.send(event).await.is_err() {
                // The caller has disconnected. The engine keeps the answer, so it can be resumed.
                break Ok(());
            }
            if attempts.is_complete() {
                break Ok(());
            }
            next = attempts
                .next_chunk()
                .await
                .map(|chunk| to_event(&name, &chunk));
        };
        let last = match &end {
            Ok(()) => event(DONE_EVENT),
            Err(failure) => event(&serde_json::to_string(&failure.to_body()).unwrap_or_default()),
        };
        let _ = body.send(last).await;
        on_end(end);
        attempts.drain().await;
    });
    head(info, request_id)
        .content_type("text/event-stream")
        .streaming(receiver)
}
