//! Claims on servers, and the load and unload orders sent to them.

pub mod claiming;
pub mod era_mark;
pub mod held_server;
pub mod holder;
pub mod membership;
pub mod quota;
