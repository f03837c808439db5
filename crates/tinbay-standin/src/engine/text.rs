//! The text that the engine stand-in generates.

use tinbay_core::ids::ModelRef;
use xxhash_rust::xxh3::xxh3_64;

/// The token at a position of a model's answer to a prompt.
pub fn token_text(model: &ModelRef, prompt: &str, position: u64) -> String {
    let seed = format!("{model}\n{prompt}\n{position}");
    format!("{:04x} ", xxh3_64(seed.as_bytes()) & 0xffff)
}

/// The complete answer of a model to a prompt.
pub fn expected_text(model: &ModelRef, prompt: &str, max_tokens: u32) -> String {
    (0..u64::from(max_tokens.max(1)))
        .map(|position| token_text(model, prompt, position))
        .collect()
}
