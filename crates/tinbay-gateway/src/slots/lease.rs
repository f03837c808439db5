//! A slot of a brittle server that this box may use for one request.

use std::cell::Cell;
use std::rc::Rc;

use tinbay_core::slots::home::LeaseEnd;
use tinbay_core::units::Millis;

use super::Slots;

/// A leased slot; it is returned to its home when dropped.
#[derive(Debug)]
pub struct SlotLease {
    slots: Rc<Slots>,
    number: u32,
    send_by_ms: Millis,
    end: Cell<LeaseEnd>,
}

impl SlotLease {
    pub(super) fn new(slots: Rc<Slots>, number: u32, send_by_ms: Millis) -> Self {
        Self {
            slots,
            number,
            send_by_ms,
            end: Cell::default(),
        }
    }

    /// Whether a request may still be sent on it.
    pub fn may_send(&self, now_ms: Millis) -> bool {
        now_ms < self.send_by_ms
    }

    /// Records how the server treated the request.
    pub fn record_end(&self, end: LeaseEnd) {
        self.end.set(end);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.slots.end(self.number, self.end.get());
    }
}
