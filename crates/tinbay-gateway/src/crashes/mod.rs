//! Tells servers that crashed from connections that were only cut.

pub mod check;
