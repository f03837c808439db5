//! Makes the kernel end TCP connections whose peer no longer responds.
//!
//! A network may silently drop all packets of one connection while new connections work. TCP
//! keepalive and the user timeout make the kernel end such a connection with an error.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Interval between unanswered keepalive probes; round trips take a few milliseconds, and a lossy
/// link may lose one or two probes in a row.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// The kernel ends a connection after this time without acknowledgement; keep-alive probes give up
/// then too, whatever their number. Longer than short network outages, so that a response can still
/// arrive after one, and shorter than the three seconds within which boxes must recover.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Makes the kernel end a connection whose peer acknowledges nothing, with probes after `idle`
/// without traffic.
pub fn end_when_silent(stream: &TcpStream, idle: Duration) {
    let keepalive = TcpKeepalive::new()
        .with_time(idle)
        .with_interval(PROBE_INTERVAL);
    let socket = SockRef::from(stream);
    let result = socket
        .set_tcp_keepalive(&keepalive)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = result {
        log::debug!(
            "could not set keepalive and user timeout; using the connection without: {error}"
        );
    }
}
