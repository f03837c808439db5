//! Response times of a service, and the speed of each server compared with them.
//!
//! Servers of a service with short requests may be slow for some hundred milliseconds at a time,
//! while answers must arrive within a few times the usual response time. A box measures the speed
//! of each server from its own requests and avoids slow ones.

pub mod answer_times;
pub mod slowness;
