//! Relays the bytes of an answer whose run may be handed over, in whole events only, so that
//! another server can resume after the last one.

use std::cell::{Cell, RefCell};

use bytes::{Bytes, BytesMut};
use tinbay_core::handover::events::EventScanner;
use tokio::sync::Notify;

/// Bytes of an incomplete event that are held back; a stream with longer ones is not handed over.
const MAX_HELD_BYTES: usize = 65_536;

/// Holds back incomplete events of an answer whose run may be handed over.
#[derive(Debug, Default)]
pub struct EventGate {
    scanner: RefCell<EventScanner>,
    /// The bytes received of an incomplete event.
    tail: RefCell<BytesMut>,
    /// Whether bytes pass without being held back.
    is_open: Cell<bool>,
    is_handing_over: Cell<bool>,
    /// Whether another server is being asked to resume, so that nothing more of the source's answer
    /// may reach the caller.
    is_sealed: Cell<bool>,
    /// Whether the answer of the stopped server was cut off during the handover.
    has_stream_ended: Cell<bool>,
    changed: Notify,
}

impl EventGate {
    /// Takes bytes from the server and returns those to relay to the caller now. An event that is too
    /// long to be held back opens the gate, unless the run is being handed over: then there is no
    /// room until that has ended.
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
        if tail.len() < MAX_HELD_BYTES || self.is_handing_over.get() {
            return passed;
        }
        self.is_open.set(true);
        self.changed.notify_waiters();
        let held = tail.split();
        drop(tail);
        [passed, held.freeze()].concat().into()
    }

    /// Whether more bytes of the server may be held back.
    pub fn has_room(&self) -> bool {
        self.tail.borrow().len() < MAX_HELD_BYTES
    }

    /// Whether the gate is open: bytes of an incomplete event may have reached the caller, so that no
    /// other server can resume.
    pub fn is_open(&self) -> bool {
        self.is_open.get()
    }

    /// Stops holding bytes back, and returns those held so far.
    pub fn open(&self) -> Bytes {
        self.is_open.set(true);
        self.tail.take().freeze()
    }

    /// Id of the last event relayed to the caller.
    pub fn last_id(&self) -> Option<u64> {
        self.scanner.borrow().last_id()
    }

    /// Waits until an event with an id has been relayed or the gate is open.
    pub async fn wait_for_event(&self) {
        while self.last_id().is_none() && !self.is_open() {
            self.changed.notified().await;
        }
    }

    /// Marks that the server is being asked to stop the run; from here on, the end of its answer is
    /// not a failure.
    pub fn begin_handover(&self) {
        self.is_handing_over.set(true);
    }

    /// Ends the relaying of the source's answer: a server is asked to resume after the last event that
    /// has been relayed, and sends all later ones.
    pub fn seal(&self) {
        self.is_sealed.set(true);
    }

    /// Whether nothing more of the source's answer may be read.
    pub fn is_sealed(&self) -> bool {
        self.is_sealed.get()
    }

    /// Marks that the handover is over without a resumed run; from here on, the end of the server's
    /// answer is a failure again.
    pub fn end_handover(&self) {
        self.is_handing_over.set(false);
    }

    /// Records that the server's answer was cut off; returns whether a handover explains that.
    pub fn record_cut_off(&self) -> bool {
        if !self.is_handing_over.get() {
            return false;
        }
        self.has_stream_ended.set(true);
        self.changed.notify_waiters();
        true
    }

    /// Waits until the answer of the stopped server was cut off.
    pub async fn wait_for_stream_end(&self) {
        while !self.has_stream_ended.get() {
            self.changed.notified().await;
        }
    }

    /// Discards an incomplete event, which the server that resumes sends again.
    pub fn drop_partial(&self) {
        self.tail.borrow_mut().clear();
        self.scanner.borrow_mut().drop_partial();
    }
}
