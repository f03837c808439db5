//! What a request has an engine read.

/// One part of a prompt; requests share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request has an engine read; empty where it does not say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt.
    pub tokens: u32,
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
}
