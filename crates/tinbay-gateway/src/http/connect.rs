//! Opens a connection with a handle of its own.

use std::error::Error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::buffers::{READ_BYTES, bound_own};
use super::silence::end_when_silent;

/// Rest after which a connection of our own is probed: watches and long answers are silent for
/// about as long.
const PROBED_REST: Duration = Duration::from_millis(1_000);

/// What an address does with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It takes it.
    Takes,
    /// It refuses it: no process listens there.
    Refuses,
    /// Nothing is heard of it, or the way there fails.
    Silent,
}

impl ProbeOutcome {
    /// Name for logs and measures.
    pub fn name(self) -> &'static str {
        match self {
            ProbeOutcome::Takes => "takes_connections",
            ProbeOutcome::Refuses => "refuses_connections",
            ProbeOutcome::Silent => "silent",
        }
    }
}

/// Tries a connection and closes it again.
pub async fn probe(address: SocketAddr, within: Duration) -> ProbeOutcome {
    match tokio::time::timeout(within, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeOutcome::Takes,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeOutcome::Refuses,
        Ok(Err(_)) | Err(_) => ProbeOutcome::Silent,
    }
}

/// Opens a connection; none when it does not stand in time. Its driver runs until the
/// connection ends or the handle aborts it.
pub async fn connect<B>(
    address: SocketAddr,
    within: Duration,
) -> Option<(SendRequest<B>, AbortHandle)>
where
    B: Body + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(within, connecting).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    end_when_silent(&stream, PROBED_REST);
    bound_own(&stream);
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, driver) = handshake.await.ok()?;
    let driver = tokio::task::spawn_local(async move {
        let _ = driver.await;
    });
    Some((sender, driver.abort_handle()))
}
