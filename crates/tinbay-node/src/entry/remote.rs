//! Passes a request to the box that owns its engine.

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

/// Beyond a request's own wait, what the owner may need for a takeover and the engine's head.
const HEAD_MARGIN: Duration = Duration::from_secs(12);

/// How long a connect to a box that has gone may take to fail.
const CONNECT_FAILS_WITHIN: Duration = Duration::from_millis(100);

/// Forwards a request and reads the answer's head.
///
/// # Errors
/// [`AttemptError`], which tells whether anything ran.
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
    let within = Duration::from_millis(wait_left_ms) + HEAD_MARGIN;
    let mut owner_watch = OwnerWatch::new(node, owner);
    let head = head_unless_gone(await_head(call, within), &mut owner_watch).await;
    let response = head.map_err(|error| {
        log::debug!(target: part::ENTRY, "{} got no head from {}: {error}", job.request_id, owner.id);
        // An ask to resume runs nothing.
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
        stall_ms: number(&response, headers::STALL_MS),
        queue_ms: number(&response, headers::QUEUE_MS),
        expected_wait_ms: number(&response, headers::EXPECTED_WAIT_MS),
    };
    let reader = LineReader::new(response.take_payload());
    Ok(AnswerStream::of_owner(info, reader, owner_watch))
}

/// Awaits a head until the owner is held to be dead. A connect that fails at the same moment is given time to
/// show: it proves that nothing was sent.
async fn head_unless_gone(
    head: impl Future<Output = Result<ClientResponse, CallError>>,
    owner_watch: &mut OwnerWatch,
) -> Result<ClientResponse, CallError> {
    let mut head = pin!(head);
    tokio::select! {
        biased;
        head = &mut head => return head,
        () = owner_watch.gone() => {}
    }
    let last = tokio::time::timeout(CONNECT_FAILS_WITHIN, head).await;
    last.unwrap_or(Err(CallError::TimedOut))
}

fn number(response: &ClientResponse, name: &str) -> Millis {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// The owner's failure, as far as it says for certain that nothing ran.
async fn read_error(response: &ClientResponse) -> AttemptError {
    let Ok(body) = read_any::<ErrorBody>(response).await else {
        return AttemptError::unknown();
    };
    if body.error.code == ErrorCode::CannotResume {
        // The request ran, but this ask to resume it did nothing.
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
