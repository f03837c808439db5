//! Runs that move from the server that read their prompt to another one, within one answer.
//!
//! Who reads for others is drawn alike by all boxes; each box judges by its own streams whether that is
//! needed, and hands over the runs of its own requests. Nothing is kept for it between boxes, and nothing
//! is told: a box that dies takes its requests with it, and servers free copies that nobody asks for.

pub mod drive;
pub mod passage;
pub mod split;
