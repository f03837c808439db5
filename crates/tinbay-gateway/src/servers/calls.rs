//! Requests that a box sends to servers on its own account, on their pooled connections.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request};

use super::Server;
use crate::http::body::RequestBody;
use crate::http::target::RequestTarget;
use crate::node::Node;

/// Builds a request that only this server is to answer.
pub fn request_to(
    node: &Node,
    server: &Server,
    method: Method,
    target: &RequestTarget,
    body: Bytes,
) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::whole(body));
    *request.method_mut() = method;
    *request.uri_mut() = target.to_uri();
    let headers = request.headers_mut();
    let name = &node.dialect.headers().expect_server;
    if let Ok(id) = HeaderValue::from_str(&server.record().id) {
        headers.insert(name.clone(), id);
    }
    if let Ok(host) = HeaderValue::from_str(&server.address_text) {
        headers.insert(HOST, host);
    }
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    request
}
