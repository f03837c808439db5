//! A box's part of the weight store's allowance, dealt ahead so that no load is asked for.
//!
//! The allowance bounds the loads of base models that begin within any window; loads of
//! adapters are not bounded. It is split into whole
//! quotas, one a holder; a holder counts its own loads over the same sliding window, so the
//! quotas' sum bounds them all. A quota that grew counts only as far as what another holder
//! began before it went has left the window.

use std::collections::{BTreeMap, VecDeque};

use crate::units::{MS_PER_SECOND, Millis};

/// Loads by which the bound exceeds its rate in any window.
const BOUND_EXTRA: f64 = 3.0;

/// Time by which loads may reach a server later than another that began after them.
const TRAVEL_MS: Millis = 250;

/// The bound on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Window in which loads are counted.
    pub window_ms: Millis,
    /// Factor by which the store's rate may be exceeded.
    pub overshoot: f64,
}

impl LoadBound {
    /// Loads that may begin within any window, over all holders.
    pub fn allowed(&self, loads_per_s: f64) -> usize {
        let window_s = self.window_ms as f64 / MS_PER_SECOND as f64;
        (loads_per_s * window_s * self.overshoot + BOUND_EXTRA) as usize
    }
}

/// Splits `allowed` loads among holders by the engines each holds; the quotas' sum is never
/// more. What is left over goes to the largest remainders, names breaking ties.
pub fn deal(allowed: usize, engines: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
    let total: usize = engines.values().sum();
    if total == 0 {
        return BTreeMap::new();
    }
    let mut quotas: BTreeMap<String, usize> = engines
        .iter()
        .map(|(holder, count)| (holder.clone(), allowed * count / total))
        .collect();
    let mut remainders: Vec<(usize, &String)> = engines
        .iter()
        .map(|(holder, count)| (allowed * count % total, holder))
        .collect();
    remainders.sort_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(right.1)));
    let left = allowed - quotas.values().sum::<usize>();
    for (_, holder) in remainders.into_iter().take(left) {
        if let Some(quota) = quotas.get_mut(holder) {
            *quota += 1;
        }
    }
    quotas
}

/// Account of one holder.
#[derive(Debug, Default)]
pub struct LoadPace {
    begun: VecDeque<Millis>,
    quotas: VecDeque<QuotaSince>,
}

/// A quota and when it came into force.
#[derive(Debug, Clone, Copy)]
struct QuotaSince {
    quota: usize,
    since_ms: Millis,
}

impl LoadPace {
    /// Takes one load if the quota leaves one in the window that ends now.
    pub fn take(&mut self, quota: usize, window_ms: Millis, now_ms: Millis) -> bool {
        let window_ms = window_ms + TRAVEL_MS;
        let start_ms = now_ms.saturating_sub(window_ms);
        while self
            .begun
            .front()
            .is_some_and(|begun_ms| *begun_ms < start_ms)
        {
            self.begun.pop_front();
        }
        if self.begun.len() >= self.settled_quota(quota, start_ms, now_ms) {
            return false;
        }
        self.begun.push_back(now_ms);
        true
    }

    /// The least quota of the window: what it grew by counts only when all that another holder
    /// began with it has left the window.
    fn settled_quota(&mut self, quota: usize, start_ms: Millis, now_ms: Millis) -> usize {
        if self.quotas.back().is_none_or(|last| last.quota != quota) {
            self.quotas.push_back(QuotaSince {
                quota,
                since_ms: now_ms,
            });
        }
        // The first entry that began before the window still held when the window began.
        while self.quotas.len() > 1 && self.quotas[1].since_ms <= start_ms {
            self.quotas.pop_front();
        }
        let least = self.quotas.iter().map(|since| since.quota).min();
        least.unwrap_or(quota)
    }
}
