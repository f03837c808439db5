//! Forwards a request to the box that owns its engine.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use ntex::client::ClientResponse;
use tinbay_core::ids::EngineId;
use tinbay_core::units::Millis;
use tinbay_core::vacancy::OwnerLoss;
use tinbay_core::view::BoxRecord;
use tinbay_http::client::{CallError, await_head, pooled_client, read_any};
use tinbay_http::stream::LineReader;
use tinbay_wire::error_body::{ErrorBody, ErrorCode, ErrorDetail};
use tinbay_wire::forward::ForwardRequest;
use tinbay_wire::headers;

use super::attempts::AttemptError;
use super::job::Job;
use super::owner_watch::OwnerWatch;
use super::stream::{AnswerStream, RunInfo};
use crate::filters::Failure;
use crate::logging::part;
use crate::state::Node;

/// Added to the request's remaining wait: time for a takeover by the owner and for the engine's
/// response head.
const HEAD_MARGIN: Duration = Duration::from_secs(12);

/// How long a connection attempt to a removed box may take to fail.
const CONNECT_FAILURE_WAIT: Duration = Duration::from_millis(100);

/// Forwards a request and reads the head of the answer.
///
/// # Errors
/// [`AttemptError`], which states whether the request ran.
pub async fn run(
    node: &Arc<Node>,
    job: &Job,
    engine: &EngineId,
    owner: &BoxRecord,
    attempt: u32,
    resume_from: Option<u64>,
) -> Result<AnswerStream, AttemptError> {
    let now_ms = node.clock.now_ms();
    let wait_left_ms = job.start_by_ms.saturating_sub(now_ms);
    let request = ForwardRequest {
        engine: engine.clone(),
        call: job.to_call(attempt, resume_from),
        organisation: job.organisation.clone(),
        urgent: job.urgent,
        age_ms: now_ms.saturating_sub(job.arrived_ms),
        wait_left_ms,
        revision: node.config.in_force(),
        owner_run: Some(owner.incarnation),
    };
    let url = format!("http://{}/internal/v1/run", owner.address);
    let call = pooled_client()
        .await
        .post(url.as_str())
        .set_header(headers::REQUEST_ID, job.request_id.as_str())
        .send_json(&request);
    let timeout = Duration::from_millis(wait_left_ms) + HEAD_MARGIN;
    let mut owner_watch = OwnerWatch::new(node, owner);
    let head = head_unless_removed(await_head(call, timeout), &mut owner_watch).await;
    let response = head.map_err(|error| {
        log::debug!(target: part::ENTRY, "{}: no response head from {}: {error}", job.request_id, owner.id);
        // A request to resume a stream does not start a run.
        if error.is_not_sent() || resume_from.is_some() {
            AttemptError::owner_lost(OwnerLoss::Unreachable)
        } else {
            AttemptError::unknown()
        }
    })?;
    if !response.status().is_success() {
        let error = read_error(&response).await;
        log::debug!(
            target: part::ENTRY,
            "{} was refused by {} with {}: {}", job.request_id, owner.id, response.status(), error.failure,
        );
        return Err(error);
    }
    let info = RunInfo {
        owner: owner.id.clone(),
        engine: engine.clone(),
        stall_ms: parse_millis(&response, headers::STALL_MS),
        queue_ms: parse_millis(&response, headers::QUEUE_MS),
        expected_wait_ms: parse_millis(&response, headers::EXPECTED_WAIT_MS),
    };
    let reader = LineReader::new(response.take_payload());
    Ok(AnswerStream::from_owner(info, reader, owner_watch))
}

/// Waits for the response head until the owner is removed from the view. A connection attempt is
/// then given a moment to fail, since its failure proves that nothing was sent.
async fn head_unless_removed(
    head: impl Future<Output = Result<ClientResponse, CallError>>,
    owner_watch: &mut OwnerWatch,
) -> Result<ClientResponse, CallError> {
    let mut head = pin!(head);
    tokio::select! {
        biased;
        head = &mut head => return head,
        () = owner_watch.removed() => {}
    }
    let last = tokio::time::timeout(CONNECT_FAILURE_WAIT, head).await;
    last.unwrap_or(Err(CallError::TimedOut))
}

fn parse_millis(response: &ClientResponse, name: &str) -> Millis {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// The owner's failure if its body states that nothing ran, otherwise an unknown outcome.
async fn read_error(response: &ClientResponse) -> AttemptError {
    let Ok(body) = read_any::<ErrorBody>(response).await else {
        return AttemptError::unknown();
    };
    if body.error.code == ErrorCode::CannotResume {
        // The request ran, but this attempt to resume it had no effect.
        return AttemptError::not_run(Failure::CannotResume);
    }
    if !body.error.not_run {
        return AttemptError::unknown();
    }
    if body.error.code == ErrorCode::NotOwner {
        return AttemptError::owner_lost(OwnerLoss::TakingOver);
    }
    AttemptError::not_run(to_failure(&body.error))
}

fn to_failure(detail: &ErrorDetail) -> Failure {
    let retry_after_ms = detail.retry_after_ms.unwrap_or(0);
    match detail.code {
        ErrorCode::Overloaded => Failure::Overloaded { retry_after_ms },
        ErrorCode::DeadlinePassed => Failure::DeadlinePassed { retry_after_ms },
        ErrorCode::LoadFailed => Failure::LoadFailed { retry_after_ms },
        ErrorCode::EngineLeaves => Failure::EngineLeaves,
        ErrorCode::StaleConfiguration => Failure::StaleConfiguration,
        _ => Failure::BackendFailed { not_run: true },
    }
}
