//! Leases of a server's slots, for servers that fail if they have to reject too many requests.
//!
//! What must not exceed the slots is the sum over all boxes. One box, the server's home, leases
//! them out, one for each request that is sent. Shares of the slots would need no messages, but
//! with more boxes than slots a share is less than one request, which is none.
//!
//! No I/O, and no clock: callers pass the time in.

pub mod home;
pub mod waiting;
pub mod window;
