//! Sends a request to a server, retries on another one where that is allowed, and relays the
//! answer.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::{Response, StatusCode};
use tinbay_core::retry::{AttemptEnd, AttemptEnds, RetryCase, may_retry};
use tinbay_core::serving::configuration::RouteKind;
use tinbay_core::serving::connections;
use tinbay_core::units::Millis;

use super::adapters;
use super::admission::{self, Admission};
use super::attempt::{AttemptResult, AttemptTerms, StartedAnswer, UnknownCause, attempt};
use super::choice::{self, Choice, HolderRequests};
use super::close_judge::ServerCloseJudge;
use super::forward;
use super::handover;
use super::headers::ServerHeaders;
use super::hedge::{self, HedgeTerms, Outgoing};
use super::inbound::{InboundRequest, LastSend};
use super::refusal::{NotRunReason, Refusal};
use super::request_log::{Ending, log_attempt, log_end};
use super::retry_budget;
use crate::crashes::{self, check, check::CutRequest};
use crate::http::body::{AnswerBody, RequestBody};
use crate::http::pool::{ConnectError, ReusableIdle};
use crate::http::relay::{EndObserver, Relay, RelayTerms};
use crate::limits::permits::{self, NoPermit, Permit};
use crate::node::Node;
use crate::resumption::recording::record_start;
use crate::servers::{RunningRequest, Server};
use crate::slots::asking::{SlotParams, SlotsFull};

/// Most attempts per request, including declined ones.
const MAX_ATTEMPTS: usize = 4;

/// `Retry-After` of a declined request if the service gives no time.
const DEFAULT_RETRY_MS: Millis = 50;

/// Multiple of the expected time to the head after which a server counts as silent: its connection
/// may be dead, and the remaining time is better spent on another server.
const SILENCE_FACTOR: f64 = 4.0;

/// Lower bound of the time after which a server counts as silent, as services without models
/// respond within some tens of milliseconds.
const MIN_SILENCE_MS: Millis = 100;

/// Safety margin before the time when a replaced version may no longer start requests. It covers
/// connecting, the transfer, and the server's response that it did not run the request.
const BEGIN_MARGIN_MS: Millis = 250;

/// Brittle servers that are asked for a slot for one request. It waits for one at the last.
const MAX_FULL_SERVERS: usize = 3;

/// Least time that a request may wait for a slot of a brittle server.
const MIN_SLOT_WAIT_MS: Millis = 100;

/// `Retry-After` of a request that a brittle server rejected: no other one is tried, as they are
/// probably as full.
const REJECTED_RETRY_MS: Millis = 300;

/// Failure penalty added after an attempt that may have run but was not answered.
const UNKNOWN_OUTCOME_PENALTY: f64 = 1.0;

/// Failure penalty added after a failure to connect.
const CONNECT_FAILURE_PENALTY: f64 = 2.0;

/// Failure penalty added after the server declined.
const DECLINED_PENALTY: f64 = 0.5;

/// The attempts of a request so far.
#[derive(Debug, Default, Clone)]
struct AttemptHistory {
    /// Ids of the servers tried.
    tried: Vec<String>,
    ends: AttemptEnds,
    /// Attempts that may have run.
    runs: u32,
}

impl AttemptHistory {
    fn record(&mut self, server: &Server, end: AttemptEnd) {
        self.ends.record(end);
        self.tried.push(server.record().id.clone());
        if end == AttemptEnd::Unknown {
            self.runs += 1;
        }
    }
}

/// Sends a request to a server, with retries, and returns the answer to relay.
///
/// # Errors
/// When there is no server's answer to pass on.
pub async fn deliver(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    body: RequestBody,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut history = AttemptHistory::default();
    let mut body = Some(body);
    // Brittle servers without a free slot for the request.
    let mut full_servers = 0;
    let mut was_sent = false;
    loop {
        if history.ends.are_all_not_run()
            && let Some(result) = forward::try_forward(node, inbound, &mut body).await
        {
            return result;
        }
        let server = match adapters::find_server(node, inbound, &history.tried).await {
            Ok(server) => server,
            Err(refusal) if history.tried.is_empty() => return Err(refusal),
            Err(_) => return Err(final_refusal(node, inbound, &history)),
        };
        // Checked again before each attempt: the previous server may have crashed under the
        // request, or other boxes may have reported crashes while it waited for its adapter.
        if let Some(refusal) = crashes::refusal_after_checks(node, inbound).await {
            return Err(refusal_after(refusal, node, inbound, &history));
        }
        match admission::request(node, inbound, &server, &history.tried).await {
            Ok(Admission::Admitted) => {}
            Ok(Admission::TryAnother) => continue,
            Err(refusal) if history.tried.is_empty() => return Err(refusal),
            Err(_) => return Err(final_refusal(node, inbound, &history)),
        }
        let permit = match acquire_permit(node, inbound, &server, &history, full_servers).await {
            Ok(permit) => permit,
            Err(NoPermit::AtLimit) => {
                inbound.count_server_at_limit();
                continue;
            }
            Err(NoPermit::SlotsFull(full)) => {
                inbound.admission.record_full(server.key);
                full_servers += 1;
                if full_servers < MAX_FULL_SERVERS && has_other_server(node, inbound, &history) {
                    continue;
                }
                let refusal = slots_refusal(full);
                return Err(refusal_after(refusal, node, inbound, &history));
            }
        };
        let Some(sent) = body.take() else {
            return Err(final_refusal(node, inbound, &history));
        };
        body = sent.repeat();
        let before_ms = node.backlog_ms(&server);
        handover::prepare(node, inbound, &server);
        if !was_sent {
            retry_budget::record_first_attempt(node, &inbound.service);
            was_sent = true;
        }
        let outgoing = Outgoing {
            server,
            body: sent,
            permit: permit.clone(),
        };
        let sent = send_hedged(node, inbound, &mut history, outgoing).await;
        let (server, sent_ms, result) = (sent.server, sent.sent_ms, sent.result);
        if matches!(result, AttemptResult::Answering(_)) {
            node.record_prefill(inbound, before_ms, node.now_ms() - sent_ms);
            record_response_time(node, inbound, &server, sent_ms);
        }
        record_relative_delay(node, inbound, &server, sent_ms);
        log_attempt(node, inbound, &server, &result);
        let end = match result {
            AttemptResult::Answering(answer) => {
                if body.is_none()
                    || !retries_error_response(node, inbound, &history, &server, &answer)
                {
                    return Ok(relay(node, inbound, *answer, body));
                }
                history.record(&server, AttemptEnd::Unknown);
                continue;
            }
            AttemptResult::Withdrawn { body: unsent } => {
                permit.give_back(node, &server);
                body = Some(unsent);
                continue;
            }
            AttemptResult::Declined { status } => {
                record_declined(node, inbound, &server, status);
                if is_rejected_by_brittle(node, &server, status) {
                    history.record(&server, AttemptEnd::NotRun);
                    let refusal = slots_refusal(SlotsFull {
                        retry_after_ms: REJECTED_RETRY_MS,
                    });
                    return Err(refusal_after(refusal, node, inbound, &history));
                }
                AttemptEnd::NotRun
            }
            AttemptResult::Displaced => {
                server.mark_displaced(node.now_ms());
                AttemptEnd::NotRun
            }
            AttemptResult::NotSent {
                error: ConnectError::InvalidField(_),
            } => {
                // No server is at fault, and no other one could be sent the request.
                permit.give_back(node, &server);
                history.record(&server, AttemptEnd::NotRun);
                return Err(final_refusal(node, inbound, &history));
            }
            AttemptResult::NotSent { .. } => {
                permit.give_back(node, &server);
                penalize(node, &server, CONNECT_FAILURE_PENALTY);
                history.record(&server, AttemptEnd::NotRun);
                // Nothing reached a server, so the next send needs no retry budget.
                if !may_try_another(node, inbound, &history, AttemptEnd::NotRun) {
                    return Err(final_refusal(node, inbound, &history));
                }
                continue;
            }
            AttemptResult::Unknown { cause } => {
                if cause == UnknownCause::Closed {
                    check_after_cut(node, inbound, &server);
                }
                penalize(node, &server, UNKNOWN_OUTCOME_PENALTY);
                AttemptEnd::Unknown
            }
        };
        history.record(&server, end);
        if !may_try_another(node, inbound, &history, end)
            || !retry_budget::take_retry(node, &inbound.service)
        {
            return Err(final_refusal(node, inbound, &history));
        }
    }
}

/// Sends a request to a server, and to a second one if it may run twice and the first is slow.
async fn send_hedged(
    node: &Node,
    inbound: &InboundRequest,
    history: &mut AttemptHistory,
    outgoing: Outgoing,
) -> hedge::Sent {
    let max_sends = inbound.route.most_attempts.saturating_sub(history.runs);
    let terms = HedgeTerms {
        tried: &history.tried,
        sends_left: max_sends.saturating_sub(1),
    };
    let send_to = async |outgoing: Outgoing, sends_in_flight: u32| {
        let runs = history.runs + sends_in_flight;
        let history = AttemptHistory {
            runs,
            ..history.clone()
        };
        let Outgoing {
            server,
            body,
            permit,
        } = outgoing;
        try_server(node, inbound, &history, body, &server, permit).await
    };
    let sent = hedge::send(node, inbound, terms, outgoing, send_to).await;
    if let Some(failed) = &sent.failed {
        penalize(node, &failed.server, UNKNOWN_OUTCOME_PENALTY);
        history.record(&failed.server, failed.end);
    }
    sent
}

/// Adds a penalty for an attempt without an answer, which other boxes learn too. A box that has lost
/// its links can't tell whose failure it was.
fn penalize(node: &Node, server: &Server, amount: f64) {
    if !node.links.is_partitioned() {
        server.add_failure_penalty(amount, node.now_ms());
    }
}

/// Acquires a permit to send the request to a server. A brittle server's slot is waited for only if
/// no other server may have a free one.
async fn acquire_permit(
    node: &Node,
    inbound: &InboundRequest,
    server: &Rc<Server>,
    history: &AttemptHistory,
    full_servers: usize,
) -> Result<Permit, NoPermit> {
    let waits_at_once = full_servers + 1 >= MAX_FULL_SERVERS;
    if !waits_at_once {
        let slot_params = SlotParams {
            rank: inbound.rank(),
            max_wait_ms: 0,
        };
        let result = permits::acquire(node, server, slot_params).await;
        let Err(NoPermit::SlotsFull(_)) = result else {
            return result;
        };
        let mut tried = history.tried.clone();
        tried.push(server.record().id.clone());
        if has_server_besides(node, inbound, &tried) {
            return result;
        }
    }
    let slot_params = SlotParams {
        rank: inbound.rank(),
        max_wait_ms: slot_wait_ms(node, inbound, server),
    };
    permits::acquire(node, server, slot_params).await
}

/// Whether another server could take the request now.
fn has_other_server(node: &Node, inbound: &InboundRequest, history: &AttemptHistory) -> bool {
    has_server_besides(node, inbound, &history.tried)
}

fn has_server_besides(node: &Node, inbound: &InboundRequest, tried: &[String]) -> bool {
    let choice = choice::choose(node, inbound, tried, &HolderRequests::default());
    matches!(choice, Choice::Send { .. })
}

/// How long a request may wait for a slot of a brittle server: until its answer would miss the
/// objective, and a moment if it does so already.
fn slot_wait_ms(node: &Node, inbound: &InboundRequest, server: &Server) -> Millis {
    let usual_ms = match inbound.model_key {
        Some(_) => node.prefill_ms(&inbound.service, inbound.prompt.tokens),
        None => server.usual_answer_ms().unwrap_or_default(),
    };
    let now_ms = node.now_ms();
    let send_by_ms = (inbound.arrived_ms + inbound.route.objective_ms)
        .saturating_sub(usual_ms as Millis)
        .max(now_ms + MIN_SLOT_WAIT_MS)
        .min(inbound.time_up_ms);
    send_by_ms.saturating_sub(now_ms)
}

fn slots_refusal(full: SlotsFull) -> Refusal {
    Refusal::NotRun {
        reason: NotRunReason::SlotsFull,
        retry_after_ms: full.retry_after_ms,
    }
}

/// Whether a brittle server rejected a request for lack of room.
fn is_rejected_by_brittle(node: &Node, server: &Server, status: StatusCode) -> bool {
    let is_brittle = server.brittleness(node.now_ms()).is_some();
    is_brittle && status == StatusCode::SERVICE_UNAVAILABLE
}

/// Records that a server declined: either it does not hold the adapter, or it is avoided for a
/// while.
fn record_declined(node: &Node, inbound: &InboundRequest, server: &Server, status: StatusCode) {
    match inbound.model_key {
        Some(key) if status == StatusCode::MISDIRECTED_REQUEST => {
            server.record_missing(key);
            node.report_contents_mismatch(server);
        }
        _ => server.add_failure_penalty(DECLINED_PENALTY, node.now_ms()),
    }
}

/// Starts a health check of a server that closed the connection during a request, as it may have
/// crashed.
pub(super) fn check_after_cut(node: &Rc<Node>, inbound: &InboundRequest, server: &Rc<Server>) {
    let digests: Vec<_> = inbound.digests().collect();
    if !digests.is_empty() {
        let request = CutRequest {
            id: inbound.id.clone(),
            digests,
            parts: inbound.shared_parts.clone(),
            written_for_ms: inbound.written_for_ms(node.now_ms()),
            cut_ms: node.now_ms(),
        };
        check::record_cut(node, server, request);
    }
}

/// The refusal of a request that may have been tried before.
fn refusal_after(
    refusal: Refusal,
    node: &Node,
    inbound: &InboundRequest,
    history: &AttemptHistory,
) -> Refusal {
    if history.ends.are_all_not_run() {
        return refusal;
    }
    final_refusal(node, inbound, history)
}

/// Records the response time of a server. Only requests without a model are comparable between the
/// servers of a service.
fn record_response_time(node: &Node, inbound: &InboundRequest, server: &Server, sent_ms: Millis) {
    if inbound.model.is_none() {
        let now_ms = node.now_ms();
        server.record_answer_time((now_ms - sent_ms) as f64, now_ms);
    }
}

/// Records the response time of a server relative to the objective.
fn record_relative_delay(node: &Node, inbound: &InboundRequest, server: &Server, sent_ms: Millis) {
    let now_ms = node.now_ms();
    let objective_ms = inbound.route.objective_ms.max(1) as f64;
    server.record_delay((now_ms - sent_ms) as f64 / objective_ms, now_ms);
}

async fn try_server(
    node: &Node,
    inbound: &InboundRequest,
    history: &AttemptHistory,
    body: RequestBody,
    server: &Rc<Server>,
    permit: Permit,
) -> AttemptResult {
    let now_ms = node.now_ms();
    let sent = last_send(node, inbound, server, now_ms);
    inbound.last_send.set(Some(sent));
    let head_by_ms = inbound.time_up_ms.min(sent.time_up_ms + BEGIN_MARGIN_MS);
    let left_ms = head_by_ms.saturating_sub(now_ms);
    let is_last = !may_run_again(inbound, history);
    let silent_after_ms = silent_after_ms(node, inbound, server);
    let record = server.record();
    let terms = AttemptTerms {
        server,
        max_connections: max_connections(node, inbound),
        reusable: if is_last {
            ReusableIdle::WithinLimit
        } else {
            ReusableIdle::Any
        },
        headers: ServerHeaders {
            deadline_ms: sent.time_up_ms.saturating_sub(now_ms),
            server_id: &record.id,
            priority: inbound.rank(),
            version: sent.expected_version,
            account: inbound.client_account().map(|account| &*account.name),
            resumption: None,
        },
        permit,
        prefill_tokens: inbound.prompt.tokens,
        head_timeout: if is_last {
            Duration::from_millis(left_ms)
        } else {
            Duration::from_millis(left_ms.min(silent_after_ms))
        },
        silent_after: Duration::from_millis(silent_after_ms),
    };
    attempt(node, inbound, body, terms).await
}

/// Version and deadline of a request that is sent now.
///
/// If the server holds a replaced version, the deadline sent is capped at the time that this
/// version has left, so that the server declines a request still queued by then. A limit on the
/// send time alone is not enough: a server that is suspended for a while may begin the request
/// after the replaced version's time is over.
fn last_send(node: &Node, inbound: &InboundRequest, server: &Server, now_ms: Millis) -> LastSend {
    let model = inbound.model.as_deref().unwrap_or_default();
    let named_version = inbound.named_version(node);
    let held_version = held_version(node, inbound, server);
    let known_version = held_version.filter(|version| *version > 0);
    let begin_by_ms = held_version.and_then(|version| node.begin_by_ms(model, version));
    let is_allowed = held_version.is_some_and(|version| node.may_serve_older(model, version));
    let (expected_version, time_up_ms) = match begin_by_ms {
        None => (
            known_version.and(named_version).and(known_version),
            inbound.time_up_ms,
        ),
        Some(begin_by_ms) if is_allowed => {
            let begin_by_ms = begin_by_ms.saturating_sub(BEGIN_MARGIN_MS);
            (known_version, inbound.time_up_ms.min(begin_by_ms))
        }
        Some(_) => (named_version, inbound.time_up_ms),
    };
    LastSend {
        after_ms: now_ms - inbound.arrived_ms,
        expected_version,
        time_up_ms,
        named_version,
        named_age_ms: node.named_age_ms(model),
    }
}

/// The version of the request's adapter that a server is believed to hold; 0 if the version is
/// unknown.
pub(super) fn held_version(node: &Node, inbound: &InboundRequest, server: &Server) -> Option<u64> {
    let entry = node.entry(server, inbound.model_key?)?;
    Some(entry.version)
}

/// Whether the request may be sent to another server if the next attempt gets no response.
fn may_run_again(inbound: &InboundRequest, history: &AttemptHistory) -> bool {
    inbound.is_repeatable() && history.runs + 1 < inbound.route.most_attempts
}

/// Time without a response after which a server counts as silent.
fn silent_after_ms(node: &Node, inbound: &InboundRequest, server: &Server) -> Millis {
    let objective_ms = inbound.route.objective_ms as f64;
    let usual_ms = server.delay(node.now_ms()) * objective_ms;
    let prefill_ms = node.prefill_ms(&inbound.service, inbound.prompt.tokens);
    let expected_ms = usual_ms.max(node.backlog_ms(server) + prefill_ms);
    MIN_SILENCE_MS.max((expected_ms * SILENCE_FACTOR) as Millis)
}

/// Most connections of this box to one server: its share of those the server accepts.
pub(super) fn max_connections(node: &Node, inbound: &InboundRequest) -> usize {
    let accepted = node
        .in_force()
        .and_then(|in_force| {
            let service = in_force.configuration.services.get(&inbound.service)?;
            Some(service.most_connections)
        })
        .unwrap_or_default();
    connections::max_connections(accepted, node.box_count.get())
}

/// Whether to discard a server's error response and retry. That needs another server that can take
/// the request now, and retry budget; otherwise the error is passed on to the caller.
fn retries_error_response(
    node: &Node,
    inbound: &InboundRequest,
    history: &AttemptHistory,
    server: &Server,
    answer: &StartedAnswer,
) -> bool {
    let is_failure = answer.head.status.is_server_error();
    if !is_failure || !may_run_again(inbound, history) {
        return false;
    }
    let mut tried = history.tried.clone();
    tried.push(server.record().id.clone());
    let has_alternative = matches!(
        choice::choose(node, inbound, &tried, &HolderRequests::default()),
        Choice::Send { .. }
    );
    has_alternative && retry_budget::take_retry(node, &inbound.service)
}

/// Whether another server may be tried, apart from the retry budget.
fn may_try_another(
    node: &Node,
    inbound: &InboundRequest,
    history: &AttemptHistory,
    end: AttemptEnd,
) -> bool {
    let case = RetryCase {
        end,
        repeatable: inbound.is_repeatable() && history.runs < inbound.route.most_attempts,
        answer_begun: false,
        now_ms: node.now_ms(),
        deadline_ms: inbound.time_up_ms,
    };
    may_retry(&case) && history.tried.len() < MAX_ATTEMPTS
}

/// The refusal after the last attempt: whether the request may have run, or certainly has not.
fn final_refusal(node: &Node, inbound: &InboundRequest, history: &AttemptHistory) -> Refusal {
    if !history.ends.are_all_not_run() {
        return if node.now_ms() >= inbound.time_up_ms {
            Refusal::TimeUp
        } else {
            Refusal::MayHaveRun
        };
    }
    Refusal::NotRun {
        reason: NotRunReason::Declined,
        retry_after_ms: permits::caller_retry_after_ms(node, &inbound.service)
            .unwrap_or(DEFAULT_RETRY_MS),
    }
}

/// Relays a server's answer, and hands its run over to another server where that is due.
fn relay(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    answer: StartedAnswer,
    body: Option<RequestBody>,
) -> Response<AnswerBody> {
    let server = answer.running.server();
    let head = answer.head;
    let is_stream = inbound.route.kind == RouteKind::Streaming;
    let mut format = head.format;
    format.is_event_stream |= is_stream && head.status.is_success();
    record_start(node, inbound, &server, head.status);
    let running = Rc::new(RefCell::new(answer.running));
    let handover = handover::for_answer(node, inbound, &head, &running, body);
    let close_judge = ServerCloseJudge::new(node, inbound, &running);
    let terms = RelayTerms {
        format,
        close_judge: Some(Box::new(close_judge)),
        connection: answer.connection,
        pool: Rc::clone(&server.pool),
        idle_limit: head.idle_limit,
        may_reuse: head.may_reuse,
        deadline: node.clock.instant(inbound.time_up_ms),
        handover,
        clock: node.clock,
        progress: crashes::parts::observe_progress(node, inbound, head.status),
        end: observe_end(node, inbound, running, head.status.as_u16()),
    };
    let relay = Relay::new(answer.incoming, terms);
    head.into_response(AnswerBody::Relayed(Box::new(relay)))
}

/// The observer that logs a relayed answer at its end and records its outcome and timing.
fn observe_end(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    running: Rc<RefCell<RunningRequest>>,
    status: u16,
) -> EndObserver {
    let node = Rc::clone(node);
    let inbound = Rc::clone(inbound);
    let head_ms = node.now_ms() - inbound.arrived_ms;
    Box::new(move |end| {
        inbound.stream_timing.set(end.timing);
        let server = running.borrow().server();
        handover::record_stream(&node, &inbound, &end);
        match end.result {
            Err(error) if error.is_by_server() => check_after_cut(&node, &inbound, &server),
            Ok(_) if is_success(status) => crashes::record_completed(&node, &inbound),
            _ => {}
        }
        let server = server.record().id.clone();
        log_end(
            &node,
            &inbound,
            Some(&server),
            status,
            Some(head_ms),
            &Ending::Relayed(end),
        );
        drop(running);
    })
}

fn is_success(status: u16) -> bool {
    StatusCode::from_u16(status).is_ok_and(|status| status.is_success())
}
