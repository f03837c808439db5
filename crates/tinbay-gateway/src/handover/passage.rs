//! The bytes of an answer that may move, as they pass: whole events only, so that the next server can go
//! on after the last of them.

use std::cell::{Cell, RefCell};

use bytes::{Bytes, BytesMut};
use tinbay_core::handover::events::EventScanner;
use tokio::sync::Notify;

/// What passes of an answer that may move.
#[derive(Debug, Default)]
pub struct Passage {
    scanner: RefCell<EventScanner>,
    /// What has come of an event that is not whole.
    tail: RefCell<BytesMut>,
    is_open: Cell<bool>,
    is_moving: Cell<bool>,
    has_broken_off: Cell<bool>,
    changed: Notify,
}

impl Passage {
    /// Takes bytes from the server; those that may go on to the caller now.
    pub fn pass(&self, bytes: Bytes) -> Bytes {
        if self.is_open.get() {
            return bytes;
        }
        let whole = self.scanner.borrow_mut().scan(&bytes);
        if whole > 0 {
            self.changed.notify_waiters();
        }
        let mut tail = self.tail.borrow_mut();
        if tail.is_empty() && whole == bytes.len() {
            return bytes;
        }
        tail.extend_from_slice(&bytes[..whole]);
        let passed = if whole > 0 {
            tail.split().freeze()
        } else {
            Bytes::new()
        };
        tail.extend_from_slice(&bytes[whole..]);
        passed
    }

    /// Lets all bytes pass as they come from now on; what was held back until then.
    pub fn open(&self) -> Bytes {
        self.is_open.set(true);
        self.tail.take().freeze()
    }

    /// Number of the last event that went on to the caller.
    pub fn last_id(&self) -> Option<u64> {
        self.scanner.borrow().last_id()
    }

    /// Waits until an event with a number has passed.
    pub async fn wait_for_event(&self) {
        while self.last_id().is_none() {
            self.changed.notified().await;
        }
    }

    /// The server is asked to stop the run: that its answer breaks off is no failure from here on.
    pub fn begin_move(&self) {
        self.is_moving.set(true);
    }

    /// The run stays where it is.
    pub fn end_move(&self) {
        self.is_moving.set(false);
    }

    /// Notes that the server's answer broke off; whether that is part of a move.
    pub fn note_broken_off(&self) -> bool {
        if !self.is_moving.get() {
            return false;
        }
        self.has_broken_off.set(true);
        self.changed.notify_waiters();
        true
    }

    /// Waits until the answer of the server that stops has come whole and broken off.
    pub async fn wait_until_broken_off(&self) {
        while !self.has_broken_off.get() {
            self.changed.notified().await;
        }
    }

    /// Forgets an event that has begun: it comes again from the server that goes on.
    pub fn drop_partial(&self) {
        self.tail.borrow_mut().clear();
        self.scanner.borrow_mut().drop_partial();
    }
}
