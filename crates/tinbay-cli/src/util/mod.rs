//! Small helpers with no home of their own.

pub mod worker;
