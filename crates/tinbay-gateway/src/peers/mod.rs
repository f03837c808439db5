//! Messages between boxes: requests to the holders of servers, their answers, limits, and failure
//! detection.

pub mod exchange;
pub mod frame;
pub mod gossip;
pub mod inbox;
pub mod outbox;
