//! Control messages between boxes, over zeromq with postcard.
//!
//! A box serves requests on one ROUTER socket and sends its own over one DEALER socket per peer,
//! so several requests to one peer may be in flight at once. All sockets live on the control
//! thread; other threads send requests through a [`ControlClient`].

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
    /// Adds the length of all frames of a message.
    pub fn add_message(&self, message: &ZmqMessage) {
        self.add(message.iter().map(|frame| frame.len()).sum());
    }

    /// Adds a number of bytes to the total.
    pub fn add(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes counted since the process started.
    pub fn total(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// Default timeout of a control request; requests that wait for an event at the peer set their own.
pub const ASK_WITHIN: Duration = Duration::from_millis(800);
