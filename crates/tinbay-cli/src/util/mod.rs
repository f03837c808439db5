//! General-purpose helpers.

pub mod worker;
