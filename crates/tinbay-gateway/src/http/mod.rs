//! HTTP on hyper: buffered calls, connection pools for servers, streamed bodies.

pub mod body;
pub mod buffers;
pub mod call;
pub mod connect;
pub mod pool;
pub mod pooled;
pub mod pump;
pub mod relay;
pub mod reuse;
pub mod silence;
