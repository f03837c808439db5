//! Single calls to one address over kept connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName};
use hyper::{Method, Request};
use tinbay_core::units::Millis;

use super::connect::connect;

/// Idle connections kept to the address.
const MOST_IDLE: usize = 4;

/// Longest time until a connection stands.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// One call.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// JSON body; empty for none.
    pub body: Bytes,
    /// One header besides.
    pub header: Option<(HeaderName, String)>,
    /// Longest time until the whole answer is there.
    pub timeout_ms: Millis,
}

/// The whole answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("not connected")]
    NotConnected,
    /// It was sent, and no whole answer came.
    #[error("no answer")]
    NoAnswer,
}

/// Makes calls to one address.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    idle: RefCell<Vec<SendRequest<Full<Bytes>>>>,
}

impl Caller {
    /// A caller of `address`; nothing is connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Makes one call; a connection on which an answer is missing is never used again.
    ///
    /// # Errors
    /// When no whole answer came in time.
    pub async fn call(&self, call: &Call) -> Result<Reply, CallError> {
        let timeout = Duration::from_millis(call.timeout_ms);
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => {
                // The connections that rest may have gone silent with the one just used.
                self.idle.borrow_mut().clear();
                Err(CallError::NoAnswer)
            }
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Reply, CallError> {
        let mut sender = self.sender().await?;
        let response = sender
            .send_request(self.request(call))
            .await
            .map_err(|_| CallError::NoAnswer)?;
        let (head, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|_| CallError::NoAnswer)?
            .to_bytes();
        self.keep(sender);
        Ok(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }

    fn request(&self, call: &Call) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        if let Ok(host) = self.address.to_string().parse() {
            headers.insert(HOST, host);
        }
        if !call.body.is_empty() {
            headers.insert(
                CONTENT_TYPE,
                hyper::header::HeaderValue::from_static("application/json"),
            );
        }
        if let Some((name, value)) = &call.header
            && let Ok(value) = value.parse()
        {
            headers.insert(name.clone(), value);
        }
        request
    }

    async fn sender(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        loop {
            let kept = self.idle.borrow_mut().pop();
            match kept {
                Some(mut sender) if !sender.is_closed() => {
                    if sender.ready().await.is_ok() {
                        return Ok(sender);
                    }
                }
                Some(_) => {}
                None => {
                    let connected = connect(self.address, CONNECT_TIMEOUT).await;
                    return connected
                        .map(|(sender, _)| sender)
                        .ok_or(CallError::NotConnected);
                }
            }
        }
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MOST_IDLE {
            idle.push(sender);
        }
    }
}
