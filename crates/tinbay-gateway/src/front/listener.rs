//! Accepts the connections of callers and of other boxes, and serves their requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::Level;
use rand::RngExt;
use tinbay_core::memory::ledger::ConnectionNumber;
use tinbay_core::memory::reader::{ReaderTerms, unread_limit_ms};
use tinbay_core::units::Millis;
use tokio::net::{TcpListener, TcpStream};

use super::filters;
use super::forward;
use super::inbound::InboundRequest;
use super::refusal::{NotRunReason, Refusal};
use super::request_log::{self, Ending};
use crate::events::{self, part};
use crate::http::body::AnswerBody;
use crate::http::buffers::limit_unsent_bytes;
use crate::http::pump::{AnswerTerms, WatchedAnswer};
use crate::http::silence::end_when_silent;
use crate::latch::Latch;
use crate::node::Node;

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Idle time after which a caller's connection is probed by TCP keep-alive, so that dead
/// connections are closed long before the idle time-out.
const PROBE_AFTER_IDLE: Duration = Duration::from_secs(3);

/// `Retry-After` of a request whose deadline passed before it was sent; until then the queue may
/// have shortened.
const RETRY_AFTER_TIME_UP_MS: Millis = 1_000;

/// Who opens the connections of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Callers.
    Caller,
    /// Other boxes, which forward the requests of their callers.
    Box,
}

/// Counts a caller's connection while it is open.
struct OpenConnection(Rc<Node>);

impl OpenConnection {
    fn begin(node: &Rc<Node>) -> Self {
        node.connections.set(node.connections.get() + 1);
        Self(Rc::clone(node))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// What the requests of a caller's connection share.
struct CallerConnection {
    origin: Origin,
    number: ConnectionNumber,
    /// Set to close the connection at once, even during an answer.
    end: Rc<Latch>,
}

/// Accepts callers' connections until the box closes.
pub async fn listen(node: Rc<Node>, listener: TcpListener, origin: Origin) {
    limit_unsent_bytes(&listener);
    loop {
        // `closing` is polled first, and an accepted connection is counted at once, because the box
        // exits when it counts no open connection. Otherwise a connection accepted after that count
        // would be closed although a server runs its request.
        let accepted = tokio::select! {
            biased;
            () = node.closing.wait() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                end_when_silent(&stream, PROBE_AFTER_IDLE);
                let open = OpenConnection::begin(&node);
                tokio::task::spawn_local(serve(Rc::clone(&node), stream, origin, open));
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve(node: Rc<Node>, stream: TcpStream, origin: Origin, _open: OpenConnection) {
    let limits = node.limits();
    let caller = Rc::new(CallerConnection {
        origin,
        number: node.memory.number_connection(),
        end: Rc::default(),
    });
    let end = Rc::clone(&caller.end);
    let service = {
        let node = Rc::clone(&node);
        service_fn(move |request| answer(Rc::clone(&node), Rc::clone(&caller), request))
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = end.wait() => return,
        () = node.closing.wait() => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        _ = connection => {}
        () = end.wait() => {}
    }
}

async fn answer(
    node: Rc<Node>,
    caller: Rc<CallerConnection>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let arrived_ms = node.now_ms();
    let (parts, body) = request.into_parts();
    let draw = rand::rng().random_range(0.0..1.0);
    let mut response = match caller.origin {
        Origin::Caller => {
            match InboundRequest::read(&node, parts, arrived_ms, draw, caller.number) {
                Ok(inbound) => answer_caller(&node, inbound, &caller, body).await,
                Err(refusal) => {
                    log_unrouted(refusal);
                    refusal.to_response()
                }
            }
        }
        Origin::Box => match forward::read(&node, parts, arrived_ms, draw, caller.number) {
            Ok(inbound) => answer_box(&node, inbound, &caller, body).await,
            Err(refusal) => {
                log_unrouted(refusal);
                forward::decline()
            }
        },
    };
    if node.is_leaving.get() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Answers a request of a caller.
async fn answer_caller(
    node: &Rc<Node>,
    inbound: InboundRequest,
    caller: &CallerConnection,
    body: Incoming,
) -> Response<AnswerBody> {
    let inbound = Rc::new(inbound);
    let response = match process(node, Rc::clone(&inbound), body).await {
        Ok(response) => response,
        Err(refusal) => refusal.to_response(),
    };
    monitor_reading(node, inbound, caller, response)
}

/// Answers a request that another box forwarded, and tells that box what the answer means.
async fn answer_box(
    node: &Rc<Node>,
    inbound: InboundRequest,
    caller: &CallerConnection,
    body: Incoming,
) -> Response<AnswerBody> {
    if let Some(declined) = forward::reject_if_unable(node, &inbound) {
        return declined;
    }
    let inbound = Rc::new(inbound);
    let result = process(node, Rc::clone(&inbound), body).await;
    let refusal = result.as_ref().err().copied();
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => refusal.to_response(),
    };
    forward::mark_result(&mut response, refusal.as_ref());
    monitor_reading(node, inbound, caller, response)
}

/// Wraps a relayed answer so that it is cut off if its caller reads too slowly.
fn monitor_reading(
    node: &Node,
    inbound: Rc<InboundRequest>,
    caller: &CallerConnection,
    response: Response<AnswerBody>,
) -> Response<AnswerBody> {
    let reader = ReaderTerms {
        unread_limit_ms: unread_limit_ms(&inbound.route),
        time_up_ms: inbound.time_up_ms,
    };
    response.map(|body| match body {
        AnswerBody::Relayed(relay) => {
            let terms = AnswerTerms {
                request: inbound,
                reader,
                connection: caller.number,
                connection_end: Rc::clone(&caller.end),
            };
            AnswerBody::Watched(WatchedAnswer::new(relay, terms, &node.answers))
        }
        body => body,
    })
}

/// Processes a routed request within its deadline.
async fn process(
    node: &Rc<Node>,
    inbound: Rc<InboundRequest>,
    body: Incoming,
) -> Result<Response<AnswerBody>, Refusal> {
    let remaining = Duration::from_millis(inbound.time_up_ms.saturating_sub(node.now_ms()));
    let handling = filters::run(node, &inbound, body);
    let result = match tokio::time::timeout(remaining, handling).await {
        Ok(result) => result,
        Err(_) if inbound.last_send.get().is_none() => Err(Refusal::NotRun {
            reason: NotRunReason::TimeUp,
            retry_after_ms: RETRY_AFTER_TIME_UP_MS,
        }),
        Err(_) => Err(Refusal::TimeUp),
    };
    if let Err(refusal) = result {
        let status = refusal.status().as_u16();
        let ending = Ending::Refused(refusal);
        request_log::log_end(node, &inbound, None, status, None, &ending);
    }
    result
}

/// Logs the refusal of a request that has no route.
fn log_unrouted(refusal: Refusal) {
    #[derive(serde::Serialize)]
    struct RefusedEvent {
        outcome: &'static str,
    }
    let event = RefusedEvent {
        outcome: refusal.name(),
    };
    events::emit(part::FRONT, Level::Info, "unrouted", &event);
}
