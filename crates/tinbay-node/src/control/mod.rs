//! Control messages between boxes, over zeromq with postcard.
//!
//! A box answers others on a ROUTER socket and asks them over a DEALER socket each, so
//! several questions to one peer may be open at once. Both live on the control thread;
//! other threads ask through a [`ControlClient`].

mod client;
mod server;

pub use client::{ControlClient, ControlClientTask, ControlError, run_client};
pub use server::{Answer, ControlServer};

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use zeromq::ZmqMessage;

/// Bytes of control messages sent and received, without the transport's own headers.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    bytes: Arc<AtomicU64>,
}

impl Traffic {
    /// Counts a message as it travels.
    pub fn add_message(&self, message: &ZmqMessage) {
        self.add(message.iter().map(|frame| frame.len()).sum());
    }

    /// Counts bytes.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes so far.
    pub fn total(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// How long a question may take unless it waits for something by its nature.
pub const ASK_WITHIN: Duration = Duration::from_millis(800);
