//! Traits through which the direct path meets what surrounds it.

pub mod dialect;
pub mod store;
