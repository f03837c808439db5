//! What is to be told to other boxes with the next messages.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use tinbay_core::serving::servers::ServerKey;
use tokio::sync::Notify;

use super::frame::FramePart;

/// What is to be told with the next messages.
#[derive(Debug, Default)]
pub struct Due {
    /// Parts by the box they go to.
    pub parts: HashMap<String, Vec<FramePart>>,
    /// Servers held here, and the boxes that are to be told their status.
    pub statuses: HashMap<ServerKey, HashSet<String>>,
    /// Servers whose holders are to be told what runs there.
    pub uses: HashSet<ServerKey>,
}

/// What is to be told to other boxes with the next messages.
#[derive(Debug, Default)]
pub struct Outbox {
    due: RefCell<Due>,
    told: Notify,
}

impl Outbox {
    /// Has a part sent to a box.
    pub fn post(&self, box_id: &str, part: FramePart) {
        let mut due = self.due.borrow_mut();
        due.parts.entry(box_id.to_string()).or_default().push(part);
        self.told.notify_one();
    }

    /// Has one box told what a server held here holds.
    pub fn tell_box(&self, server: ServerKey, box_id: &str) {
        let mut due = self.due.borrow_mut();
        let boxes = due.statuses.entry(server).or_default();
        boxes.insert(box_id.to_string());
        self.told.notify_one();
    }

    /// Has the holder of a server told what runs there.
    pub fn tell_uses(&self, server: ServerKey) {
        self.due.borrow_mut().uses.insert(server);
        self.told.notify_one();
    }

    /// Waits until something is due.
    pub async fn wait(&self) {
        self.told.notified().await;
    }

    /// Takes all that is due.
    pub fn take(&self) -> Due {
        std::mem::take(&mut self.due.borrow_mut())
    }
}
