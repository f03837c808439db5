//! Finds connections that went silent without an end.
//!
//! A link may drop a connection's packets for good while new connections work, and neither side
//! is told. Probes of the kernel then end the connection as if it had been reset.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Pause between probes that go without an answer; round trips take a few milliseconds, and a
/// link that loses packets may lose one or two in a row.
const PROBE_PAUSE: Duration = Duration::from_millis(1_000);

/// Probes and other packets without an answer for so long end the connection: longer than short
/// cuts of a link, so that an answer can still come after one.
const SILENT_FOR: Duration = Duration::from_millis(4_000);

/// Has the kernel end a connection on which nothing is acknowledged, probing it when it has
/// rested for `rest`.
pub fn end_when_silent(stream: &TcpStream, rest: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time(rest)
        .with_interval(PROBE_PAUSE);
    let socket = SockRef::from(stream);
    let result = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENT_FOR)));
    if let Err(error) = result {
        log::debug!("connection without probes: {error}");
    }
}
