//! Calls other programs over HTTP, with one connection pool a thread.

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

/// Connections a thread may have to one peer.
const CONNECTIONS_PER_PEER: usize = 4_096;

/// An idle connection is given up before the servers close it, so that a request seldom
/// meets a connection that is just being closed.
const IDLE_LIFE: Seconds = Seconds(15);

/// Longest answer that is read as a whole.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

thread_local! {
    static POOLED: RefCell<Option<Client>> = const { RefCell::new(None) };
    static FRESH: RefCell<Option<Client>> = const { RefCell::new(None) };
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection came about: nothing was handed over.
    #[error("could not connect")]
    NotConnected,
    /// The connection broke after something may have been handed over.
    #[error("connection broke")]
    Broken,
    /// No answer in time, after something may have been handed over.
    #[error("no answer in time")]
    TimedOut,
    /// The answer is not what was expected.
    #[error("answer not understood")]
    NotUnderstood,
    /// The peer answered with this status.
    #[error("peer answered {0}")]
    Status(u16),
}

impl CallError {
    /// Whether it is certain that the peer never saw the request.
    pub fn is_not_sent(self) -> bool {
        self == CallError::NotConnected
    }
}

/// The client of this thread, with a pool of connections.
pub async fn pooled_client() -> Client {
    if let Some(client) = POOLED.with_borrow(Clone::clone) {
        return client;
    }
    let client = build(IDLE_LIFE).await;
    POOLED.set(Some(client.clone()));
    client
}

/// The client of this thread that opens a connection for every call, for work that may
/// not be repeated: a pooled connection that is just being closed would leave it unknown
/// whether the work was handed over.
pub async fn fresh_client() -> Client {
    if let Some(client) = FRESH.with_borrow(Clone::clone) {
        return client;
    }
    let client = build(Seconds(0)).await;
    FRESH.set(Some(client.clone()));
    client
}

async fn build(idle_life: Seconds) -> Client {
    let connector = Connector::new()
        .limit(CONNECTIONS_PER_PEER)
        .keep_alive(idle_life);
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

/// Waits for the head of an answer.
///
/// # Errors
/// [`CallError`], which tells whether anything was handed over.
pub async fn await_head(
    call: impl Future<Output = Result<ClientResponse, ClientError>>,
    within: Duration,
) -> Result<ClientResponse, CallError> {
    match tokio::time::timeout(within, call).await {
        Err(_) => Err(CallError::TimedOut),
        Ok(Ok(response)) => Ok(response),
        // Without a cause this is no failed connect: the peer went away after the request was sent.
        Ok(Err(ClientError::Connect(ConnectError::Disconnected(None)))) => Err(CallError::Broken),
        Ok(Err(ClientError::Connect(_) | ClientError::Url(_))) => Err(CallError::NotConnected),
        Ok(Err(_)) => Err(CallError::Broken),
    }
}

/// Reads a JSON answer whose status is a success.
///
/// # Errors
/// [`CallError::Status`] for another status, else as reading fails.
pub async fn read_answer<T: DeserializeOwned>(response: &ClientResponse) -> Result<T, CallError> {
    let status = response.status();
    if !status.is_success() {
        return Err(CallError::Status(status.as_u16()));
    }
    read_any(response).await
}

/// Reads a JSON answer whatever its status.
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

/// Gets a JSON document.
///
/// # Errors
/// Any [`CallError`].
pub async fn get_json<T: DeserializeOwned>(url: &str, within: Duration) -> Result<T, CallError> {
    let request = pooled_client().await.request(Method::GET, url);
    limit(within, exchange(request.send(), within)).await
}

/// Gets a text.
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
    limit(within, read).await
}

/// Posts a JSON document and reads one back.
///
/// # Errors
/// Any [`CallError`].
pub async fn post_json<B: Serialize, T: DeserializeOwned>(
    url: &str,
    body: &B,
    within: Duration,
) -> Result<T, CallError> {
    let request = pooled_client().await.request(Method::POST, url);
    limit(within, exchange(send_json(request, body), within)).await
}

/// Sends a request with a JSON body.
///
/// # Errors
/// As the client library has it.
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

async fn limit<T>(
    within: Duration,
    work: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(within, work).await {
        Ok(result) => result,
        Err(_) => Err(CallError::TimedOut),
    }
}
