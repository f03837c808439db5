//! The program of a box: it forwards callers' requests directly to a backend server.
//!
//! All boxes run this program, on one thread, as a box has one core. Names, formats and calls that
//! depend on the platform are behind the traits of [`port`]; decisions are made in
//! `tinbay_core::serving`.

pub mod answer_metrics;
pub mod clock;
pub mod crashes;
pub mod directory;
pub mod error;
pub mod events;
pub mod front;
pub mod handover;
pub mod housekeeping;
pub mod http;
pub mod latch;
pub mod limits;
pub mod links;
pub mod members;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peers;
pub mod port;
pub mod resumption;
pub mod run;
pub mod servers;
pub mod settings;
pub mod sharing;
pub mod shown_labels;
pub mod slots;
pub mod waiters;
pub mod watch;
