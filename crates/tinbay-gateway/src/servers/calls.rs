//! Requests that a box sends to servers on its own account, on their pooled connections.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request};

use super::Server;
use crate::http::body::RequestBody;
use crate::http::field::{InvalidField, insert_text};
use crate::http::target::RequestTarget;
use crate::node::Node;

/// Builds a request that only this server is to answer.
///
/// # Errors
/// When the server's id can't be sent: any server at its address would answer the request.
pub fn request_to(
    node: &Node,
    server: &Server,
    method: Method,
    target: &RequestTarget,
    body: Bytes,
) -> Result<Request<RequestBody>, InvalidField> {
    let mut request = Request::new(RequestBody::whole(body));
    *request.method_mut() = method;
    *request.uri_mut() = target.to_uri();
    let headers = request.headers_mut();
    let name = &node.dialect.headers().expect_server;
    insert_text(headers, name, &server.record().id)?;
    insert_text(headers, &HOST, &server.address_text)?;
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(request)
}
