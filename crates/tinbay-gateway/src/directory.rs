//! HTTP endpoints beside the request path: the directory of boxes for callers, readiness for the
//! platform, metrics for operators, and the store relay for other boxes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tinbay_core::units::Millis;
use tokio::net::TcpListener;

use crate::http::body::AnswerBody;
use crate::http::gather::gather;
use crate::node::Node;
use crate::watch::relay;

/// Maximum number of addresses in a directory answer.
const MAX_ADDRESSES: usize = 64;

/// Longest time for which callers may cache a directory answer; boxes start and stop within
/// seconds.
const MAX_VALID_MS: Millis = 2_000;

/// If at least this many boxes of the caller's zone are up, boxes of other zones are left out.
const MIN_BOXES_IN_ZONE: usize = 2;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";

/// Longest relay request, which names a prefix and a position.
const MAX_RELAY_REQUEST_BYTES: usize = 4_096;

/// Maximum time to wait for a request head on a connection, which also ends idle connections.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Serves one of the listeners for readiness, directory and metrics.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| answer(Rc::clone(&node), request));
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_READ_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn answer(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let path = request.uri().path();
    if path == relay::PATH {
        return Ok(answer_relay(&node, request).await);
    }
    if path == node.dialect.ready_path() {
        return Ok(readiness(&node));
    }
    if path == node.dialect.directory_path() {
        let query = node
            .dialect
            .decode_directory_query(request.uri().query().unwrap_or_default());
        return Ok(directory_answer(&node, &query.zone));
    }
    if path == METRICS_PATH {
        return Ok(reply(StatusCode::OK, "text/plain", node.metrics.to_text()));
    }
    Ok(reply(StatusCode::NOT_FOUND, "text/plain", String::new()))
}

/// Answers a relay request of another box from the local copy of the store.
async fn answer_relay(node: &Node, request: Request<Incoming>) -> Response<AnswerBody> {
    match gather(request.into_body(), MAX_RELAY_REQUEST_BYTES).await {
        Ok(body) => {
            let answer = relay::answer(node, &body).await;
            reply(StatusCode::OK, "application/octet-stream", answer)
        }
        Err(_) => reply(StatusCode::BAD_REQUEST, "text/plain", String::new()),
    }
}

fn readiness(node: &Node) -> Response<AnswerBody> {
    let status = if node.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply(status, "text/plain", String::new())
}

fn directory_answer(node: &Node, zone: &str) -> Response<AnswerBody> {
    let addresses = choose_addresses(node, zone);
    if addresses.is_empty() {
        return reply(StatusCode::SERVICE_UNAVAILABLE, "text/plain", String::new());
    }
    let valid_ms = MAX_VALID_MS.min(node.settings.borrow().bounds.directory_valid_ms);
    let body = node.dialect.encode_directory(&addresses, valid_ms);
    reply(StatusCode::OK, "application/json", body)
}

/// Addresses for a caller in `zone`: boxes of its zone, or of all zones if it has too few.
fn choose_addresses(node: &Node, zone: &str) -> Vec<SocketAddr> {
    let mut boxes = up_boxes(node);
    let in_zone = boxes
        .iter()
        .filter(|(_, box_zone)| box_zone == zone)
        .count();
    if in_zone >= MIN_BOXES_IN_ZONE {
        boxes.retain(|(_, box_zone)| box_zone == zone);
    }
    let mut addresses: Vec<SocketAddr> = boxes.into_iter().map(|(front, _)| front).collect();
    addresses.sort();
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

fn up_boxes(node: &Node) -> Vec<(SocketAddr, String)> {
    let now_ms = node.now_ms();
    let own_id = node.settings.borrow().box_id.clone();
    let members = node.members.borrow();
    let mut boxes: Vec<(SocketAddr, String)> = members
        .others(&own_id)
        .filter(|(_, member)| member.is_up(now_ms))
        .map(|(_, member)| (member.record.front, member.record.zone.clone()))
        .collect();
    if node.is_ready() || boxes.is_empty() {
        let own = node.own_record();
        boxes.push((own.front, own.zone));
    }
    boxes
}

fn reply(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(Some(body.into())));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
