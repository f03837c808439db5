//! Client accounts: whose key a request shows, and how much an account may ask for.
//!
//! Like the rest of the core this does no I/O and reads no clock: times come in as
//! milliseconds of a monotonic clock, decisions go out as values.

pub mod account;
pub mod key;
pub mod key_check;
pub mod priority;
pub mod table;
