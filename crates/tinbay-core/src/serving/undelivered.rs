//! Orders that were sent to servers and may still arrive.
//!
//! A holder that gives up its claim on a server while an order is under way would have the order
//! arrive after those of the next holder, or shortly before them.

use std::collections::HashMap;

use crate::units::Millis;

/// Orders to one address.
#[derive(Debug, Default)]
struct Orders {
    /// Number of orders without an outcome.
    under_way: usize,
    /// Time until which orders whose answers were lost may arrive.
    may_arrive_until_ms: Millis,
}

/// Orders that may still arrive, by the address of the server.
#[derive(Debug)]
pub struct UndeliveredOrders {
    /// Time after which the network no longer delivers what it has not delivered yet.
    delivery_ms: Millis,
    by_address: HashMap<String, Orders>,
}

impl UndeliveredOrders {
    /// No orders; the network delivers what is sent within `delivery_ms` or not at all.
    pub fn new(delivery_ms: Millis) -> Self {
        Self {
            delivery_ms,
            by_address: HashMap::new(),
        }
    }

    /// Records that an order is about to be sent.
    pub fn begin(&mut self, address: &str) {
        let orders = self.by_address.entry(address.to_string()).or_default();
        orders.under_way += 1;
    }

    /// Records the end of the wait for an order's answer. The order may still arrive unless it is
    /// known whether it did.
    pub fn end(&mut self, address: &str, is_outcome_known: bool, now_ms: Millis) {
        let Some(orders) = self.by_address.get_mut(address) else {
            return;
        };
        orders.under_way = orders.under_way.saturating_sub(1);
        if !is_outcome_known {
            orders.may_arrive_until_ms = now_ms + self.delivery_ms;
        }
        if !orders.may_arrive(now_ms) {
            self.by_address.remove(address);
        }
    }

    /// Whether an order to an address may still arrive.
    pub fn may_arrive(&self, address: &str, now_ms: Millis) -> bool {
        let orders = self.by_address.get(address);
        orders.is_some_and(|orders| orders.may_arrive(now_ms))
    }

    /// Drops what can no longer arrive.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_address
            .retain(|_, orders| orders.may_arrive(now_ms));
    }
}

impl Orders {
    fn may_arrive(&self, now_ms: Millis) -> bool {
        self.under_way > 0 || now_ms < self.may_arrive_until_ms
    }
}
