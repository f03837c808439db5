//! Claims on backend servers, and the load and unload orders sent to them.
//!
//! A claim is an entry in the store. It makes one box the holder of a server, the only box that may
//! send orders to it.

pub mod claiming;
pub mod era_mark;
pub mod held_server;
pub mod holder;
pub mod membership;
pub mod quota;
pub mod releasing;
pub mod undelivered;
