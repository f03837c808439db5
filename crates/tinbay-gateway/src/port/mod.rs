//! Traits that the deployment implements for the gateway.

pub mod dialect;
pub mod store;
