//! What became of the requests of many boxes' logs: how many were in time, late, failed or refused,
//! by what, and where their time went.
//!
//! Lines are read one at a time and only counts are kept, so that logs of any length fit.

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
