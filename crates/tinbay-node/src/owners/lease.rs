//! What this box knows of the lease that it needs for engines that do not check orders.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use tinbay_core::units::Millis;

/// The lease as this box knows it; read right before each order.
#[derive(Debug, Default)]
pub struct BoxLease {
    valid_until_ms: AtomicU64,
    /// Number of times that the lease began. Once it has lapsed, another box may own the engines
    /// that this box owned.
    term: AtomicU64,
    /// Whether the key-value service has failed since the lease lapsed.
    is_in_outage: AtomicBool,
}

impl BoxLease {
    /// Whether the lease is certainly held at `now_ms`.
    pub fn is_certainly_held(&self, now_ms: Millis) -> bool {
        now_ms < self.valid_until_ms.load(Ordering::Acquire)
    }

    /// The current term; it stays the same while the lease is held without a gap.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Acquire)
    }

    /// Whether the lease is certainly held at `now_ms` and has been since `term` was read.
    pub fn is_held_since(&self, term: u64, now_ms: Millis) -> bool {
        // In this order: a new term is stored before the time until which it is valid.
        self.is_certainly_held(now_ms) && self.term() == term
    }

    /// Whether the lease has lapsed in an outage of the key-value service, in which no other box
    /// can take an engine over that does not check orders.
    pub fn has_lapsed_in_outage(&self, term: u64) -> bool {
        self.is_in_outage.load(Ordering::Acquire) && self.term() == term
    }

    /// Records that the lease was acquired or renewed.
    pub fn extend(&self, until_ms: Millis, now_ms: Millis) {
        if !self.is_certainly_held(now_ms) {
            self.term.fetch_add(1, Ordering::AcqRel);
        }
        self.is_in_outage.store(false, Ordering::Release);
        self.valid_until_ms.store(until_ms, Ordering::Release);
    }

    /// Records that the key-value service did not renew the lease or give a new one.
    pub fn record_failure(&self, now_ms: Millis) {
        let is_lapsed = !self.is_certainly_held(now_ms);
        self.is_in_outage.store(is_lapsed, Ordering::Release);
    }
}
