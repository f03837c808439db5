//! The decisions of tinbay, free of I/O.
//!
//! Typed events with a time go in, typed commands come out. Nothing here opens a
//! socket, reads a clock, starts a thread or draws hidden randomness, so the same code
//! runs inside a box, under a scripted test and in an experiment on virtual time.

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
pub mod loads;
pub mod memory;
pub mod naive;
pub mod pace;
pub mod policy;
pub mod rendezvous;
pub mod retry;
pub mod route;
pub mod serving;
pub mod sharing;
pub mod silence;
pub mod units;
pub mod vacancy;
pub mod view;
