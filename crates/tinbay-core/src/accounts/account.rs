//! A client account as operators configure it.

use std::rc::Rc;

use super::key::KeyDigest;
use crate::limits::terms::Limit;

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name, which servers are told.
    pub name: Rc<str>,
    /// Its keys; each one alone lets a request in.
    pub keys: Vec<KeyDigest>,
    /// Its rank, 0 first; it goes before that of the route.
    pub priority: u8,
    /// What its limit counts.
    pub unit: LimitUnit,
    /// What it may ask for over all boxes; none where that is not limited.
    pub limit: Option<Limit>,
}

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests.
    Requests,
    /// Tokens read and made.
    Tokens {
        /// What a request counts that does not say how many.
        plain_tokens: u64,
    },
}

impl LimitUnit {
    /// What one request counts; `tokens` are those it says that it reads and makes.
    pub fn cost(self, tokens: Option<u64>) -> f64 {
        match self {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { plain_tokens } => tokens.unwrap_or(plain_tokens) as f64,
        }
    }
}
