//! Response times of a service, and the speed of each server compared with them.
//!
//! A few servers of a service with short requests may each be slow for some hundred milliseconds,
//! while answers must arrive within a few times the processing time.

pub mod answer_times;
pub mod slowness;
