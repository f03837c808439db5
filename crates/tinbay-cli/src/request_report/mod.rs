//! Summary of the requests in the logs of many boxes: how many were on time, late, failed or
//! refused, with their causes and a breakdown of their time.
//!
//! Lines are read one at a time and only counts are kept, so that memory use does not grow with the
//! length of the logs.

mod analysis;
pub mod class;
pub mod entry;
pub mod lines;
mod print;
pub mod seconds;
pub mod tally;
pub mod times;

pub use analysis::{Analysis, BadCounts, BadExample, LineCounts, Report};
pub use print::to_text;
