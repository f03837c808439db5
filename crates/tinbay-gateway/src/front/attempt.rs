//! One try to have a server run a request.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use tinbay_core::units::Millis;

use super::headers::{self, ServerHeaders};
use super::question::{Question, text};
use crate::http::body::RequestBody;
use crate::http::pool::{ConnectError, Connection, Trust};
use crate::http::reuse::Reuse;
use crate::limits::permits::Permit;
use crate::node::Node;
use crate::port::dialect::HeaderNames;
use crate::servers::notices::{self, AnswerHead, RequestKind};
use crate::servers::{RunningRequest, Server};

/// How a try ended.
pub enum AttemptResult {
    /// The server began its answer.
    Begun(Box<BegunAnswer>),
    /// The server did not run it and says so.
    Declined {
        /// Its status.
        status: StatusCode,
    },
    /// Another server has its address.
    Displaced,
    /// It was not sent, as the server was found to leave, to rest, to be at its limit or to have enough
    /// waiting while a connection was awaited.
    Withdrawn {
        /// The body, as it was.
        body: RequestBody,
    },
    /// It was never sent.
    NotSent {
        /// Why.
        error: ConnectError,
    },
    /// It was sent, and the server may have run it.
    Unknown {
        /// Why that is not known.
        cause: UnknownCause,
    },
}

/// Why it is not known whether a request has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownCause {
    /// The connection was closed before an answer.
    Closed,
    /// No answer came in time.
    Silent,
    /// The answer belongs to another request.
    OtherAnswer,
    /// The answer would tell that it did not run, without the server's word.
    BarePromise,
}

impl UnknownCause {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            UnknownCause::Closed => "closed",
            UnknownCause::Silent => "silent",
            UnknownCause::OtherAnswer => "other_answer",
            UnknownCause::BarePromise => "bare_promise",
        }
    }
}

impl AttemptResult {
    fn unknown(cause: UnknownCause) -> Self {
        AttemptResult::Unknown { cause }
    }
}

/// An answer whose head has come.
pub struct BegunAnswer {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Connection it comes on.
    pub connection: Connection,
    /// Counts the request at its server.
    pub running: RunningRequest,
}

/// What a try needs besides the request.
pub struct AttemptTerms<'a> {
    /// The server.
    pub server: &'a Rc<Server>,
    /// Connections this box may open to it.
    pub most_open: usize,
    /// Which kept connections it may go out on.
    pub trust: Trust,
    /// What is set besides the caller's headers.
    pub headers: ServerHeaders<'a>,
    /// Leave to send it within the server's limit.
    pub permit: Permit,
    /// Tokens that the server has to read for it.
    pub reading_tokens: u32,
    /// Longest wait for the head.
    pub head_within: Duration,
    /// When a head is overdue: a kept connection that has not brought one may have gone silent.
    pub silent_after: Duration,
}

/// Sends a request to a server and waits for the head of the answer.
pub async fn attempt(
    node: &Node,
    question: &Question,
    body: RequestBody,
    terms: AttemptTerms<'_>,
) -> AttemptResult {
    let running = node.begin_request(terms.server, question, terms.reading_tokens);
    let waiting = Cell::default();
    let exchange = exchange(node, question, body, &terms, &waiting);
    match tokio::time::timeout(terms.head_within, exchange).await {
        Err(_) => {
            if terms.head_within >= terms.silent_after {
                note_silent(&waiting);
            }
            AttemptResult::unknown(UnknownCause::Silent)
        }
        Ok(Err(result)) => result,
        Ok(Ok(exchanged)) => judge(node, question, &terms, exchanged, running),
    }
}

/// A kept connection that has taken a request and not yet answered.
type WaitingReuse = Cell<Option<Reuse>>;

fn note_silent(waiting: &WaitingReuse) {
    if let Some(reuse) = waiting.take() {
        reuse.note_silent();
    }
}

/// The head of an answer, with where it came from.
struct Exchanged {
    response: Response<Incoming>,
    connection: Connection,
    /// When the request was sent.
    sent_ms: Millis,
}

async fn exchange(
    node: &Node,
    question: &Question,
    body: RequestBody,
    terms: &AttemptTerms<'_>,
    waiting: &WaitingReuse,
) -> Result<Exchanged, AttemptResult> {
    let names = node.dialect.headers();
    let headers = headers::for_server(&question.parts.headers, names, &terms.headers);
    let mut request = build(question, body, headers);
    loop {
        let connected = terms.server.pool.get(terms.most_open, terms.trust).await;
        let mut connection = connected.map_err(|error| AttemptResult::NotSent { error })?;
        // The choice is older than this send by all that was waited for since.
        let now_ms = node.now_ms();
        if !terms.server.may_be_sent(now_ms) || !terms.permit.holds(terms.server, now_ms) {
            let body = request.into_body();
            return Err(AttemptResult::Withdrawn { body });
        }
        let sent_ms = node.now_ms();
        let known_bytes = request.body().known_bytes();
        let boxes = node.box_count.get();
        let _unread = terms.server.waiting.begin(known_bytes, boxes);
        match send(&mut connection, request, terms, waiting).await {
            Ok(response) => {
                return Ok(Exchanged {
                    response,
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

/// Sends a request on a connection, and notes how a kept one takes it.
async fn send(
    connection: &mut Connection,
    request: Request<RequestBody>,
    terms: &AttemptTerms<'_>,
    waiting: &WaitingReuse,
) -> Result<Response<Incoming>, TrySendError<Request<RequestBody>>> {
    if connection.reuse.is_none() {
        return connection.sender.try_send_request(request).await;
    }
    waiting.set(connection.reuse.take());
    let sent = Instant::now();
    let mut sending = pin!(connection.sender.try_send_request(request));
    let overdue = tokio::time::timeout(terms.silent_after, &mut sending).await;
    let result = match overdue {
        Ok(result) => result,
        Err(_) => {
            note_silent(waiting);
            sending.await
        }
    };
    if let Some(reuse) = waiting.take() {
        match &result {
            Ok(_) => reuse.note_answered(),
            Err(error) if error.message().is_some() => reuse.note_found_closed(),
            Err(_) => reuse.note_closed(sent.elapsed().as_millis() as Millis),
        }
    }
    result
}

fn build(question: &Question, body: RequestBody, headers: HeaderMap) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = question.parts.method.clone();
    *request.uri_mut() = question.parts.uri.clone();
    *request.headers_mut() = headers;
    request
}

fn judge(
    node: &Node,
    question: &Question,
    terms: &AttemptTerms<'_>,
    exchanged: Exchanged,
    running: RunningRequest,
) -> AttemptResult {
    let Exchanged {
        response,
        connection,
        sent_ms,
    } = exchanged;
    let names = node.dialect.headers();
    let status = response.status();
    if is_displaced(&response, names, terms) {
        return AttemptResult::Displaced;
    }
    let answered_id = text(response.headers(), &names.request_id);
    let is_own = answered_id == Some(question.id.as_str());
    // A late answer to another request stands here at times, a refusal as well: it promises nothing
    // of this one, which may be running.
    if !is_own && answered_id.is_some() {
        return AttemptResult::unknown(UnknownCause::OtherAnswer);
    }
    let is_not_run = response.headers().contains_key(&names.not_run)
        || status == StatusCode::MISDIRECTED_REQUEST;
    if is_own {
        let head = AnswerHead {
            asked_for: RequestKind::Request(&question.id),
            asked_ms: sent_ms,
            status: status.as_u16(),
            headers: response.headers(),
            has_run: !is_not_run,
        };
        notices::take(node, terms.server, &head);
    }
    if is_not_run {
        return AttemptResult::Declined { status };
    }
    if !is_own {
        return AttemptResult::unknown(UnknownCause::OtherAnswer);
    }
    if is_promise(status) {
        return AttemptResult::unknown(UnknownCause::BarePromise);
    }
    AttemptResult::Begun(Box::new(BegunAnswer {
        response,
        connection,
        running,
    }))
}

/// Whether another server answers in place of the one that was meant.
fn is_displaced(
    response: &Response<Incoming>,
    names: &HeaderNames,
    terms: &AttemptTerms<'_>,
) -> bool {
    let answering = text(response.headers(), &names.server_id);
    let is_other = answering.is_some_and(|id| id != terms.headers.server_id);
    response.status() == StatusCode::MISDIRECTED_REQUEST && is_other
}

/// Statuses that would tell the caller that nothing ran; without the server's word they
/// are not passed on.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
    )
}
