//! HTTP/1 client and body types on hyper: buffered calls, connection pools for backend servers, and
//! bodies streamed between callers and servers.

pub mod body;
pub mod buffers;
pub mod call;
pub mod connect;
pub mod fair_stream;
pub mod field;
pub mod framing;
pub mod gather;
pub mod head;
pub mod head_lines;
pub mod hop_headers;
pub mod interim;
pub mod pool;
pub mod pooled;
pub mod pump;
pub mod relay;
pub mod reuse;
pub mod sender;
pub mod silence;
pub mod target;
