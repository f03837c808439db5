//! Runs a request on an engine that this box owns.

use std::sync::Arc;
use std::time::Duration;

use tinbay_core::engine::{Event, QueuedRequest, RefusalReason};
use tinbay_core::ids::EngineId;
use tinbay_core::units::Millis;
use tinbay_core::vacancy::OwnerLoss;
use tinbay_wire::control::Succession;
use tinbay_wire::engine::{EngineRefusal, EngineRequest};

use super::attempts::{AttemptError, owner_of};
use super::job::Job;
use super::stream::{AnswerStream, RunInfo};
use crate::engines::{EngineApi, EngineError, HttpEngine};
use crate::filters::Failure;
use crate::logging::part;
use crate::owners::{OwnedEngine, QueueOutcome, begin_order, end_order, observe_engine};
use crate::state::Node;
use crate::util::guarded::while_allowed;
use crate::util::sync::{lock, read};

/// Timeout for the response head of an engine.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a request waits for this box to take over an engine that it should own.
const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between checks whether the takeover has completed.
const TAKEOVER_POLL: Duration = Duration::from_millis(10);

/// Retry delay reported after an engine has refused a request for a transient reason.
const RETRY_AFTER_MS: Millis = 200;

/// Queues a request for its engine and runs it, or resumes its stream.
///
/// # Errors
/// [`AttemptError`], which states whether the request ran.
pub async fn run(
    node: &Arc<Node>,
    job: &Job,
    engine: &EngineId,
    attempt: u32,
    resume_from: Option<u64>,
) -> Result<AnswerStream, AttemptError> {
    let owned = await_ownership(node, engine)
        .await
        .ok_or_else(|| AttemptError::owner_lost(OwnerLoss::TakingOver))?;
    let call = job.to_call(attempt, resume_from);
    if resume_from.is_some() {
        return resume(node, &owned, &call).await;
    }
    dispatch(node, job, &owned, &call).await
}

/// Waits until this box owns the engine, as a takeover may still be in progress. Returns early once
/// another box is known to own it, since the requesting box finds that owner faster by its own
/// view.
async fn await_ownership(node: &Node, engine: &EngineId) -> Option<Arc<OwnedEngine>> {
    let was_designated_owner = is_designated_owner(node, engine);
    let polled = async {
        loop {
            if let Some(owned) = node.owners.get(engine) {
                return Some(owned);
            }
            if !is_designated_owner(node, engine)
                && (was_designated_owner || has_other_owner(node, engine))
            {
                return None;
            }
            tokio::time::sleep(TAKEOVER_POLL).await;
        }
    };
    tokio::time::timeout(TAKEOVER_TIMEOUT, polled).await.ok()?
}

/// Whether this box should own an engine according to its view.
fn is_designated_owner(node: &Node, engine: &EngineId) -> bool {
    owner_of(node, engine).is_some_and(|owner| owner.id == *node.id())
}

/// Whether the last announced owner is another box whose announced run is still in the view.
fn has_other_owner(node: &Node, engine: &EngineId) -> bool {
    let owner = lock(&node.successions)
        .get(engine)
        .and_then(Succession::owner);
    owner.is_some_and(|owner| owner.id != *node.id() && read(&node.members).view().has_run(&owner))
}

async fn dispatch(
    node: &Arc<Node>,
    job: &Job,
    owned: &Arc<OwnedEngine>,
    call: &EngineRequest,
) -> Result<AnswerStream, AttemptError> {
    loop {
        let error = match queue_and_send(node, job, owned, call).await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        // The engine has fewer free places in its batch than the scheduler assumed. Update its
        // state and queue again.
        let queue_again = error.refusal == Some(EngineRefusal::BatchFull)
            && node.clock.now_ms() < job.start_by_ms;
        if !queue_again {
            return Err(error.attempt);
        }
        observe_engine(owned).await;
    }
}

/// Why a request could not be run.
struct SendError {
    attempt: AttemptError,
    /// The reason that the engine gave, if it was the engine that refused.
    refusal: Option<EngineRefusal>,
}

async fn queue_and_send(
    node: &Arc<Node>,
    job: &Job,
    owned: &Arc<OwnedEngine>,
    call: &EngineRequest,
) -> Result<AnswerStream, SendError> {
    let queued = QueuedRequest {
        id: node.next_request_id(),
        model: job.model.clone(),
        organisation: job.organisation.clone(),
        rank: job.rank,
        urgent: job.urgent,
        arrived_ms: job.arrived_ms,
        start_by_ms: job.start_by_ms,
    };
    let mut guard = match owned.submit(queued, &call.request).await {
        QueueOutcome::Run(guard) => guard,
        QueueOutcome::Refused {
            reason,
            retry_after_ms,
        } => {
            return Err(SendError {
                attempt: to_attempt_error(reason, retry_after_ms),
                refusal: None,
            });
        }
    };
    let begin = || begin_order(node, owned);
    let Some(under_way) = node.may_send(owned).then(begin).flatten() else {
        return Err(SendError {
            attempt: AttemptError::owner_lost(OwnerLoss::TakingOver),
            refusal: None,
        });
    };
    let api = HttpEngine::new(&owned.spec().address);
    guard.mark_sent();
    let sent = api.complete(owned.order(), call, HEAD_TIMEOUT);
    let outcome = while_allowed(|| node.may_send(owned), sent).await;
    let outcome = outcome.unwrap_or(Err(EngineError::NoAnswer));
    end_order(under_way, &outcome);
    let error = match outcome {
        Ok(reader) => {
            let info = run_info(node, owned, job, guard.stall_ms);
            return Ok(AnswerStream::from_engine(info, reader, Some(guard)));
        }
        Err(error) => error,
    };
    let refusal = match error {
        EngineError::Refused(refusal) => Some(refusal),
        EngineError::Unreachable | EngineError::NoAnswer => None,
    };
    if error != EngineError::NoAnswer {
        guard.mark_ended();
    }
    Err(SendError {
        attempt: handle_engine_error(node, owned, call, error),
        refusal,
    })
}

async fn resume(
    node: &Arc<Node>,
    owned: &Arc<OwnedEngine>,
    call: &EngineRequest,
) -> Result<AnswerStream, AttemptError> {
    let api = HttpEngine::new(&owned.spec().address);
    match api.complete(owned.order(), call, HEAD_TIMEOUT).await {
        Ok(reader) => {
            let info = RunInfo {
                owner: node.id().clone(),
                engine: owned.spec().name.clone(),
                stall_ms: 0,
                queue_ms: 0,
                expected_wait_ms: owned.expected_wait_ms(call.priority),
            };
            Ok(AnswerStream::from_engine(info, reader, None))
        }
        Err(error) => Err(handle_engine_error(node, owned, call, error)),
    }
}

fn run_info(node: &Node, owned: &OwnedEngine, job: &Job, stall_ms: Millis) -> RunInfo {
    RunInfo {
        owner: node.id().clone(),
        engine: owned.spec().name.clone(),
        stall_ms,
        queue_ms: node.clock.now_ms().saturating_sub(job.arrived_ms),
        expected_wait_ms: owned.expected_wait_ms(job.rank),
    }
}

/// Converts an engine's error into the error of the attempt and updates the known state of the
/// engine.
fn handle_engine_error(
    node: &Arc<Node>,
    owned: &Arc<OwnedEngine>,
    call: &EngineRequest,
    error: EngineError,
) -> AttemptError {
    log::debug!(target: part::OWNER, "{} on {}: {error}", call.request, owned.spec().name);
    let refusal = match error {
        // The request may be running. The caller tries to resume that run before it starts another
        // one.
        EngineError::NoAnswer => return AttemptError::unknown(),
        EngineError::Unreachable => {
            return AttemptError::not_run(Failure::BackendFailed { not_run: true });
        }
        EngineError::Refused(refusal) => refusal,
    };
    match refusal {
        EngineRefusal::StaleFence => {
            node.give_up(&owned.spec().name);
            AttemptError::owner_lost(OwnerLoss::TakingOver)
        }
        EngineRefusal::Leaving => {
            owned.handle(Event::EngineLeaves);
            AttemptError::not_run(Failure::EngineLeaves)
        }
        EngineRefusal::NothingToResume => AttemptError::not_run(Failure::CannotResume),
        EngineRefusal::NotLoaded => {
            owned.handle(Event::Missing(call.model.clone()));
            AttemptError::not_run(Failure::LoadFailed {
                retry_after_ms: RETRY_AFTER_MS,
            })
        }
        _ => AttemptError::not_run(Failure::Overloaded {
            retry_after_ms: RETRY_AFTER_MS,
        }),
    }
}

fn to_attempt_error(reason: RefusalReason, retry_after_ms: Millis) -> AttemptError {
    let failure = match reason {
        RefusalReason::Overloaded => Failure::Overloaded { retry_after_ms },
        RefusalReason::DeadlinePassed => Failure::DeadlinePassed { retry_after_ms },
        RefusalReason::LoadFailed => Failure::LoadFailed { retry_after_ms },
        RefusalReason::NotOwner => return AttemptError::owner_lost(OwnerLoss::TakingOver),
        RefusalReason::EngineLeaves => Failure::EngineLeaves,
    };
    AttemptError::not_run(failure)
}
