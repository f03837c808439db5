//! Requests admission at a scarce backend server from its holder, with a fallback for holders that
//! don't answer.

use std::rc::Rc;
use std::time::Duration;

use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::links::{AdmissionContext, AdmissionHolder};
use super::messages::{AdmissionReply, AdmissionRequestPart};
use super::outcome::AdmissionOutcome;
use crate::servers::Server;

/// Interval between sends of a request, as messages may be lost. A repeated send also shows the
/// holder that the caller is still waiting.
const RESEND_INTERVAL: Duration = Duration::from_millis(100);

/// Consecutive sends without a reply after which a holder counts as silent.
const MAX_UNANSWERED_SENDS: u32 = 2;

/// Further sends after the time within which the request must start. A holder that has not decided
/// by then never will.
const MAX_LATE_SENDS: u32 = 3;

/// Time for which a silent holder is not asked again.
const SILENT_HOLDER_PAUSE_MS: Millis = 1_000;

/// Requests that a box may have running at a scarce server whose holder is silent. It is small
/// because many boxes share the server, and together they should give it only a few requests.
const MAX_RUNNING_WITHOUT_HOLDER: usize = 1;

/// Retry delay for callers rejected while the holder is silent. By then another box holds the
/// server or the server is no longer scarce.
const NO_ANSWER_RETRY_AFTER_MS: Millis = 1_000;

/// Admission request for a caller's request at a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionParams {
    /// Fingerprint of the client account's name.
    pub account: Fingerprint,
    /// Priority rank; 0 is served first.
    pub rank: u8,
    /// Prompt and output tokens that the request costs.
    pub units: u32,
    /// Time the server needs to process the prompt.
    pub prefill_ms: Millis,
    /// Time within which the request must start in order to meet its objective.
    pub in_time_ms: Millis,
    /// Identifies the request; a retry has the same value.
    pub digest: u64,
}

/// Result of an admission request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionResult {
    /// Whether and by whom the request was admitted.
    pub outcome: AdmissionOutcome,
    /// Retry delay for a rejected request; `None` for an admitted one.
    pub retry_after_ms: Option<Millis>,
}

impl AdmissionResult {
    fn admitted(outcome: AdmissionOutcome) -> Self {
        let retry_after_ms = None;
        Self {
            outcome,
            retry_after_ms,
        }
    }

    fn rejected(outcome: AdmissionOutcome, retry_after_ms: Millis) -> Self {
        let retry_after_ms = Some(retry_after_ms);
        Self {
            outcome,
            retry_after_ms,
        }
    }
}

/// Requests admission at a server. Returns `None` if the server is not scarce or has no holder, so
/// that no admission is needed.
pub async fn request_admission(
    context: &dyn AdmissionContext,
    server: &Rc<Server>,
    request: AdmissionParams,
) -> Option<AdmissionResult> {
    if !context.is_scarce(server) {
        return None;
    }
    let holder = context.admission_holder(server)?;
    if is_silent(context, &holder) {
        return Some(admit_without_holder(server));
    }
    let (number, receiver) = context.sharing().begin();
    let part = build_request(server, number, request);
    let reply = request_until_decided(context, &holder, server, part, receiver).await;
    context.sharing().end(number);
    let result = match reply {
        Some(AdmissionReply::Admitted) => AdmissionResult::admitted(AdmissionOutcome::Holder),
        Some(AdmissionReply::Rejected { retry_after_ms }) => {
            AdmissionResult::rejected(AdmissionOutcome::Rejected, Millis::from(retry_after_ms))
        }
        Some(AdmissionReply::NotHolder | AdmissionReply::Queued) | None => {
            mark_silent(context, &holder);
            admit_without_holder(server)
        }
    };
    Some(result)
}

fn build_request(server: &Server, number: u32, request: AdmissionParams) -> AdmissionRequestPart {
    AdmissionRequestPart {
        server: server.fingerprint(),
        number,
        account: request.account,
        rank: request.rank,
        units: request.units,
        prefill_ms: u16::try_from(request.prefill_ms).unwrap_or(u16::MAX),
        in_time_ms: u16::try_from(request.in_time_ms).unwrap_or(u16::MAX),
        digest: request.digest,
    }
}

/// Repeats the request until the holder decides; `None` if it doesn't answer.
async fn request_until_decided(
    context: &dyn AdmissionContext,
    holder: &AdmissionHolder,
    server: &Rc<Server>,
    part: AdmissionRequestPart,
    mut receiver: tokio::sync::oneshot::Receiver<AdmissionReply>,
) -> Option<AdmissionReply> {
    let mut unacknowledged = 0;
    for _ in 0..max_sends(part) {
        if unacknowledged >= MAX_UNANSWERED_SENDS {
            break;
        }
        context.send_request(holder, server, part);
        if let Ok(reply) = tokio::time::timeout(RESEND_INTERVAL, &mut receiver).await {
            return reply.ok();
        }
        let is_acknowledged = context.sharing().take_acknowledged(part.number);
        unacknowledged = if is_acknowledged {
            0
        } else {
            unacknowledged + 1
        };
    }
    None
}

fn max_sends(part: AdmissionRequestPart) -> u32 {
    let in_time = Duration::from_millis(u64::from(part.in_time_ms));
    let sends_in_time = in_time.as_millis() / RESEND_INTERVAL.as_millis();
    sends_in_time as u32 + MAX_LATE_SENDS
}

fn is_silent(context: &dyn AdmissionContext, holder: &AdmissionHolder) -> bool {
    match holder {
        AdmissionHolder::Own => false,
        AdmissionHolder::Other(holder) => context.sharing().is_silent(holder, context.now_ms()),
    }
}

fn mark_silent(context: &dyn AdmissionContext, holder: &AdmissionHolder) {
    if let AdmissionHolder::Other(holder) = holder {
        let until_ms = context.now_ms() + SILENT_HOLDER_PAUSE_MS;
        context.sharing().mark_silent(holder, until_ms);
    }
}

/// Admits one request at a time per box while a scarce server has no holder that answers.
fn admit_without_holder(server: &Server) -> AdmissionResult {
    if server.usage.borrow().running() < MAX_RUNNING_WITHOUT_HOLDER {
        return AdmissionResult::admitted(AdmissionOutcome::WithoutHolder);
    }
    AdmissionResult::rejected(AdmissionOutcome::NoAnswer, NO_ANSWER_RETRY_AFTER_MS)
}
