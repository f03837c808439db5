//! Orders that may still arrive at their engines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tinbay_core::ids::EngineId;
use tinbay_core::units::Millis;

use crate::util::sync::lock;

/// Time after which an order that was sent has arrived or never will.
pub const ORDER_DELIVERY_MS: Millis = 2_000;

/// The orders of this box that have no answer yet.
#[derive(Default)]
pub struct OrdersUnderWay {
    sent: Mutex<SentOrders>,
}

#[derive(Default)]
struct SentOrders {
    next: u64,
    /// Engine of each order and when it was begun, by its number.
    by_number: HashMap<u64, (EngineId, Millis)>,
}

impl SentOrders {
    fn forget_delivered(&mut self, now_ms: Millis) {
        self.by_number
            .retain(|_, (_, begun_ms)| now_ms < *begun_ms + ORDER_DELIVERY_MS);
    }
}

impl OrdersUnderWay {
    /// Records an order that is about to be sent.
    pub fn begin(self: &Arc<Self>, engine: &EngineId, now_ms: Millis) -> OrderUnderWay {
        let mut sent = lock(&self.sent);
        sent.forget_delivered(now_ms);
        let number = sent.next;
        sent.next += 1;
        sent.by_number.insert(number, (engine.clone(), now_ms));
        OrderUnderWay {
            all: Arc::clone(self),
            number,
        }
    }

    /// Whether an order may still arrive at the engine.
    pub fn may_arrive(&self, engine: &EngineId, now_ms: Millis) -> bool {
        let mut sent = lock(&self.sent);
        sent.forget_delivered(now_ms);
        let mut engines = sent.by_number.values().map(|(engine, _)| engine);
        engines.any(|ordered| ordered == engine)
    }
}

/// An order that was sent. Unless it is ended, it counts as under way for [`ORDER_DELIVERY_MS`].
pub struct OrderUnderWay {
    all: Arc<OrdersUnderWay>,
    number: u64,
}

impl OrderUnderWay {
    /// Ends the order: the engine has answered it, or it was not sent.
    pub fn end(self) {
        lock(&self.all.sent).by_number.remove(&self.number);
    }
}
