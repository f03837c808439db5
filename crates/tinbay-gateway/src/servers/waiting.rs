//! Bytes of requests that a server was sent and has not begun to answer.

use std::cell::Cell;
use std::rc::Rc;

use tinbay_core::memory::waiting;

/// Bytes of this box's requests that wait at one server.
#[derive(Debug, Default)]
pub struct WaitingBytes {
    bytes: Rc<Cell<u64>>,
    bound_bytes: Cell<Option<u64>>,
}

/// Bytes of one request, until the server begins to answer it or it is given up.
#[derive(Debug)]
pub struct WaitingRequest {
    sum: Rc<Cell<u64>>,
    bytes: u64,
}

impl WaitingBytes {
    /// Whether the server may be sent one more request.
    pub fn takes_more(&self) -> bool {
        let bound_bytes = self.bound_bytes.get().unwrap_or(u64::MAX);
        waiting::takes_more(self.bytes.get(), bound_bytes)
    }

    /// Counts a request of one of so many boxes.
    pub fn begin(&self, bytes: u64, boxes: usize) -> WaitingRequest {
        self.bound_bytes.set(Some(waiting::bound_bytes(boxes)));
        self.bytes.set(self.bytes.get() + bytes);
        WaitingRequest {
            sum: Rc::clone(&self.bytes),
            bytes,
        }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.sum.set(self.sum.get() - self.bytes);
    }
}
