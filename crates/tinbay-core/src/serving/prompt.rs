//! The prompt of a request, as far as the request describes it.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Id of the content of a prompt part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

/// One part of a prompt; different requests may share parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// The prompt parts that several requests may share: all but the last part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrefix {
    /// Hash over the ids of these parts.
    pub key: u64,
    /// Total length in tokens.
    pub tokens: u32,
}

/// Number of tokens that a request declares to read and may generate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TokenCount {
    /// Not declared.
    #[default]
    Undeclared,
    /// The declared number.
    Declared(u64),
    /// Declared in a form that cannot be parsed.
    Unreadable,
}

/// The prompt of a request; empty where the request does not describe it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Length of the whole prompt in tokens.
    pub tokens: u32,
    /// Parts in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Tokens read and generated, as counted by the limits of client accounts.
    pub count: TokenCount,
}

impl Prompt {
    /// The parts that other requests may share: all but the last one.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The part of the prompt that other requests may share; none if the prompt has only its own
    /// part.
    pub fn shared_prefix(&self) -> Option<SharedPrefix> {
        let shared = self.shared_parts();
        let tokens = shared.iter().map(|part| part.tokens).sum();
        let key = shared.iter().fold(0, |key: u64, part| {
            xxh3_64_with_seed(&part.id.0.to_le_bytes(), key)
        });
        (tokens > 0).then_some(SharedPrefix { key, tokens })
    }
}
