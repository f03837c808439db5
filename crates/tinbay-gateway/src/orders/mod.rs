//! Claims on servers, and orders to them.

pub mod book;
pub mod claiming;
pub mod holder;
pub mod membership;
pub mod quota;
