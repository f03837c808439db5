//! Decisions of the direct path, on which a box sends requests straight to backend servers.
//!
//! Like the rest of the core this does no I/O and reads no clock: times come in as milliseconds of
//! a monotonic clock, and decisions are returned as values.

pub mod brittleness;
pub mod budget;
pub mod capacity;
pub mod claims;
pub mod configuration;
pub mod connections;
pub mod contents;
pub mod decay;
pub mod idle_reuse;
pub mod incarnation;
pub mod lateness;
pub mod notices;
pub mod pacing;
pub mod placement;
pub mod position;
pub mod prefill;
pub mod prompt;
pub mod relays;
pub mod routes;
pub mod server_limit;
pub mod servers;
pub mod spread;
pub mod stream_timing;
pub mod subscribers;
pub mod undelivered;
pub mod versions;
pub mod wanted_loads;
