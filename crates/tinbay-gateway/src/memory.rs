//! Counts what this box holds for requests and answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use prometheus::IntGauge;
use tinbay_core::memory::ledger::{ConnectionNumber, Holder, Ledger, MemoryShort};
use tinbay_core::memory::terms::MemoryTerms;

/// What this box holds, against its bounds.
#[derive(Debug)]
pub struct BoxMemory {
    terms: MemoryTerms,
    ledger: RefCell<Ledger>,
    gauge: IntGauge,
    next_connection: Cell<ConnectionNumber>,
}

/// Bytes that are held; given back when it is dropped.
#[derive(Debug)]
pub struct Hold {
    memory: Rc<BoxMemory>,
    holder: Holder,
    bytes: u64,
}

impl BoxMemory {
    /// A box that holds nothing; `gauge` shows what it holds.
    pub fn new(terms: MemoryTerms, gauge: IntGauge) -> Self {
        Self {
            terms,
            ledger: RefCell::default(),
            gauge,
            next_connection: Cell::default(),
        }
    }

    /// A number for one more connection of a caller.
    pub fn number_connection(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        number
    }

    /// Takes bytes of a request, if there is room.
    ///
    /// # Errors
    /// What there is too little room in.
    pub fn admit(self: &Rc<Self>, holder: Holder, bytes: u64) -> Result<Hold, MemoryShort> {
        self.ledger.borrow().admit(&self.terms, holder, bytes)?;
        Ok(self.hold(holder, bytes))
    }

    /// Counts bytes that are there already.
    pub fn hold(self: &Rc<Self>, holder: Holder, bytes: u64) -> Hold {
        let mut hold = Hold {
            memory: Rc::clone(self),
            holder,
            bytes: 0,
        };
        hold.resize(bytes);
        hold
    }

    /// Bytes by which slow callers have to be cut.
    pub fn excess_bytes(&self) -> u64 {
        self.ledger.borrow().excess_bytes(&self.terms)
    }

    fn show(&self) {
        let bytes = self.ledger.borrow().total_bytes();
        self.gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }
}

impl Hold {
    /// Bytes held.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Holds so many bytes from now on, if those are more.
    pub fn grow_to(&mut self, bytes: u64) {
        self.resize(bytes.max(self.bytes));
    }

    /// Holds so many bytes from now on.
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
        self.memory.show();
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.resize(0);
    }
}
