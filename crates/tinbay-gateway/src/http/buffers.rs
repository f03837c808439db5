//! Bounds on what the kernel and HTTP hold of one connection.
//!
//! The kernel's own bounds grow to some megabytes a connection. Bytes that nobody reads would wait there
//! uncounted, in the box's memory.

use socket2::SockRef;
use std::os::fd::AsFd;

/// Longest piece of an answer that is read from a server at once.
pub const READ_BYTES: usize = 131_072;

/// What the kernel may take from a server ahead of what is read, as it is set; it holds twice that with
/// its own overhead. A server a few milliseconds away fills a link of 100 MB/s with it.
const RECEIVE_BYTES: usize = 262_144;

/// What the kernel takes to be sent beyond what the other side has room for.
const UNSENT_BYTES: u32 = 131_072;

/// Most that is held of an answer that nobody reads, besides what is read ahead: in the kernel on both
/// sides, and a piece with HTTP on both sides.
pub const BESIDE_BYTES: u64 =
    2 * RECEIVE_BYTES as u64 + UNSENT_BYTES as u64 + 2 * READ_BYTES as u64;

/// Bounds what the kernel takes from a server, and what it takes to be sent there.
pub fn bound_own(stream: &impl AsFd) {
    let socket = SockRef::from(stream);
    let result = socket
        .set_recv_buffer_size(RECEIVE_BYTES)
        .and_then(|()| socket.set_tcp_notsent_lowat(UNSENT_BYTES));
    if let Err(error) = result {
        log::debug!("connection without bounds: {error}");
    }
}

/// Bounds what the kernel takes to be sent to callers on all connections of a listener.
pub fn bound_unsent(listener: &impl AsFd) {
    let socket = SockRef::from(listener);
    if let Err(error) = socket.set_tcp_notsent_lowat(UNSENT_BYTES) {
        log::debug!("callers' connections without bounds: {error}");
    }
}
