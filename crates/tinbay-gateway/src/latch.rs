//! A flag that is set once and waited for by many.

use tokio::sync::watch;

/// A flag that is set once.
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
    /// Sets it.
    pub fn set(&self) {
        self.sender.send_replace(true);
    }

    /// Waits until it is set.
    pub async fn wait(&self) {
        let mut receiver = self.sender.subscribe();
        let _ = receiver.wait_for(|is_set| *is_set).await;
    }
}
