//! Control messages between boxes, over zeromq with postcard.
//!
//! A box answers others on a ROUTER socket and asks them over a DEALER socket each, so
//! several questions to one peer may be open at once. Both live on the control thread;
//! other threads ask through a [`ControlClient`].

mod client;
mod server;

pub use client::{ControlClient, ControlClientTask, ControlError, run_client};
pub use server::{Answer, ControlServer};

use std::time::Duration;

/// How long a question may take unless it waits for something by its nature.
pub const ASK_WITHIN: Duration = Duration::from_millis(800);
