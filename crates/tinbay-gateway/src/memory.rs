//! Accounting of the memory that this box holds for requests and answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use prometheus::IntGauge;
use tinbay_core::memory::ledger::{ConnectionNumber, Holder, Ledger, MemoryShort};
use tinbay_core::memory::terms::MemoryTerms;

/// Bytes held by this box, checked against its memory limits.
#[derive(Debug)]
pub struct BoxMemory {
    terms: MemoryTerms,
    ledger: RefCell<Ledger>,
    gauge: IntGauge,
    next_connection: Cell<ConnectionNumber>,
}

/// A reservation of bytes, released on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: Rc<BoxMemory>,
    holder: Holder,
    bytes: u64,
}

impl BoxMemory {
    /// An empty account; `gauge` follows the total number of bytes held.
    pub fn new(terms: MemoryTerms, gauge: IntGauge) -> Self {
        Self {
            terms,
            ledger: RefCell::default(),
            gauge,
            next_connection: Cell::default(),
        }
    }

    /// Assigns a number to a new connection of a caller.
    pub fn number_connection(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        number
    }

    /// Reserves bytes for a request if the limits allow it.
    ///
    /// # Errors
    /// Names the limit that would be exceeded.
    pub fn admit(self: &Rc<Self>, holder: Holder, bytes: u64) -> Result<Reservation, MemoryShort> {
        self.ledger.borrow().admit(&self.terms, holder, bytes)?;
        Ok(self.hold(holder, bytes))
    }

    /// Reserves bytes that are already in memory, without checking the limits.
    pub fn hold(self: &Rc<Self>, holder: Holder, bytes: u64) -> Reservation {
        let mut hold = Reservation {
            memory: Rc::clone(self),
            holder,
            bytes: 0,
        };
        hold.resize(bytes);
        hold
    }

    /// Bytes over the limit, to be freed by cutting answers to slow callers.
    pub fn excess_bytes(&self) -> u64 {
        self.ledger.borrow().excess_bytes(&self.terms)
    }

    fn update_gauge(&self) {
        let bytes = self.ledger.borrow().total_bytes();
        self.gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

impl Reservation {
    /// Size of the reservation.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Grows the reservation to `bytes`; never shrinks it.
    pub fn grow_to(&mut self, bytes: u64) {
        self.resize(bytes.max(self.bytes));
    }

    /// Sets the reservation to `bytes`.
    pub fn resize(&mut self, bytes: u64) {
        if bytes == self.bytes {
            return;
        }
        {
            let mut ledger = self.memory.ledger.borrow_mut();
            if bytes > self.bytes {
                ledger.add(self.holder, bytes - self.bytes);
            } else {
                ledger.take_off(self.holder, self.bytes - bytes);
            }
        }
        self.bytes = bytes;
        self.memory.update_gauge();
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
