//! Limits on the kernel and HTTP buffers of one connection.
//!
//! The kernel grows socket buffers to several megabytes per connection by default. Unread bytes
//! there take memory of the box that the gateway does not account for.

use socket2::SockRef;
use std::os::fd::AsFd;

/// Size limit of the HTTP read buffer of a server connection, into which the head of an answer has to
/// fit. Answers that are passed on without being read ahead hold one or two of these, which nothing
/// else accounts for.
pub const READ_BYTES: usize = 32_768;

/// Receive buffer size requested for server connections; the kernel doubles it for its own
/// overhead. Hundreds of full ones fit into the memory of a small box, and a server a few
/// milliseconds away can still send several megabytes per second.
const RECEIVE_BUFFER_BYTES: usize = 32_768;

/// Limit of unsent bytes in a socket's send buffer (`TCP_NOTSENT_LOWAT`).
const UNSENT_BYTES: u32 = 131_072;

/// Upper bound of the bytes buffered for an unread response in addition to those read ahead: kernel
/// buffers and one HTTP buffer, each on the server's and the caller's side.
pub const UNREAD_BUFFER_BYTES: u64 =
    2 * RECEIVE_BUFFER_BYTES as u64 + UNSENT_BYTES as u64 + 2 * READ_BYTES as u64;

/// Limits the kernel's receive and unsent buffers of a connection to a server.
pub fn limit_server_buffers(stream: &impl AsFd) {
    let socket = SockRef::from(stream);
    let result = socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .and_then(|()| socket.set_tcp_notsent_lowat(UNSENT_BYTES));
    if let Err(error) = result {
        log::debug!(
            "could not limit a server connection's socket buffers; keeping the defaults: {error}"
        );
    }
}

/// Limits the kernel's unsent bytes on all connections that a listener accepts from callers.
pub fn limit_unsent_bytes(listener: &impl AsFd) {
    let socket = SockRef::from(listener);
    if let Err(error) = socket.set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!(
            "could not limit unsent bytes of caller connections; keeping the default: {error}"
        );
    }
}
