//! How the end of a response body is marked, and how a body ended.

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length.
    Length,
    /// By its last chunk.
    Chunks,
    /// By the end of the connection.
    UntilClose,
}

impl BodyFraming {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyFraming::Length => "length",
            BodyFraming::Chunks => "chunks",
            BodyFraming::UntilClose => "until_close",
        }
    }
}

/// What the head of a response says about its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyFormat {
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether the body is a stream of server-sent events.
    pub is_event_stream: bool,
}

impl BodyFormat {
    /// Whether the connection may carry another response after this one.
    pub fn allows_reuse(&self) -> bool {
        self.framing != BodyFraming::UntilClose
    }
}

/// How a complete body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its length or its last chunk says.
    Marked,
    /// With its connection, which the server closed without an error.
    Closed,
}

impl BodyEnd {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::Marked => "marked",
            BodyEnd::Closed => "closed",
        }
    }
}
