//! Buffered calls over a server's connection pool.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;

use super::body::RequestBody;
use super::call::{CallError, MAX_SERVER_ANSWER_BYTES, Reply};
use super::gather::gather_reply;
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
    let exchange = exchange_and_give_back(pool, connection, request);
    let result = tokio::time::timeout(timeout, exchange).await;
    result
        .unwrap_or(Err(ExchangeError::Failed(CallError::NoAnswer)))
        .map_err(ExchangeError::into_call_error)
}

/// Sends one request on a connection and buffers the response, after which the connection is ready
/// for another request.
///
/// # Errors
/// When the request was not sent, or no complete response arrived within the time limit.
pub async fn call_on(
    connection: &mut Connection,
    request: Request<RequestBody>,
    timeout: Duration,
) -> Result<Reply, CallError> {
    let exchange = async {
        let reply = exchange_on(connection, request).await?;
        let ready = connection.sender.ready().await;
        ready.map_err(|_| ExchangeError::Failed(CallError::NoAnswer))?;
        Ok(reply)
    };
    let result = tokio::time::timeout(timeout, exchange).await;
    result
        .unwrap_or(Err(ExchangeError::Failed(CallError::NoAnswer)))
        .map_err(ExchangeError::into_call_error)
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
        match exchange_and_give_back(pool, connection, request).await {
            Ok(reply) => return Ok(reply),
            Err(ExchangeError::Unsent(unsent)) if is_reused => request = *unsent,
            Err(error) => return Err(error.into_call_error()),
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

impl ExchangeError {
    fn into_call_error(self) -> CallError {
        match self {
            ExchangeError::Unsent(_) => CallError::NotConnected,
            ExchangeError::Failed(error) => error,
        }
    }
}

async fn exchange_and_give_back(
    pool: &Rc<Pool>,
    mut connection: Connection,
    request: Request<RequestBody>,
) -> Result<Reply, ExchangeError> {
    let reply = exchange_on(&mut connection, request).await?;
    pool.give_back(connection, None);
    Ok(reply)
}

async fn exchange_on(
    connection: &mut Connection,
    mut request: Request<RequestBody>,
) -> Result<Reply, ExchangeError> {
    let interim = InterimLimit::of(&mut request);
    let sent = tokio::select! {
        sent = connection.sender.send(request) => sent,
        () = interim.exceeded() => return Err(ExchangeError::Failed(CallError::NoFinalResponse)),
    };
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(unsent) => ExchangeError::Unsent(Box::new(unsent)),
        None => ExchangeError::Failed(CallError::NoAnswer),
    })?;
    let gathered = gather_reply(response, MAX_SERVER_ANSWER_BYTES).await;
    gathered.map_err(ExchangeError::Failed)
}
