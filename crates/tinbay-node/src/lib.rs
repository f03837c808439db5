//! One box of tinbay: accepts callers' requests, owns engines and distributes configuration.
//!
//! Every box runs the same program. [`node::start`] starts one; the binary and
//! `tinbay demo` both call it.

mod admin;
pub mod cli;
mod control;
mod controllers;
mod engines;
mod entry;
pub mod error;
mod filters;
pub mod logging;
mod metrics;
pub mod node;
pub mod options;
pub mod owners;
mod platform;
mod state;
pub mod util;
