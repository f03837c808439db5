//! Sends a request to another box and relays the answer.

use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderMap, RETRY_AFTER};
use hyper::{Request, Response};
use tinbay_core::units::{MS_PER_SECOND, Millis};

use super::Target;
use super::headers::{AnswerKind, Forwarded, take_kind};
use crate::crashes;
use crate::front::answer_head::read_answer_head;
use crate::front::attempt::build_request;
use crate::front::inbound::{InboundRequest, LastSend, text};
use crate::front::refusal::Refusal;
use crate::front::request_log::{Ending, log_end, log_forward};
use crate::http::body::{AnswerBody, RequestBody};
use crate::http::head::ResponseHead;
use crate::http::hop_headers::drop_hop_headers;
use crate::http::pool::{Connection, Pool, ReusableIdle};
use crate::http::relay::{EndObserver, Relay, RelayTerms};
use crate::node::Node;

/// Most connections to one other box.
const MAX_CONNECTIONS: usize = 256;

/// How an offer of a request to another box ended.
pub enum ForwardResult {
    /// A server's answer, relayed by the other box.
    Answered(Response<AnswerBody>),
    /// The other box refused the request, or it is not known whether it ran.
    Refused(Refusal),
    /// The other box reaches no server either, and the request was not run.
    Declined,
    /// The other box could not be reached.
    NotSent {
        /// The unsent body, for another box.
        unsent: RequestBody,
    },
}

impl ForwardResult {
    /// Name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            ForwardResult::Answered(_) => "answered",
            ForwardResult::Refused(_) => "refused",
            ForwardResult::Declined => "declined",
            ForwardResult::NotSent { .. } => "not_sent",
        }
    }
}

/// Offers a request to another box.
pub(super) async fn forward_to(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    target: &Target,
    body: RequestBody,
) -> ForwardResult {
    let pool = node.forwarding.pool(target.address);
    let left_ms = inbound.time_up_ms.saturating_sub(node.now_ms());
    let sending = send(node, inbound, &pool, body);
    let result = match tokio::time::timeout(Duration::from_millis(left_ms), sending).await {
        Err(_) => ForwardResult::Refused(Refusal::TimeUp),
        Ok(Err(result)) => result,
        Ok(Ok((response, connection))) => classify(node, inbound, &pool, response, connection),
    };
    log_forward(node, inbound, &target.id, result.name());
    result
}

async fn send(
    node: &Node,
    inbound: &InboundRequest,
    pool: &Rc<Pool>,
    body: RequestBody,
) -> Result<(Response<Incoming>, Connection), ForwardResult> {
    let reusable = if inbound.is_repeatable() {
        ReusableIdle::Any
    } else {
        ReusableIdle::WithinLimit
    };
    let mut request = to_request(node, inbound, body);
    loop {
        let Ok(mut connection) = pool.get(MAX_CONNECTIONS, reusable).await else {
            let unsent = request.into_body();
            return Err(ForwardResult::NotSent { unsent });
        };
        let before = inbound.last_send.replace(Some(last_send(node, inbound)));
        match connection.sender.send(request).await {
            Ok(response) => return Ok((response, connection)),
            Err(mut error) => match error.take_message() {
                None => return Err(ForwardResult::Refused(Refusal::MayHaveRun)),
                Some(unsent) => {
                    inbound.last_send.set(before);
                    if !connection.is_reused {
                        let unsent = unsent.into_body();
                        return Err(ForwardResult::NotSent { unsent });
                    }
                    request = unsent;
                }
            },
        }
    }
}

fn to_request(node: &Node, inbound: &InboundRequest, body: RequestBody) -> Request<RequestBody> {
    let mut headers = inbound.parts.headers.clone();
    drop_hop_headers(&mut headers);
    let forwarded = Forwarded {
        age_ms: node.now_ms() - inbound.arrived_ms,
        account: inbound
            .client_account()
            .map(|account| account.name.to_string()),
    };
    forwarded.write(&mut headers);
    build_request(inbound, body, headers)
}

fn last_send(node: &Node, inbound: &InboundRequest) -> LastSend {
    LastSend {
        after_ms: node.now_ms() - inbound.arrived_ms,
        expected_version: None,
        time_up_ms: inbound.time_up_ms,
        named_version: None,
        named_age_ms: None,
    }
}

fn classify(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    pool: &Rc<Pool>,
    response: Response<Incoming>,
    connection: Connection,
) -> ForwardResult {
    let Ok((mut head, incoming)) = read_answer_head(node, response) else {
        return ForwardResult::Refused(Refusal::MayHaveRun);
    };
    let kind = take_kind(&mut head.headers);
    let refusal = |is_not_run| Refusal::ByOtherBox {
        status: head.status,
        is_not_run,
        retry_after_ms: retry_after_ms(&head.headers),
    };
    match kind {
        Some(AnswerKind::Declined) => ForwardResult::Declined,
        Some(AnswerKind::NotRun) => ForwardResult::Refused(refusal(true)),
        Some(AnswerKind::MayHaveRun) => ForwardResult::Refused(refusal(false)),
        None => ForwardResult::Refused(Refusal::MayHaveRun),
        Some(AnswerKind::FromServer) => {
            ForwardResult::Answered(relay(node, inbound, pool, head, incoming, connection))
        }
    }
}

fn retry_after_ms(headers: &HeaderMap) -> Option<Millis> {
    let seconds: f64 = text(headers, &RETRY_AFTER)?.parse().ok()?;
    Some((seconds * MS_PER_SECOND as f64).round() as Millis)
}

fn relay(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    pool: &Rc<Pool>,
    head: ResponseHead,
    incoming: Incoming,
    connection: Connection,
) -> Response<AnswerBody> {
    let terms = RelayTerms {
        format: head.format,
        // Boxes mark the end of all answers.
        close_judge: None,
        connection,
        pool: Rc::clone(pool),
        idle_limit: head.idle_limit,
        may_reuse: head.may_reuse,
        deadline: node.clock.instant(inbound.time_up_ms),
        handover: None,
        clock: node.clock,
        progress: crashes::parts::observe_progress(node, inbound, head.status),
        end: observe_end(node, inbound, head.status.as_u16()),
    };
    let relay = Relay::new(incoming, terms);
    head.into_response(AnswerBody::Relayed(Box::new(relay)))
}

/// The observer that logs a relayed answer at its end.
fn observe_end(node: &Rc<Node>, inbound: &Rc<InboundRequest>, status: u16) -> EndObserver {
    let node = Rc::clone(node);
    let inbound = Rc::clone(inbound);
    let head_ms = node.now_ms() - inbound.arrived_ms;
    Box::new(move |end| {
        inbound.stream_timing.set(end.timing);
        if let (Ok(_), 200..=299) = (end.result, status) {
            crashes::record_completed(&node, &inbound);
        }
        let ending = Ending::Relayed(end);
        log_end(&node, &inbound, None, status, Some(head_ms), &ending);
    })
}
