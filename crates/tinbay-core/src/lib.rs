//! The decision logic of tinbay, without I/O.
//!
//! Input is typed events with a timestamp, output is typed commands. Nothing here opens a socket,
//! reads a clock, starts a thread or uses implicit randomness, so that the same code runs in a
//! box, in tests and in simulations on virtual time.

pub mod accounts;
pub mod assemble;
pub mod config;
pub mod crashes;
pub mod engine;
pub mod fence;
pub mod handover;
pub mod hedge;
pub mod ids;
pub mod keys;
pub mod limits;
pub mod links;
pub mod loads;
pub mod memory;
pub mod naive;
pub mod pace;
pub mod policy;
pub mod rendezvous;
pub mod resumption;
pub mod retry;
pub mod route;
pub mod serving;
pub mod sharing;
pub mod silence;
pub mod slots;
pub mod unframed;
pub mod units;
pub mod vacancy;
pub mod view;
