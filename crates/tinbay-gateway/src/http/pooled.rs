//! Buffered calls over a server's connection pool.

use std::rc::Rc;
use std::time::Duration;

use hyper::Request;

use super::body::RequestBody;
use super::call::{CallError, MAX_SERVER_ANSWER_BYTES, Reply};
use super::gather::gather;
use super::interim::InterimLimit;
use super::pool::{Pool, ReusableIdle};

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

async fn exchange(
    pool: &Rc<Pool>,
    max_connections: usize,
    mut request: Request<RequestBody>,
) -> Result<Reply, CallError> {
    loop {
        let connected = pool.get(max_connections, ReusableIdle::WithinLimit).await;
        let mut connection = connected.map_err(|_| CallError::NotConnected)?;
        let interim = InterimLimit::of(&mut request);
        let sent = tokio::select! {
            sent = connection.sender.try_send_request(request) => sent,
            () = interim.exceeded() => return Err(CallError::NoFinalResponse),
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut error) => match error.take_message() {
                Some(unsent) if connection.is_reused => {
                    request = unsent;
                    continue;
                }
                Some(_) => return Err(CallError::NotConnected),
                None => return Err(CallError::NoAnswer),
            },
        };
        let (head, body) = response.into_parts();
        let body = gather(body, MAX_SERVER_ANSWER_BYTES).await?;
        pool.give_back(connection, None);
        return Ok(Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        });
    }
}
