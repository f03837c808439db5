//! Small helpers with no home of their own.

pub mod clock;
pub mod guarded;
pub mod sync;
