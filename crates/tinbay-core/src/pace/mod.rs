//! How fast servers are: answer times of a service, and one server's speed against them.
//!
//! Load it answers: a few servers of a service with short work, each slow for spells of some
//! hundred milliseconds, and answers that must come within a few times the work.

pub mod answer_times;
pub mod slowness;
