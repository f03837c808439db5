//! A client account as operators configure it.

use std::rc::Rc;

use super::key::KeyDigest;
use crate::limits::terms::Limit;

/// A client account, with its keys and its rate limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Unique name, which is passed on to servers.
    pub name: Rc<str>,
    /// Digests of its API keys, any of which authenticates a request.
    pub keys: Vec<KeyDigest>,
    /// Priority, 0 first. It takes precedence over that of the route.
    pub priority: u8,
    /// Unit of its limit.
    pub unit: LimitUnit,
    /// Fleet-wide rate limit; absent if the account is not limited.
    pub limit: Option<Limit>,
}

/// Unit that a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts 1.
    Requests,
    /// Each request counts its prompt and completion tokens.
    Tokens {
        /// Cost of a request that does not state its tokens.
        plain_tokens: u64,
    },
}

impl LimitUnit {
    /// Cost of one request; `tokens` is the number that it states, if any.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { plain_tokens } => tokens.unwrap_or(plain_tokens) as f64,
        }
    }
}
