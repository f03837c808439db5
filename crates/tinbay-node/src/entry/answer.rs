//! Gives an answer to a caller: whole, or as server-sent events.

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

/// Reason at the end of a whole answer.
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

/// Collects the whole answer.
///
/// # Errors
/// When the rest of a broken answer cannot be had.
pub async fn whole(
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

/// Streams the answer. `on_end` is told whether it was whole.
pub fn streamed(
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
            let piece = match next {
                Ok(piece) => piece,
                Err(failure) => break Err(failure),
            };
            if body.send(piece).await.is_err() {
                // The caller has gone; its answer stays at the engine for a resume.
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
