//! Operators' policies: short Rhai programs that say who goes first, what may wait and
//! what must never be repeated.
//!
//! A program defines `classify(request)` and may define `settings()`. `request` has
//! `class`, `rank`, `urgent`, `max_wait_ms`, `repeatable`, `organisation`, `adapter`,
//! `prompt_bytes` and `max_tokens`. `classify` returns a map with any of `rank`,
//! `max_wait_ms` and `repeatable`; what it leaves out stays as the class says. A program
//! can make work less repeatable than its class, never more.

mod program;

pub use program::Policy;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// What a policy sees of a request.
#[derive(Debug, Clone, Copy)]
pub struct PolicyRequest<'a> {
    /// Name of the priority class.
    pub class: &'a str,
    /// Whose request it is.
    pub organisation: &'a str,
    /// The adapter named.
    pub adapter: &'a str,
    /// Length of the prompt.
    pub prompt_bytes: usize,
    /// Tokens asked for at most.
    pub max_tokens: u32,
    /// What the class says.
    pub base: Treatment,
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Treatment {
    /// 0 goes first.
    pub rank: u8,
    /// Counter or desk traffic.
    pub urgent: bool,
    /// How long it may wait before it starts.
    pub max_wait_ms: Millis,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// Settings of the scheduler that a policy chooses.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    /// 1 weighs load stalls only, 0 batch efficiency only.
    pub stall_weight: f64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self { stall_weight: 0.5 }
    }
}

/// What is wrong with a program.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// It does not compile.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line, from 1; 0 when not known.
        line: usize,
        /// Column, from 1; 0 when not known.
        column: usize,
        /// The compiler's words.
        reason: String,
    },
    /// It fails when it runs.
    #[error("line {line}, column {column}: {reason}")]
    Run {
        /// Line, from 1; 0 when not known.
        line: usize,
        /// Column, from 1; 0 when not known.
        column: usize,
        /// The interpreter's words.
        reason: String,
    },
    /// It defines no `classify` with one parameter.
    #[error("the program defines no classify(request)")]
    NoClassify,
    /// It returned something outside the allowed range.
    #[error("{field} must be {allowed}")]
    Value {
        /// The field returned.
        field: &'static str,
        /// What it may be.
        allowed: &'static str,
    },
}
