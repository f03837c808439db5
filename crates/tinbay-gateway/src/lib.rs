//! The direct path: callers' requests go from the box they connect to straight to a server.
//!
//! Every box runs the same program on one thread, as the boxes show one core. What differs
//! from one surrounding to another (names, formats, calls) stands behind the traits of
//! [`port`]; what is decided stands in `tinbay_core::serving`.

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
pub mod members;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peers;
pub mod port;
pub mod run;
pub mod servers;
pub mod settings;
pub mod sharing;
pub mod shown_labels;
pub mod waiters;
pub mod watch;
