//! Handles completion requests of callers (`POST /v1/completions`).

use std::sync::Arc;

use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use tinbay_core::units::Millis;
use tinbay_http::body::read_json;
use tinbay_wire::completion::CompletionRequest;

use super::answer;
use super::attempts::{Attempts, RESUME_TIMEOUT_MS};
use super::job::Job;
use super::progress::InProgress;
use super::stream::RunInfo;
use crate::filters::{Context, Failure, KeyClaim, Operation, release_claim, run_chain};
use crate::logging::part;
use crate::state::Node;

/// Metric label of answered requests.
const ANSWERED: &str = "answered";

/// Handles `POST /v1/completions`.
pub async fn complete(
    node: State<Arc<Node>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let node = Arc::clone(&node);
    let progress = InProgress::begin(&node);
    match answer_request(&node, &request, payload, progress).await {
        Ok(response) => response,
        Err(failure) => failure.to_response(),
    }
}

async fn answer_request(
    node: &Arc<Node>,
    request: &HttpRequest,
    payload: Payload,
    progress: InProgress,
) -> Result<HttpResponse, Failure> {
    let arrived_ms = node.clock.now_ms();
    let body: CompletionRequest =
        read_json(payload.into_inner(), node.options.max_body_bytes).await?;
    let operation = Operation::Completion(body.clone());
    let mut context = Context::new(request.headers(), operation, arrived_ms);
    run_chain(node, &mut context).await?;
    let job = to_job(&context, &body);
    let class = job.class.clone();
    let key_claim = context.key_claim.clone();
    let outcome = run_job(node, job, key_claim, body.stream, progress).await;
    if let Err(failure) = &outcome {
        count_request(node, &class, Err(failure));
    }
    outcome
}

fn to_job(context: &Context<'_>, body: &CompletionRequest) -> Job {
    let treatment = context.treatment;
    let resume_from = context.identity.resume_from;
    // The class limits the wait until a run starts. A resume reads a run that has started already.
    let wait_ms = match resume_from {
        Some(_) => treatment.max_wait_ms.max(RESUME_TIMEOUT_MS),
        None => treatment.max_wait_ms,
    };
    Job {
        name: context.identity.name.clone(),
        request_id: context.identity.request_id.clone(),
        model: body.model.clone(),
        base_model: context.base_model.clone(),
        organisation: context.organisation.clone(),
        class: context.class.name.clone(),
        prompt: body.prompt.clone(),
        max_tokens: body.max_tokens,
        rank: treatment.rank,
        urgent: treatment.urgent,
        repeatable: treatment.repeatable,
        arrived_ms: context.arrived_ms,
        start_by_ms: context.arrived_ms + wait_ms,
        resume_from,
    }
}

async fn run_job(
    node: &Arc<Node>,
    job: Job,
    key_claim: KeyClaim,
    stream: bool,
    progress: InProgress,
) -> Result<HttpResponse, Failure> {
    let mut attempts = Attempts::new(node, job.clone());
    let first = match attempts.first_chunk().await {
        Ok(first) => first,
        Err(failure) => {
            if failure.is_not_run() {
                release_claim(node, &key_claim).await;
            }
            log::info!(target: part::ENTRY, "{} {} refused: {failure}", job.request_id, job.model);
            return Err(failure);
        }
    };
    let Some(info) = attempts.info().cloned() else {
        return Err(Failure::OutcomeUnknown);
    };
    record_latencies(node, &job, &info);
    if !stream {
        let response = answer::collect(attempts, first, &job.name, &job.request_id, &info).await?;
        count_request(node, &job.class, Ok(()));
        drop(progress);
        return Ok(response);
    }
    let counting_node = Arc::clone(node);
    let class = job.class.clone();
    let on_end = move |end: Result<(), Failure>| {
        count_request(&counting_node, &class, end.as_ref().copied());
        drop(progress);
    };
    Ok(answer::stream(
        attempts,
        &first,
        &job.name,
        &job.request_id,
        &info,
        on_end,
    ))
}

fn record_latencies(node: &Node, job: &Job, info: &RunInfo) {
    let labels = [job.class.as_str()];
    let seconds = |ms: Millis| ms as f64 / 1_000.0;
    let first_ms = node.clock.now_ms().saturating_sub(job.arrived_ms);
    let metrics = &node.metrics;
    metrics
        .stall_seconds
        .with_label_values(&labels)
        .observe(seconds(info.stall_ms));
    metrics
        .queue_seconds
        .with_label_values(&labels)
        .observe(seconds(info.queue_ms));
    metrics
        .first_token_seconds
        .with_label_values(&labels)
        .observe(seconds(first_ms));
    log::debug!(
        target: part::ENTRY,
        "{} {} runs on {} of {}, stall {} ms, first token {first_ms} ms",
        job.request_id, job.model, info.engine, info.owner, info.stall_ms,
    );
}

fn count_request(node: &Node, class: &str, end: Result<(), &Failure>) {
    let outcome = match end {
        Ok(()) => ANSWERED.to_owned(),
        Err(failure) => outcome_name(failure),
    };
    node.metrics
        .requests
        .with_label_values(&[class, outcome.as_str()])
        .inc();
}

/// The failure's code as it is written in responses.
fn outcome_name(failure: &Failure) -> String {
    let code = serde_json::to_value(failure.code()).unwrap_or_default();
    code.as_str().unwrap_or_default().to_owned()
}
