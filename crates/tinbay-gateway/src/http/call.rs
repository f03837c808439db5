//! HTTP client for buffered requests to one address, with connection reuse.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderName};
use hyper::{Method, Request};
use tinbay_core::units::Millis;

use super::connect::connect;
use super::field::{InvalidField, insert_text};
use super::gather::gather_reply;
use super::head::HeadError;
use super::interim::InterimLimit;
use super::sender::Sender;
use super::target::RequestTarget;

/// Maximum number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Longest answer of a backend server to a call that is not a caller's request.
pub const MAX_SERVER_ANSWER_BYTES: usize = 256 * 1_024;

/// Longest answer of the store or of another box: several pages of the store, which hold about 1 MB
/// each before encoding.
pub const MAX_STORE_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A request whose body and response are fully buffered.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub target: RequestTarget,
    /// JSON body; empty if the request has none.
    pub body: Bytes,
    /// One additional header, if any.
    pub header: Option<(HeaderName, String)>,
    /// Time limit for the whole call, including connecting and reading the response body.
    pub timeout_ms: Millis,
    /// Longest response body that is read.
    pub max_answer_bytes: usize,
}

/// A fully buffered response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Response headers without those of the connection and the body's framing.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

/// Why a call returned no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection was available, so the request was not sent.
    #[error("could not connect; the request was not sent")]
    NotConnected,
    /// The request could not be written, so it was not sent.
    #[error(transparent)]
    InvalidField(#[from] InvalidField),
    /// The call failed or timed out before a complete response arrived; the server may have
    /// received it.
    #[error("no complete response before the connection failed or the call timed out")]
    NoAnswer,
    /// The response body is too long; the rest is not read.
    #[error("the response body is longer than {max_bytes} bytes")]
    TooLong {
        /// The limit that it exceeds.
        max_bytes: usize,
    },
    /// The head of the response is refused; the server may have received the request.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// Interim responses keep coming instead of a response.
    #[error("too many interim responses and no response")]
    NoFinalResponse,
}

/// Client for one address that reuses idle connections.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    idle: RefCell<Vec<Sender<Full<Bytes>>>>,
}

impl HttpClient {
    /// Creates a client for `address` without connecting.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    /// Sends one request; a connection that gave no complete response is not reused.
    ///
    /// # Errors
    /// When no complete response arrived within the time limit.
    pub async fn call(&self, call: &Call) -> Result<Reply, CallError> {
        let timeout = Duration::from_millis(call.timeout_ms);
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => {
                // The idle connections may have become unresponsive together with the one just
                // used.
                self.idle.borrow_mut().clear();
                Err(CallError::NoAnswer)
            }
        }
    }

    async fn exchange(&self, call: &Call) -> Result<Reply, CallError> {
        let mut request = self.request(call)?;
        let mut sender = self.sender().await?;
        let interim = InterimLimit::of(&mut request);
        let response = tokio::select! {
            sent = sender.send(request) => sent.map_err(|_| CallError::NoAnswer)?,
            () = interim.exceeded() => return Err(CallError::NoFinalResponse),
        };
        let reply = gather_reply(response, call.max_answer_bytes).await?;
        self.keep(sender);
        Ok(reply)
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, InvalidField> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.to_uri();
        let headers = request.headers_mut();
        insert_text(headers, &HOST, &self.address.to_string())?;
        if !call.body.is_empty() {
            headers.insert(
                CONTENT_TYPE,
                hyper::header::HeaderValue::from_static("application/json"),
            );
        }
        if let Some((name, value)) = &call.header {
            insert_text(headers, name, value)?;
        }
        Ok(request)
    }

    async fn sender(&self) -> Result<Sender<Full<Bytes>>, CallError> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            match idle {
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
                        .map_err(|_| CallError::NotConnected);
                }
            }
        }
    }

    fn keep(&self, sender: Sender<Full<Bytes>>) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
    }
}
