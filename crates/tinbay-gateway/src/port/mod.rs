//! Traits that the adapter of a platform implements for the gateway.

pub mod dialect;
pub mod store;
