//! Queue of messages to other boxes.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};

use tinbay_core::serving::servers::ServerKey;
use tokio::sync::Notify;

use super::frame::FramePart;

/// Queued messages, taken together by the sender.
#[derive(Debug, Default)]
pub struct QueuedMessages {
    /// Parts by receiving box.
    pub parts: HashMap<String, Vec<FramePart>>,
    /// Servers that this box holds, with the boxes that receive their status.
    pub statuses: HashMap<ServerKey, HashSet<String>>,
    /// Servers whose holders are to be sent a usage report.
    pub usage_reports: HashSet<ServerKey>,
}

/// Queue of messages to other boxes; a status or usage report is queued once, however often it is
/// requested.
#[derive(Debug, Default)]
pub struct Outbox {
    queued: RefCell<QueuedMessages>,
    message_queued: Notify,
    urgent_queued: Notify,
}

impl Outbox {
    /// Queues a part for a box.
    pub fn post(&self, box_id: &str, part: FramePart) {
        let mut queued = self.queued.borrow_mut();
        queued
            .parts
            .entry(box_id.to_string())
            .or_default()
            .push(part);
        self.message_queued.notify_one();
    }

    /// Queues a part for which a request waits: it is sent at once, together with what else is
    /// queued.
    pub fn post_urgent(&self, box_id: &str, part: FramePart) {
        self.post(box_id, part);
        self.urgent_queued.notify_one();
    }

    /// Queues the status of a server held by this box for another box.
    pub fn post_status(&self, server: ServerKey, box_id: &str) {
        let mut queued = self.queued.borrow_mut();
        let boxes = queued.statuses.entry(server).or_default();
        boxes.insert(box_id.to_string());
        self.message_queued.notify_one();
    }

    /// Queues a usage report for the holder of a server.
    pub fn post_usage(&self, server: ServerKey) {
        self.queued.borrow_mut().usage_reports.insert(server);
        self.message_queued.notify_one();
    }

    /// Waits until a message is queued.
    pub async fn wait(&self) {
        self.message_queued.notified().await;
    }

    /// Waits until a message is queued that must be sent at once.
    pub async fn wait_for_urgent(&self) {
        self.urgent_queued.notified().await;
    }

    /// Takes all queued messages.
    pub fn take(&self) -> QueuedMessages {
        std::mem::take(&mut self.queued.borrow_mut())
    }
}
