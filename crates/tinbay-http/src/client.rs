//! HTTP client with one connection pool per thread.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::time::Seconds;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::body::{BodyError, read_body};
use crate::head::{HeadError, check_head};

/// Maximum number of connections of a thread to one peer.
const CONNECTIONS_PER_PEER: usize = 4_096;

/// Time after which an idle connection is closed. It is shorter than the servers' keep-alive time,
/// so that a request is rarely sent on a connection that the server is closing.
const IDLE_TIMEOUT: Seconds = Seconds(15);

/// Longest response body that is read as a whole.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

thread_local! {
    static POOLED: RefCell<Option<Client>> = const { RefCell::new(None) };
    static FRESH: RefCell<Option<Client>> = const { RefCell::new(None) };
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened, so nothing was sent.
    #[error("could not connect")]
    NotConnected,
    /// The connection failed after the request may have been sent.
    #[error("connection broke")]
    Broken,
    /// The response did not arrive in time; the request may have been sent.
    #[error("no answer in time")]
    TimedOut,
    /// The head of the response is refused; the request may have been received.
    #[error(transparent)]
    InvalidHead(#[from] HeadError),
    /// The response body could not be decoded.
    #[error("answer not understood")]
    NotUnderstood,
    /// The peer responded with this status.
    #[error("peer answered {0}")]
    Status(u16),
}

impl CallError {
    /// Returns whether the peer certainly never received the request.
    pub fn is_not_sent(self) -> bool {
        self == CallError::NotConnected
    }
}

/// Returns this thread's client with a pool of connections.
pub async fn pooled_client() -> Client {
    if let Some(client) = POOLED.with_borrow(Clone::clone) {
        return client;
    }
    let client = build(IDLE_TIMEOUT).await;
    POOLED.set(Some(client.clone()));
    client
}

/// Returns this thread's client that opens a new connection for every call, for requests that must
/// not be repeated: if a pooled connection is closed by the peer during the call, it is unknown
/// whether the request was received.
pub async fn fresh_client() -> Client {
    if let Some(client) = FRESH.with_borrow(Clone::clone) {
        return client;
    }
    let client = build(Seconds(0)).await;
    FRESH.set(Some(client.clone()));
    client
}

async fn build(idle_timeout: Seconds) -> Client {
    let connector = Connector::new()
        .limit(CONNECTIONS_PER_PEER)
        .keep_alive(idle_timeout);
    let built = Client::builder()
        .connector::<Connector>(connector)
        .disable_timeout()
        .disable_redirects()
        .response_payload_limit(MAX_ANSWER_BYTES)
        .build(ntex::SharedCfg::default())
        .await;
    match built {
        Ok(client) => client,
        Err(_) => Client::new().await,
    }
}

/// Waits for the status and headers of a response.
///
/// # Errors
/// Returns a [`CallError`], which tells whether the request may have been sent.
pub async fn await_head(
    call: impl Future<Output = Result<ClientResponse, ClientError>>,
    within: Duration,
) -> Result<ClientResponse, CallError> {
    match tokio::time::timeout(within, call).await {
        Err(_) => Err(CallError::TimedOut),
        Ok(Ok(response)) => {
            check_head(&response)?;
            Ok(response)
        }
        // A disconnect without a cause is not a failed connect: the peer closed the connection
        // after the request was sent.
        Ok(Err(ClientError::Connect(ConnectError::Disconnected(None)))) => Err(CallError::Broken),
        Ok(Err(ClientError::Connect(_) | ClientError::Url(_))) => Err(CallError::NotConnected),
        Ok(Err(_)) => Err(CallError::Broken),
    }
}

/// Reads the JSON body of a successful response.
///
/// # Errors
/// Returns [`CallError::Status`] for any other status, or the error of [`read_any`].
pub async fn read_answer<T: DeserializeOwned>(response: &ClientResponse) -> Result<T, CallError> {
    let status = response.status();
    if !status.is_success() {
        return Err(CallError::Status(status.as_u16()));
    }
    read_any(response).await
}

/// Reads the JSON body of a response with any status.
///
/// # Errors
/// [`CallError::Broken`] or [`CallError::NotUnderstood`].
pub async fn read_any<T: DeserializeOwned>(response: &ClientResponse) -> Result<T, CallError> {
    let body = read_body(response.take_payload(), MAX_ANSWER_BYTES)
        .await
        .map_err(|error| match error {
            BodyError::Broken => CallError::Broken,
            _ => CallError::NotUnderstood,
        })?;
    serde_json::from_slice(&body).map_err(|_| CallError::NotUnderstood)
}

/// Fetches a JSON document.
///
/// # Errors
/// Any [`CallError`].
pub async fn get_json<T: DeserializeOwned>(url: &str, within: Duration) -> Result<T, CallError> {
    let request = pooled_client().await.request(Method::GET, url);
    with_timeout(within, exchange(request.send(), within)).await
}

/// Fetches a text.
///
/// # Errors
/// Any [`CallError`].
pub async fn get_text(url: &str, within: Duration) -> Result<String, CallError> {
    let request = pooled_client().await.request(Method::GET, url);
    let read = async {
        let response = await_head(request.send(), within).await?;
        let body = read_body(response.take_payload(), MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| CallError::Broken)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    };
    with_timeout(within, read).await
}

/// Posts a JSON document and decodes the JSON response.
///
/// # Errors
/// Any [`CallError`].
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    body: &B,
    within: Duration,
) -> Result<T, CallError> {
    let request = pooled_client().await.request(Method::POST, url);
    with_timeout(within, exchange(send_json(request, body), within)).await
}

/// Sends a request with a JSON body.
///
/// # Errors
/// Returns the error of the HTTP library.
pub async fn send_json<B: Serialize>(
    request: ClientRequest,
    body: &B,
) -> Result<ClientResponse, ClientError> {
    request.send_json(body).await
}

async fn exchange<T: DeserializeOwned>(
    call: impl Future<Output = Result<ClientResponse, ClientError>>,
    within: Duration,
) -> Result<T, CallError> {
    let response = await_head(call, within).await?;
    read_answer(&response).await
}

async fn with_timeout<T>(
    within: Duration,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(within, work).await {
        Ok(result) => result,
        Err(_) => Err(CallError::TimedOut),
    }
}
