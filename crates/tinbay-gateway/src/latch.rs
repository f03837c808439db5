//! A one-shot flag that any number of tasks can wait for.

use tokio::sync::watch;

/// A one-shot flag; it stays set.
#[derive(Debug)]
pub struct Latch {
    sender: watch::Sender<bool>,
}

impl Default for Latch {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }
}

impl Latch {
    /// Sets the flag and wakes all waiting tasks.
    pub fn set(&self) {
        self.sender.send_replace(true);
    }

    /// Waits until the flag is set; returns at once if it is already.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        let _ = receiver.wait_for(|is_set| *is_set).await;
    }
}
