//! Bytes of this box's requests that a backend server has not begun to answer, and the limit on these.

use std::cell::Cell;
use std::rc::Rc;

use tinbay_core::memory::waiting;

/// Bytes of this box's requests that wait at one server.
#[derive(Debug, Default)]
pub struct WaitingBytes {
    bytes: Rc<Cell<u64>>,
    max_bytes: Cell<Option<u64>>,
}

/// Bytes of one request, counted until the server begins to answer it or the request is abandoned.
#[derive(Debug)]
pub struct WaitingRequest {
    sum: Rc<Cell<u64>>,
    bytes: u64,
}

impl WaitingBytes {
    /// Whether one more request may be sent to the server.
    pub fn takes_more(&self) -> bool {
        let max_bytes = self.max_bytes.get().unwrap_or(u64::MAX);
        waiting::takes_more(self.bytes.get(), max_bytes)
    }

    /// Counts a request. The limit depends on the number of boxes, as all of them send to the
    /// server.
    pub fn begin(&self, bytes: u64, boxes: Option<usize>) -> WaitingRequest {
        self.max_bytes.set(Some(waiting::bound_bytes(boxes)));
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
