//! Operators' policies: short Rhai programs that set the rank, maximum wait and repeatability of
//! requests.
//!
//! A program defines `classify(request)` and may define `settings()`. `request` has the fields
//! `class`, `rank`, `urgent`, `max_wait_ms`, `repeatable`, `organisation`, `adapter`,
//! `prompt_bytes` and `max_tokens`. `classify` returns a map with any of `rank`, `max_wait_ms` and
//! `repeatable`; fields left out keep the value of the class. A program can revoke the
//! repeatability of a class, but not grant it.

mod program;

pub use program::Policy;

use serde::{Deserialize, Serialize};

use crate::units::Millis;

/// Input of a policy.
#[derive(Debug, Clone, Copy)]
pub struct PolicyRequest<'a> {
    /// Name of the priority class.
    pub class: &'a str,
    /// Organisation of the caller.
    pub organisation: &'a str,
    /// Name of the requested adapter.
    pub adapter: &'a str,
    /// Length of the prompt in bytes.
    pub prompt_bytes: usize,
    /// Maximum number of completion tokens.
    pub max_tokens: u32,
    /// Treatment by the class alone.
    pub base: Treatment,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Treatment {
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Whether a person waits for the answer, as opposed to batch work.
    pub urgent: bool,
    /// Maximum wait before the request starts.
    pub max_wait_ms: Millis,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// Scheduler settings returned by a policy.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    /// From 0 to 1: 1 considers load stalls only, 0 batch efficiency only.
    pub stall_weight: f64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self { stall_weight: 0.5 }
    }
}

/// A policy program is invalid or failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PolicyError {
    /// The program does not compile.
    #[error("line {line}, column {column}: {reason}")]
    Syntax {
        /// Line, from 1; 0 when not known.
        line: usize,
        /// Column, from 1; 0 when not known.
        column: usize,
        /// Message of the compiler.
        reason: String,
    },
    /// The program failed at run time.
    #[error("line {line}, column {column}: {reason}")]
    Run {
        /// Line, from 1; 0 when not known.
        line: usize,
        /// Column, from 1; 0 when not known.
        column: usize,
        /// Message of the interpreter.
        reason: String,
    },
    /// The program defines no `classify` with one parameter.
    #[error("the program defines no classify(request)")]
    NoClassify,
    /// The program returned a value outside the allowed range.
    #[error("{field} must be {allowed}")]
    Value {
        /// Name of the returned field.
        field: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}
