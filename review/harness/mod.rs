//! What the cases share: stand-ins of the platform's store, servers and clients, and the processes
//! of the project's program. The standard library alone.
#![allow(dead_code)]

pub mod boxes;
pub mod clients;
pub mod engine;
pub mod fleet;
pub mod http;
pub mod json;
pub mod record;
pub mod store;
