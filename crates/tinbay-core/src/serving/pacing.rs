//! A box's part of the weight store's allowance, dealt ahead so that no load is asked for.
//!
//! The allowance bounds the loads that begin within any window. It is split into whole
//! quotas, one a holder; a holder counts its own loads over the same sliding window, so the
//! quotas' sum bounds them all. A quota that grew counts only as far as what another holder
//! began before it went has left the window.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::units::{MS_PER_SECOND, Millis};

/// Loads by which the bound exceeds its rate in any window.
const BOUND_EXTRA: f64 = 3.0;

/// Time by which loads may reach a server later than another that began after them, the life
/// of a grant included.
const TRAVEL_MS: Millis = 250;

/// How long a load counts that another holder gave away; it was counted there when it was
/// given.
const GRANT_LIFE_MS: Millis = 150;

/// Factor by which another holder must want its next load more to be given one.
const GIVE_FACTOR: f64 = 1.5;

/// Weight by which it must besides, so that nobody gives away what it will want at once.
const GIVE_MARGIN: f64 = 1.0;

/// Part of the mean pause that must lie between loads: many at once would slow each other
/// down, and the first of a rush are not the most wanted.
const PAUSE_PART: f64 = 0.7;

/// How long a bid counts for which nobody has looked again.
const BID_LIFE_MS: Millis = 200;

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
    bids: HashMap<u64, Bid>,
    grants: VecDeque<Millis>,
}

/// A quota and when it came into force.
#[derive(Debug, Clone, Copy)]
struct QuotaSince {
    quota: usize,
    since_ms: Millis,
}

/// What one of the holder's servers would load next.
#[derive(Debug, Clone, Copy)]
struct Bid {
    weight: f64,
    made_ms: Millis,
}

impl LoadPace {
    /// Takes one load for a server if it is offered one.
    pub fn take(
        &mut self,
        server: u64,
        weight: f64,
        quota: usize,
        window_ms: Millis,
        now_ms: Millis,
    ) -> bool {
        let is_offered = self.offers(server, weight, quota, window_ms, now_ms);
        if is_offered {
            self.take_offered(server, now_ms);
        }
        is_offered
    }

    /// Notes what a server would load next.
    pub fn bid(&mut self, server: u64, weight: f64, now_ms: Millis) {
        let bid = Bid {
            weight,
            made_ms: now_ms,
        };
        self.bids.insert(server, bid);
    }

    /// Whether a server may load now: the quota leaves a load, and no other server of the
    /// holder wants its own more.
    pub fn offers(
        &mut self,
        server: u64,
        weight: f64,
        quota: usize,
        window_ms: Millis,
        now_ms: Millis,
    ) -> bool {
        self.bid(server, weight, now_ms);
        let is_outbid = self
            .bids
            .values()
            .any(|other| other.weight > weight && now_ms < other.made_ms + BID_LIFE_MS);
        !is_outbid && (self.has_grant(now_ms) || self.leaves(quota, window_ms, now_ms))
    }

    /// Takes the load that was offered to a server.
    pub fn take_offered(&mut self, server: u64, now_ms: Millis) {
        if self.has_grant(now_ms) {
            self.grants.pop_front();
        } else {
            self.begun.push_back(now_ms);
        }
        self.bids.remove(&server);
    }

    /// Takes a load that another holder gave away.
    pub fn note_grant(&mut self, now_ms: Millis) {
        self.grants.push_back(now_ms + GRANT_LIFE_MS);
    }

    /// Gives a load away if the quota leaves one and `weight`, what another holder would load
    /// next, is well above all that this one wants.
    pub fn give(&mut self, weight: f64, quota: usize, window_ms: Millis, now_ms: Millis) -> bool {
        let own_weight = self
            .bids
            .values()
            .filter(|bid| now_ms < bid.made_ms + BID_LIFE_MS)
            .map(|bid| bid.weight)
            .fold(0.0, f64::max);
        let is_wanted_more = weight > own_weight * GIVE_FACTOR + GIVE_MARGIN;
        if !is_wanted_more || !self.leaves(quota, window_ms, now_ms) {
            return false;
        }
        self.begun.push_back(now_ms);
        true
    }

    fn has_grant(&mut self, now_ms: Millis) -> bool {
        while self.grants.front().is_some_and(|end_ms| *end_ms <= now_ms) {
            self.grants.pop_front();
        }
        !self.grants.is_empty()
    }

    fn leaves(&mut self, quota: usize, window_ms: Millis, now_ms: Millis) -> bool {
        let window_ms = window_ms + TRAVEL_MS;
        let start_ms = now_ms.saturating_sub(window_ms);
        while self
            .begun
            .front()
            .is_some_and(|begun_ms| *begun_ms < start_ms)
        {
            self.begun.pop_front();
        }
        let quota = self.settled_quota(quota, window_ms, now_ms);
        if quota == 0 || self.begun.len() >= quota {
            return false;
        }
        let gap_ms = (window_ms as f64 / quota as f64 * PAUSE_PART) as Millis;
        self.begun
            .back()
            .is_none_or(|last_ms| now_ms >= last_ms + gap_ms)
    }

    /// What of a quota may be used: each step by which it grew counts as fast as the loads that
    /// others began, before it went over to this holder, leave the window. What held all the
    /// window through always counts.
    fn settled_quota(&mut self, quota: usize, window_ms: Millis, now_ms: Millis) -> usize {
        if self.quotas.back().is_none_or(|last| last.quota != quota) {
            self.quotas.push_back(QuotaSince {
                quota,
                since_ms: now_ms,
            });
        }
        let start_ms = now_ms.saturating_sub(window_ms);
        // The first entry that began before the window still held when the window began.
        while self.quotas.len() > 1 && self.quotas[1].since_ms <= start_ms {
            self.quotas.pop_front();
        }
        let least = self.quotas.iter().map(|since| since.quota).min();
        let steps = self.quotas.iter().zip(self.quotas.iter().skip(1));
        let not_freed: f64 = steps
            .map(|(before, after)| {
                let grown = after.quota.saturating_sub(before.quota) as f64;
                grown * (1.0 - freed_part(now_ms - after.since_ms, window_ms))
            })
            .sum();
        let freed = quota.saturating_sub(not_freed.ceil() as usize);
        freed.max(least.unwrap_or(quota))
    }
}

/// Part of a holder's loads that has left the window so long after it stopped: they lie no
/// closer than [`PAUSE_PART`] of their mean pause.
fn freed_part(since_ms: Millis, window_ms: Millis) -> f64 {
    let passed = since_ms as f64 / window_ms as f64;
    ((passed - (1.0 - PAUSE_PART)) / PAUSE_PART).clamp(0.0, 1.0)
}
