//! Opens HTTP/1 connections and probes whether an address accepts them.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::buffers::{READ_BYTES, limit_server_buffers};
use super::fair_stream::FairStream;
use super::head_lines::HeadLines;
use super::sender::Sender;
use super::silence::end_when_silent;

/// Idle time after which keepalive probes start; watches and long responses are regularly without
/// traffic for about as long.
const KEEPALIVE_IDLE: Duration = Duration::from_millis(1_000);

/// Result of a connection attempt to an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was accepted.
    Takes,
    /// The connection was refused: no process listens on the address.
    Refuses,
    /// The attempt timed out or failed otherwise, such as for a missing route.
    Silent,
}

impl ProbeOutcome {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ProbeOutcome::Takes => "takes_connections",
            ProbeOutcome::Refuses => "refuses_connections",
            ProbeOutcome::Silent => "silent",
        }
    }
}

/// Opens a TCP connection to `address` and closes it at once.
pub async fn probe(address: SocketAddr, timeout: Duration) -> ProbeOutcome {
    match open(address, timeout).await {
        Ok(_) => ProbeOutcome::Takes,
        Err(outcome) => outcome,
    }
}

/// Opens a TCP connection.
///
/// # Errors
/// How the address answered if the connection was not accepted within `timeout`.
async fn open(address: SocketAddr, timeout: Duration) -> Result<TcpStream, ProbeOutcome> {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Err(ProbeOutcome::Refuses)
        }
        Ok(Err(_)) | Err(_) => Err(ProbeOutcome::Silent),
    }
}

/// Opens a connection. A task drives it until it ends or the returned handle aborts the task.
///
/// # Errors
/// How the address answered if the connection was not accepted within `timeout`.
pub async fn connect<B>(
    address: SocketAddr,
    timeout: Duration,
) -> Result<(Sender<B>, AbortHandle), ProbeOutcome>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let stream = open(address, timeout).await?;
    let _ = stream.set_nodelay(true);
    end_when_silent(&stream, KEEPALIVE_IDLE);
    limit_server_buffers(&stream);
    let head_lines = HeadLines::default();
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(TokioIo::new(FairStream::new(stream, head_lines.clone())));
    let (sender, driver) = handshake.await.map_err(|_| ProbeOutcome::Silent)?;
    let driver = tokio::task::spawn_local(async move {
        let _ = driver.await;
    });
    Ok((Sender::new(sender, head_lines), driver.abort_handle()))
}
