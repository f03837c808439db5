//! Decides over how many servers an adapter is spread.
//!
//! The first server in an adapter's rendezvous order receives its share of the adapter's requests.
//! Where that share takes more of the server than one adapter should, the server's holder spreads
//! the adapter to more servers of the order; all boxes learn the number from the server's status.

use std::collections::HashMap;

use super::decay::DecayingValue;
use super::servers::Fingerprint;
use crate::units::Millis;

/// Fraction of a server's prefill time or request slots that one adapter may take before it is
/// spread further: two such adapters and many rarely used ones still leave the server partly idle,
/// and above that requests queue.
const MAX_FRACTION: f64 = 0.4;

/// Half-life of an adapter's prefill time; its demand shows in some seconds of requests.
const PREFILL_HALF_LIFE_MS: f64 = 1_000.0;

/// Least time between two increases: a load, and time for the requests to spread.
const GROW_INTERVAL_MS: Millis = 400;

/// Largest factor of one increase.
const MAX_GROWTH_FACTOR: f64 = 2.0;

/// Least time between two decreases, so that a lull does not cost loads.
const SHRINK_INTERVAL_MS: Millis = 1_500;

/// Factor of one decrease.
const SHRINK_FACTOR: f64 = 0.8;

/// Ratio of demand to copies below which the number of copies is reduced.
const SHRINK_BELOW: f64 = 0.6;

/// Most servers over which one adapter is spread.
const MAX_COPIES: f64 = 48.0;

#[derive(Debug)]
struct Spread {
    prefill: DecayingValue,
    copies: f64,
    changed_ms: Millis,
}

/// Number of servers over which each adapter of one server is spread.
#[derive(Debug, Default)]
pub struct Spreads {
    by_adapter: HashMap<Fingerprint, Spread>,
}

impl Spreads {
    /// Records requests for an adapter that began at the server, by the time to prefill their
    /// prompts.
    pub fn record_started(&mut self, adapter: Fingerprint, prefill_ms: f64, now_ms: Millis) {
        let spread = self.by_adapter.entry(adapter).or_insert_with(|| Spread {
            prefill: DecayingValue::default(),
            copies: 1.0,
            changed_ms: now_ms,
        });
        spread.prefill.add(prefill_ms, PREFILL_HALF_LIFE_MS, now_ms);
    }

    /// Number of servers over which an adapter is spread now; `slots_fraction` is the fraction of
    /// the server's request slots that it uses.
    pub fn copies(&mut self, adapter: Fingerprint, slots_fraction: f64, now_ms: Millis) -> usize {
        let Some(spread) = self.by_adapter.get_mut(&adapter) else {
            return 1;
        };
        spread.adapt(slots_fraction, now_ms);
        spread.copies.floor() as usize
    }

    /// Drops adapters that are not spread further and had no recent requests.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_adapter
            .retain(|_, spread| spread.copies > 1.0 || spread.prefill_fraction(now_ms) > 0.0001);
    }
}

impl Spread {
    /// Fraction of the server's time spent on the adapter's prompts.
    fn prefill_fraction(&self, now_ms: Millis) -> f64 {
        let left_ms = self.prefill.at(PREFILL_HALF_LIFE_MS, now_ms);
        left_ms * std::f64::consts::LN_2 / PREFILL_HALF_LIFE_MS
    }

    fn adapt(&mut self, slots_fraction: f64, now_ms: Millis) {
        let used_fraction = self.prefill_fraction(now_ms).max(slots_fraction);
        let target = (self.copies * used_fraction / MAX_FRACTION).clamp(1.0, MAX_COPIES);
        let since_ms = now_ms.saturating_sub(self.changed_ms);
        if target > self.copies && since_ms >= GROW_INTERVAL_MS {
            self.copies = target.min(self.copies * MAX_GROWTH_FACTOR);
            self.changed_ms = now_ms;
        } else if target < self.copies * SHRINK_BELOW && since_ms >= SHRINK_INTERVAL_MS {
            self.copies = (self.copies * SHRINK_FACTOR).max(target);
            self.changed_ms = now_ms;
        }
    }
}
