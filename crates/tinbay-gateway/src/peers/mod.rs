//! Messages between boxes: questions to the holders of servers, their answers, and who lives.

pub mod exchange;
pub mod frame;
pub mod gossip;
pub mod inbox;
pub mod outbox;
