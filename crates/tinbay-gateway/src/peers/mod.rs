//! UDP messages between boxes: requests to the boxes that hold the claims on servers, their
//! answers, limits, and failure detection.

pub mod exchange;
pub mod frame;
pub mod gossip;
pub mod inbox;
pub mod outbox;
