//! Buffered calls over a server's connection pool.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;

use super::body::RequestBody;
use super::call::{CallError, MAX_SERVER_ANSWER_BYTES, Reply};
use super::gather::gather;
use super::interim::InterimLimit;
use super::pool::{Connection, Pool, ReusableIdle};

/// Sends one request and buffers the response; the connection returns to the pool if it is
/// complete.
///
/// # Errors
/// When no complete response arrived within the time limit.
pub async fn call_pooled(
    pool: &Rc<Pool>,
    max_connections: usize,
    request: Request<RequestBody>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let exchange = exchange(pool, max_connections, request);
    let result = tokio::time::timeout(timeout, exchange).await;
    result.unwrap_or(Err(CallError::NoAnswer))
}

/// Sends one request on an idle connection and buffers the response; opens no connection.
///
/// # Errors
/// When no connection is idle, or no complete response arrived within the time limit.
pub async fn call_idle(
    pool: &Rc<Pool>,
    request: Request<RequestBody>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let connection = pool.take_idle(ReusableIdle::Any);
    let connection = connection.ok_or(CallError::NotConnected)?;
    let exchange = exchange_on(pool, connection, request);
    match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(ExchangeError::Unsent(_))) => Err(CallError::NotConnected),
        Ok(Err(ExchangeError::Failed(error))) => Err(error),
        Err(_) => Err(CallError::NoAnswer),
    }
}

async fn exchange(
    pool: &Rc<Pool>,
    max_connections: usize,
    mut request: Request<RequestBody>,
) -> Result<Reply, CallError> {
    loop {
        let connected = pool.get(max_connections, ReusableIdle::WithinLimit).await;
        let connection = connected.map_err(|_| CallError::NotConnected)?;
        let is_reused = connection.is_reused;
        match exchange_on(pool, connection, request).await {
            Ok(reply) => return Ok(reply),
            Err(ExchangeError::Unsent(unsent)) if is_reused => request = *unsent,
            Err(ExchangeError::Unsent(_)) => return Err(CallError::NotConnected),
            Err(ExchangeError::Failed(error)) => return Err(error),
        }
    }
}

/// Why an exchange on one connection failed.
enum ExchangeError {
    /// The request was not sent.
    Unsent(Box<Request<RequestBody>>),
    /// The request may have been sent.
    Failed(CallError),
}

async fn exchange_on(
    pool: &Rc<Pool>,
    mut connection: Connection,
    mut request: Request<RequestBody>,
) -> Result<Reply, ExchangeError> {
    let interim = InterimLimit::of(&mut request);
    let sent = tokio::select! {
        sent = connection.sender.try_send_request(request) => sent,
        () = interim.exceeded() => return Err(ExchangeError::Failed(CallError::NoFinalResponse)),
    };
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(unsent) => ExchangeError::Unsent(Box::new(unsent)),
        None => ExchangeError::Failed(CallError::NoAnswer),
    })?;
    let (head, body) = response.into_parts();
    let gathered = gather(body, MAX_SERVER_ANSWER_BYTES).await;
    let body = gathered.map_err(ExchangeError::Failed)?;
    pool.give_back(connection, None);
    Ok(Reply {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
    })
}
