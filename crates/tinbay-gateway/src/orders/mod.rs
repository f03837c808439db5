//! Claims on servers, and orders to them.

pub mod claiming;
pub mod holder;
pub mod load;
pub mod membership;
pub mod memory;
pub mod quota;
