//! What tinbay's programs share around the HTTP library.

pub mod body;
pub mod client;
pub mod server;
pub mod stream;
