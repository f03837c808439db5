//! Tracks orders without an answer: they may have been accepted, or may be accepted later.
//!
//! A server accepts an order only at the order count that it names, so of all orders sent for one
//! count at most one is accepted. While such an order may still be carried out, no other order is
//! sent for its count. The contents of the server at a count are then known whichever attempt was
//! accepted, and a delayed order never finds the count that it names with other contents.

use std::collections::BTreeMap;

use super::{Action, OrderAnswer};
use crate::serving::servers::AdapterName;
use crate::units::Millis;

/// How long an order without an answer may still be carried out.
const DELAYED_ORDER_LIFE_MS: Millis = 15_000;

/// How long a server that left an order unanswered is assumed to go on losing orders or answers.
const LOSS_MEMORY_MS: Millis = 3_000;

/// An order that may still be carried out.
#[derive(Debug, Clone)]
struct UnconfirmedOrder {
    action: Action,
    until_ms: Millis,
    /// Whether it is believed to have been accepted.
    is_accepted: bool,
}

/// Orders to one server that may still be carried out.
#[derive(Debug)]
pub(super) struct UnconfirmedOrders {
    by_count: BTreeMap<u64, UnconfirmedOrder>,
    /// Load polls without an answer: until when each may still be carried out, by the count it
    /// named.
    polls: BTreeMap<u64, Millis>,
    /// Whether an order of the previous holder may still be carried out.
    previous_holder_may_have_orders: bool,
    /// When an order was last left unanswered.
    last_unanswered_ms: Option<Millis>,
}

impl UnconfirmedOrders {
    /// The state for a new holder, which does not know what the previous one sent.
    pub fn new() -> Self {
        Self {
            by_count: BTreeMap::new(),
            polls: BTreeMap::new(),
            previous_holder_may_have_orders: true,
            last_unanswered_ms: None,
        }
    }

    /// Records that an order was sent and not answered.
    pub fn record_unanswered(&mut self, action: &Action, now_ms: Millis) {
        self.last_unanswered_ms = Some(now_ms);
        self.by_count.retain(|_, order| now_ms < order.until_ms);
        let Some(count) = action.expected_count() else {
            return;
        };
        let order = UnconfirmedOrder {
            action: action.clone(),
            until_ms: now_ms + DELAYED_ORDER_LIFE_MS,
            is_accepted: false,
        };
        self.by_count.insert(count, order);
    }

    /// Records that an order that only polls a load was sent and not answered.
    pub fn record_poll_unanswered(&mut self, action: &Action, now_ms: Millis) {
        self.last_unanswered_ms = Some(now_ms);
        self.polls.retain(|_, until_ms| now_ms < *until_ms);
        if let Some(count) = action.expected_count() {
            self.polls.insert(count, now_ms + DELAYED_ORDER_LIFE_MS);
        }
    }

    /// Whether the server recently left orders unanswered.
    pub fn loses_messages(&self, now_ms: Millis) -> bool {
        self.last_unanswered_ms
            .is_some_and(|unanswered_ms| now_ms < unanswered_ms + LOSS_MEMORY_MS)
    }

    /// The order that may still be carried out at a count.
    pub fn at(&self, count: u64, now_ms: Millis) -> Option<&Action> {
        let order = self.by_count.get(&count)?;
        (now_ms < order.until_ms).then_some(&order.action)
    }

    /// Number of loads that may still be carried out at counts above `count`.
    pub fn loads_after(&self, count: u64, now_ms: Millis) -> usize {
        let after = self.by_count.range(count + 1..);
        let is_load = |order: &&UnconfirmedOrder| {
            matches!(order.action, Action::Load { .. }) && now_ms < order.until_ms
        };
        after.map(|(_, order)| order).filter(is_load).count()
    }

    /// Records the server's order count: orders that named a lower count can no longer be carried
    /// out. Returns the adapters of those unloads among them that are not known to have been
    /// accepted.
    pub fn record_count(&mut self, count: u64) -> Vec<AdapterName> {
        let later = self.by_count.split_off(&count);
        let outdated = std::mem::replace(&mut self.by_count, later);
        outdated
            .into_iter()
            .filter(|(count, order)| !order.is_accepted && !self.polls.contains_key(count))
            .filter_map(|(_, order)| match order.action {
                Action::Unload { adapter, .. } => Some(adapter),
                _ => None,
            })
            .collect()
    }

    /// Records that an order is believed to have been accepted.
    pub fn record_accepted(&mut self, action: &Action) {
        let count = action.expected_count();
        if let Some(order) = count.and_then(|count| self.by_count.get_mut(&count)) {
            order.is_accepted = true;
        }
    }

    /// Whether a conflict after unanswered attempts of an order proves that one of them was
    /// accepted: no order of another holder and no poll may have been accepted at its count.
    pub fn proves_accepted(&self, action: &Action, now_ms: Millis) -> bool {
        let is_polled = action.expected_count().is_some_and(|count| {
            let until_ms = self.polls.get(&count);
            until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        });
        !self.previous_holder_may_have_orders && !is_polled
    }

    /// Records an answer of the server. An accepted order proves that nothing sent by an earlier
    /// holder can still be carried out.
    pub fn record_answer(&mut self, answer: OrderAnswer) {
        if answer == OrderAnswer::Accepted {
            self.previous_holder_may_have_orders = false;
        }
    }
}
