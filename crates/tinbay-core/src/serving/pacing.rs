//! Divides the weight store's load allowance among the holders, the boxes that send orders to
//! engines, so that no message is needed before each load.
//!
//! The allowance bounds the loads of base models that begin within any window; loads of adapters
//! are not bounded. It is split into integer quotas, one per holder. Each holder counts its own
//! loads over the same sliding window, so that the sum of the quotas bounds all loads. An increase
//! of a quota takes effect only when the loads that other holders began under their old quotas have
//! left the window.

use std::collections::{BTreeMap, VecDeque};

use crate::units::{MS_PER_SECOND, Millis};

/// Loads allowed in any window in addition to what the rate yields.
const BURST_LOADS: f64 = 3.0;

/// Longest delay by which a load may reach a server later than another one that began after it.
const DELIVERY_SKEW_MS: Millis = 250;

/// The bound on loads from the weight store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadBound {
    /// Length of the sliding window in which loads are counted.
    pub window_ms: Millis,
    /// Factor by which the store's rate may be exceeded.
    pub overshoot: f64,
}

impl LoadBound {
    /// Number of loads that may begin within any window, over all holders.
    pub fn allowed(&self, loads_per_s: f64) -> usize {
        let window_s = self.window_ms as f64 / MS_PER_SECOND as f64;
        (loads_per_s * window_s * self.overshoot + BURST_LOADS) as usize
    }
}

/// Splits `allowed` loads among holders in proportion to the engines each one holds; the sum of the
/// quotas never exceeds `allowed`. The remainder goes to the largest fractions, with ties broken by
/// name.
pub fn split_quotas(allowed: usize, engines: &BTreeMap<String, usize>) -> BTreeMap<String, usize> {
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

/// Counts the loads of one holder against its quota.
#[derive(Debug, Default)]
pub struct LoadQuotaCounter {
    /// Start of the process, if the process before it may have begun loads.
    restarted_ms: Option<Millis>,
    /// Start times of the loads in the window.
    started_ms: VecDeque<Millis>,
    quotas: VecDeque<QuotaChange>,
}

/// A quota and when it took effect.
#[derive(Debug, Clone, Copy)]
struct QuotaChange {
    quota: usize,
    since_ms: Millis,
}

impl LoadQuotaCounter {
    /// The counter of a holder that was restarted: the loads that it began before are not known, and
    /// count for a window from then on.
    pub fn after_restart(restarted_ms: Millis) -> Self {
        Self {
            restarted_ms: Some(restarted_ms),
            ..Self::default()
        }
    }

    /// Counts one load if the quota allows another one in the window that ends now.
    pub fn take(&mut self, quota: usize, window_ms: Millis, now_ms: Millis) -> bool {
        let window_ms = window_ms + DELIVERY_SKEW_MS;
        let start_ms = now_ms.saturating_sub(window_ms);
        let has_past = |restarted_ms| now_ms <= restarted_ms + window_ms;
        if self.restarted_ms.is_some_and(has_past) {
            return false;
        }
        while self
            .started_ms
            .front()
            .is_some_and(|started_ms| *started_ms < start_ms)
        {
            self.started_ms.pop_front();
        }
        if self.started_ms.len() >= self.effective_quota(quota, start_ms, now_ms) {
            return false;
        }
        self.started_ms.push_back(now_ms);
        true
    }

    /// Returns the least quota within the window. An increase was part of another holder's quota
    /// before, so it takes effect only when all loads that the other holder began under it have
    /// left the window.
    fn effective_quota(&mut self, quota: usize, start_ms: Millis, now_ms: Millis) -> usize {
        if self.quotas.back().is_none_or(|last| last.quota != quota) {
            self.quotas.push_back(QuotaChange {
                quota,
                since_ms: now_ms,
            });
        }
        // The last quota set before the window was still in effect when the window began.
        while self.quotas.len() > 1 && self.quotas[1].since_ms <= start_ms {
            self.quotas.pop_front();
        }
        let least = self.quotas.iter().map(|change| change.quota).min();
        least.unwrap_or(quota)
    }
}
