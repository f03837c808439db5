//! Messages between boxes: datagrams that carry states, so that a lost one is made good by
//! the next.

pub mod exchange;
pub mod frame;
