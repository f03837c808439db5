//! One attempt to run a request on a server.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use tinbay_core::slots::home::LeaseEnd;
use tinbay_core::units::Millis;

use super::answer_head::read_answer_head;
use super::headers::{self, ServerHeaders};
use super::inbound::{InboundRequest, text};
use crate::crashes;
use crate::http::body::RequestBody;
use crate::http::head::{HeadError, ResponseHead};
use crate::http::interim::InterimLimit;
use crate::http::pool::{ConnectError, Connection, ReusableIdle};
use crate::http::reuse::Reuse;
use crate::limits::permits::Permit;
use crate::links;
use crate::node::Node;
use crate::port::dialect::HeaderNames;
use crate::resumption::stream_start::StreamStart;
use crate::servers::incarnation::{self, Incarnation};
use crate::servers::notices::{self, AnswerHead, RequestKind};
use crate::servers::{RunningRequest, Server};

/// How an attempt ended.
pub enum AttemptResult {
    /// The head of the server's answer has arrived.
    Answering(Box<StartedAnswer>),
    /// The server confirms that it did not run the request.
    Declined {
        /// Status of the response, which tells a missing adapter from a full server.
        status: StatusCode,
    },
    /// Another server now listens at the address of the intended one.
    Displaced,
    /// Not sent: after the wait for a connection, the server was not ready, in back-off, at its
    /// rate limit, had too many bytes of requests waiting, or turned out to have restarted, or the
    /// request was refused or suspected because servers crash.
    Withdrawn {
        /// The unsent body, for another attempt.
        body: RequestBody,
    },
    /// Not sent for want of a connection.
    NotSent {
        /// Why no connection was available.
        error: ConnectError,
    },
    /// Sent, and the server may have run it.
    Unknown {
        /// Why the outcome is unknown.
        cause: UnknownCause,
    },
}

/// Why it is unknown whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection was closed before a response.
    Closed,
    /// No response arrived in time.
    Silent,
    /// Interim responses kept coming instead of a response.
    NoFinalResponse,
    /// The head of the response is refused.
    InvalidHead(HeadError),
    /// The response carries no request id or that of another request.
    OtherAnswer,
    /// The status suggests that the request did not run, but the server does not confirm it.
    UnconfirmedNotRun,
}

impl UnknownCause {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            UnknownCause::Closed => "closed",
            UnknownCause::Silent => "silent",
            UnknownCause::NoFinalResponse => "no_final_response",
            UnknownCause::InvalidHead(error) => error.name(),
            UnknownCause::OtherAnswer => "other_answer",
            UnknownCause::UnconfirmedNotRun => "bare_promise",
        }
    }
}

impl AttemptResult {
    fn unknown(cause: UnknownCause) -> Self {
        AttemptResult::Unknown { cause }
    }
}

/// A response whose head has arrived.
pub struct StartedAnswer {
    /// The head.
    pub head: ResponseHead,
    /// The body, which is still being received.
    pub incoming: Incoming,
    /// Connection it arrives on.
    pub connection: Connection,
    /// Counts the request as running on its server until dropped.
    pub running: RunningRequest,
}

/// Parameters of an attempt.
pub struct AttemptTerms<'a> {
    /// The server to send to.
    pub server: &'a Rc<Server>,
    /// Most connections that this box may open to the server.
    pub max_connections: usize,
    /// Which pooled connections may be reused.
    pub reusable: ReusableIdle,
    /// Headers set in addition to the caller's.
    pub headers: ServerHeaders<'a>,
    /// Permit under the server's rate limit.
    pub permit: Permit,
    /// Prompt tokens that the server has to prefill.
    pub prefill_tokens: u32,
    /// Time-out for the response head.
    pub head_timeout: Duration,
    /// Time after which the head is overdue: a reused connection without one may be dead.
    pub silent_after: Duration,
}

/// Sends a request to a server and waits for the response head.
pub async fn attempt(
    node: &Node,
    inbound: &InboundRequest,
    body: RequestBody,
    terms: AttemptTerms<'_>,
) -> AttemptResult {
    let running = node
        .begin_request(terms.server, inbound, terms.prefill_tokens)
        .with_slot(terms.permit.slot());
    let began_ms = node.now_ms();
    let pending = Cell::default();
    let exchange = exchange(node, inbound, body, &terms, &pending);
    match tokio::time::timeout(terms.head_timeout, exchange).await {
        Err(_) => {
            if terms.head_timeout >= terms.silent_after {
                record_silent(&pending);
                links::record_silence(node, terms.server, began_ms);
            }
            AttemptResult::unknown(UnknownCause::Silent)
        }
        Ok(Err(result)) => {
            if is_server_failure(&result) {
                terms.permit.record_end(LeaseEnd::Failed);
            }
            result
        }
        Ok(Ok(received)) => classify(node, inbound, &terms, received, running),
    }
}

/// Whether a request ended without an answer as the server accepted no connection, closed it, or sent
/// something else than a response.
fn is_server_failure(result: &AttemptResult) -> bool {
    matches!(
        result,
        AttemptResult::NotSent {
            error: ConnectError::Refused
        } | AttemptResult::Unknown {
            cause: UnknownCause::Closed
                | UnknownCause::NoFinalResponse
                | UnknownCause::InvalidHead(_)
        }
    )
}

/// A reused connection on which a request was sent and not yet answered.
type PendingReuse = Cell<Option<Reuse>>;

fn record_silent(pending: &PendingReuse) {
    if let Some(reuse) = pending.take() {
        reuse.record_silent();
    }
}

/// A response whose meaning has not been classified yet, and the connection it arrives on.
struct UnclassifiedResponse {
    head: ResponseHead,
    incoming: Incoming,
    connection: Connection,
    sent_ms: Millis,
}

async fn exchange(
    node: &Node,
    inbound: &InboundRequest,
    body: RequestBody,
    terms: &AttemptTerms<'_>,
    pending: &PendingReuse,
) -> Result<UnclassifiedResponse, AttemptResult> {
    let names = node.dialect.headers();
    let headers = headers::for_server(&inbound.parts.headers, names, &terms.headers);
    let headers = headers.map_err(|error| AttemptResult::NotSent {
        error: error.into(),
    })?;
    let mut request = build_request(inbound, body, headers);
    loop {
        let connected = terms
            .server
            .pool
            .get(terms.max_connections, terms.reusable)
            .await;
        if matches!(connected, Err(ConnectError::Refused)) {
            links::record_failure(node, terms.server);
        }
        let mut connection = connected.map_err(|error| AttemptResult::NotSent { error })?;
        if is_bound_to_version(inbound, terms) {
            match incarnation::find(node, terms.server, &mut connection).await {
                Incarnation::Described => {}
                Incarnation::Restarted => {
                    let body = request.into_body();
                    return Err(AttemptResult::Withdrawn { body });
                }
                Incarnation::Closed if connection.is_reused => continue,
                Incarnation::Closed | Incarnation::Unknown => {
                    let error = ConnectError::UnknownIncarnation;
                    return Err(AttemptResult::NotSent { error });
                }
            }
        }
        // The server was chosen before the wait for a connection, so its state and that of the
        // request are checked again.
        let now_ms = node.now_ms();
        if !terms.server.may_receive_requests(now_ms)
            || !terms.permit.is_valid(terms.server, now_ms)
            || !(continues_run(terms) || crashes::may_be_sent(node, inbound))
        {
            let body = request.into_body();
            return Err(AttemptResult::Withdrawn { body });
        }
        let sent_ms = node.now_ms();
        let known_bytes = request.body().known_bytes();
        let boxes = node.box_count.get();
        let _unread = terms.server.waiting.begin(known_bytes, boxes);
        let interim = InterimLimit::of(&mut request);
        let sent = tokio::select! {
            sent = send(node, &mut connection, request, terms, pending) => sent,
            () = interim.exceeded() => {
                return Err(AttemptResult::unknown(UnknownCause::NoFinalResponse));
            }
        };
        match sent {
            Ok(response) => {
                let (head, incoming) = read_answer_head(node, response)
                    .map_err(|error| AttemptResult::unknown(UnknownCause::InvalidHead(error)))?;
                return Ok(UnclassifiedResponse {
                    head,
                    incoming,
                    connection,
                    sent_ms,
                });
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) if connection.is_reused => request = unsent,
                Some(_) => {
                    let error = ConnectError::Refused;
                    return Err(AttemptResult::NotSent { error });
                }
                None => return Err(AttemptResult::unknown(UnknownCause::Closed)),
            },
        }
    }
}

/// Whether the request continues a run that another server began to answer.
fn continues_run(terms: &AttemptTerms<'_>) -> bool {
    terms.headers.resumption.is_some()
}

/// Whether all events of the answer have to come from servers of one software version, also if the
/// caller resumes it.
fn is_bound_to_version(inbound: &InboundRequest, terms: &AttemptTerms<'_>) -> bool {
    continues_run(terms) || inbound.stream_start != StreamStart::NotResumable
}

/// Sends a request on a connection, and records a missing answer and the outcome if the connection
/// was reused.
async fn send(
    node: &Node,
    connection: &mut Connection,
    request: Request<RequestBody>,
    terms: &AttemptTerms<'_>,
    pending: &PendingReuse,
) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
    pending.set(connection.reuse.take());
    let sent = Instant::now();
    let sent_ms = node.now_ms();
    let mut sending = pin!(connection.sender.send(request));
    let overdue = tokio::time::timeout(terms.silent_after, &mut sending).await;
    let result = match overdue {
        Ok(result) => result,
        Err(_) => {
            record_silent(pending);
            links::record_silence(node, terms.server, sent_ms);
            sending.await
        }
    };
    match &result {
        Ok(_) => terms.server.pool.record_heard(),
        Err(error) if connection.is_reused && error.message().is_some() => {}
        Err(_) => links::record_silence(node, terms.server, sent_ms),
    }
    if let Some(reuse) = pending.take() {
        match &result {
            Ok(_) => reuse.record_answered(),
            Err(error) if error.message().is_some() => reuse.record_found_closed(),
            Err(_) => reuse.record_closed(sent.elapsed().as_millis() as Millis),
        }
    }
    result
}

/// Builds a request with the caller's method and target.
pub(super) fn build_request(
    inbound: &InboundRequest,
    body: RequestBody,
    headers: HeaderMap,
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = inbound.parts.method.clone();
    *request.uri_mut() = inbound.parts.uri.clone();
    *request.headers_mut() = headers;
    request
}

fn classify(
    node: &Node,
    inbound: &InboundRequest,
    terms: &AttemptTerms<'_>,
    received: UnclassifiedResponse,
    running: RunningRequest,
) -> AttemptResult {
    let UnclassifiedResponse {
        head,
        incoming,
        connection,
        sent_ms,
    } = received;
    let names = node.dialect.headers();
    let status = head.status;
    if is_displaced(&head, names, terms) {
        return AttemptResult::Displaced;
    }
    let answered_id = text(&head.headers, &names.request_id);
    let is_own = answered_id == Some(inbound.id.as_str());
    // A late response to another request, possibly a refusal, can arrive on this connection. It
    // says nothing about this request, which may be running.
    if !is_own && answered_id.is_some() {
        return AttemptResult::unknown(UnknownCause::OtherAnswer);
    }
    let is_not_run =
        head.headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST;
    if is_own {
        let answer_head = AnswerHead {
            request_kind: RequestKind::Request(&inbound.id),
            request_sent_ms: sent_ms,
            status: status.as_u16(),
            headers: &head.headers,
            has_run: !is_not_run,
        };
        notices::apply(node, terms.server, &answer_head);
        terms.permit.record_end(lease_end(status, is_not_run));
    }
    if is_not_run {
        return AttemptResult::Declined { status };
    }
    if !is_own {
        return AttemptResult::unknown(UnknownCause::OtherAnswer);
    }
    if suggests_not_run(status) {
        return AttemptResult::unknown(UnknownCause::UnconfirmedNotRun);
    }
    AttemptResult::Answering(Box::new(StartedAnswer {
        head,
        incoming,
        connection,
        running,
    }))
}

/// What an answer shows of a brittle server's slots.
fn lease_end(status: StatusCode, is_not_run: bool) -> LeaseEnd {
    match (is_not_run, status) {
        (true, StatusCode::SERVICE_UNAVAILABLE) => LeaseEnd::Rejected,
        (true, _) => LeaseEnd::Unknown,
        (false, _) => LeaseEnd::Served,
    }
}

/// Whether another server responded in place of the intended one.
fn is_displaced(head: &ResponseHead, names: &HeaderNames, terms: &AttemptTerms<'_>) -> bool {
    let answering = text(&head.headers, &names.server_id);
    let is_other = answering.is_some_and(|id| id != terms.headers.server_id);
    head.status == StatusCode::MISDIRECTED_REQUEST && is_other
}

/// Whether a status tells the caller that nothing ran. Such a response is not passed on unless the
/// server confirms it.
fn suggests_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    )
}
