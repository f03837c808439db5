//! Opens a connection with a handle of its own.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Body;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

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
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::task::spawn_local(async move {
        let _ = driver.await;
    });
    Some((sender, driver.abort_handle()))
}
