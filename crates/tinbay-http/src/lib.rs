//! HTTP client and server helpers that tinbay's programs share.

pub mod body;
pub mod client;
pub mod head;
pub mod server;
pub mod stream;
