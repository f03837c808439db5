//! Client accounts: authentication by API key, priorities and limits.
//!
//! No I/O, and no clock: callers pass times in, as milliseconds of a monotonic clock.

pub mod account;
pub mod key;
pub mod key_check;
pub mod priority;
pub mod table;
