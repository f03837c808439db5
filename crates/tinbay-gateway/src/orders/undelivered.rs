//! The orders of this box that may still arrive at servers.

use std::cell::RefCell;
use std::rc::Rc;

use tinbay_core::serving::undelivered::UndeliveredOrders as Orders;
use tinbay_core::units::Millis;

use crate::clock::Clock;
use crate::http::silence::UNACKNOWLEDGED_TIMEOUT;

/// Time after which an order that was sent has arrived or never will: the kernel ends connections
/// that deliver nothing for so long.
pub const ORDER_DELIVERY_MS: Millis = UNACKNOWLEDGED_TIMEOUT.as_millis() as Millis;

/// The orders of this box that may still arrive, by the address of the server.
#[derive(Debug)]
pub struct UndeliveredOrders {
    clock: Clock,
    orders: RefCell<Orders>,
}

/// An order that is being sent. If it is dropped without a known outcome, it may still arrive.
#[derive(Debug)]
pub struct OrderSend {
    undelivered: Rc<UndeliveredOrders>,
    address: String,
    is_outcome_known: bool,
}

impl UndeliveredOrders {
    /// No orders.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            orders: RefCell::new(Orders::new(ORDER_DELIVERY_MS)),
        }
    }

    /// Records that an order is about to be sent.
    pub fn begin(self: &Rc<Self>, address: &str) -> OrderSend {
        let mut orders = self.orders.borrow_mut();
        orders.tidy(self.clock.now_ms());
        orders.begin(address);
        OrderSend {
            undelivered: Rc::clone(self),
            address: address.to_string(),
            is_outcome_known: false,
        }
    }

    /// Whether an order to an address may still arrive.
    pub fn may_arrive(&self, address: &str) -> bool {
        let orders = self.orders.borrow();
        orders.may_arrive(address, self.clock.now_ms())
    }
}

impl OrderSend {
    /// Records that the order was answered or was not sent.
    pub fn record_outcome(mut self) {
        self.is_outcome_known = true;
    }
}

impl Drop for OrderSend {
    fn drop(&mut self) {
        let now_ms = self.undelivered.clock.now_ms();
        let mut orders = self.undelivered.orders.borrow_mut();
        orders.end(&self.address, self.is_outcome_known, now_ms);
    }
}
