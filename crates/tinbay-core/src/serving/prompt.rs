//! What a request has an engine read.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One part of a prompt; requests share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What several requests have in common: the parts before a prompt's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Names all these parts together.
    pub key: u64,
    /// Their length.
    pub tokens: u32,
}

/// How many tokens a request says that it reads and may make together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TokenCount {
    /// It does not say.
    #[default]
    NotSaid,
    /// So many.
    Said(u64),
    /// What it says can't be read.
    Unreadable,
}

/// What a request has an engine read; empty where it does not say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt.
    pub tokens: u32,
    /// Its parts in order; the last is the request's own.
    pub parts: Vec<PromptPart>,
    /// Tokens read and made, which limits of client accounts count.
    pub count: TokenCount,
}

impl Prompt {
    /// What the prompt may have in common with others; none where all of it is its own.
    pub fn shared_prefix(&self) -> Option<SharedPrefix> {
        let (_, shared) = self.parts.split_last()?;
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let key = shared.iter().fold(0, |key: u64, part| {
            xxh3_64_with_seed(&part.id.to_le_bytes(), key)
        });
        (tokens > 0).then_some(SharedPrefix { key, tokens })
    }
}
