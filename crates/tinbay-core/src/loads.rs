//! Distributes the weight store's load allowance among the engines of a region.
//!
//! Each region has one arbiter, so that a load for an urgent request takes precedence over batch
//! loads of all engines and not just of its own.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, ModelRef};
use crate::units::{MS_PER_SECOND, Millis};

/// Capacity of the token bucket, in loads. The store queues loads above its rate first come, first
/// served, regardless of rank, so that grants must not run ahead of the rate. It is slightly more
/// than one load, so that no tokens are lost between two calls of [`LoadArbiter::grant`].
const BURST: f64 = 1.2;

/// Lifetime of a permit. One that was not returned by then is considered lost with its holder.
const PERMIT_LIFE_MS: Millis = 30_000;

/// Load allowance of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Loads that may start per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads at which each runs at full speed.
    pub at_once: u32,
}

/// A request to load a model into an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadRequest {
    /// Best rank among the requests that wait for the model; 0 goes first.
    pub rank: u8,
    /// When that request arrived.
    pub since_ms: Millis,
    /// Engine to load into.
    pub engine: EngineId,
    /// Model to load.
    pub model: ModelRef,
}

/// Grants loads within the allowance, ordered by rank, then by age.
#[derive(Debug)]
pub struct LoadArbiter {
    allowance: Allowance,
    tokens: f64,
    refilled_ms: Millis,
    waiting: BTreeSet<LoadRequest>,
    by_target: HashMap<(EngineId, ModelRef), LoadRequest>,
    running: BTreeMap<(EngineId, ModelRef), Millis>,
}

impl LoadArbiter {
    /// Creates an arbiter with a full token bucket.
    pub fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            tokens: BURST,
            refilled_ms: 0,
            waiting: BTreeSet::new(),
            by_target: HashMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Replaces the allowance, for instance when the number of boxes that share it changes.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        self.allowance = allowance;
    }

    /// Queues a request unless its load has a permit. Of several requests for the same target, the
    /// one with the better rank counts.
    ///
    /// Returns whether the load has a permit, under which it may begin now: who asks for it has not
    /// received the grant, or has taken the engine over from the box that has.
    pub fn ask(&mut self, request: LoadRequest) -> bool {
        let target = (request.engine.clone(), request.model.clone());
        if self.running.contains_key(&target) {
            return true;
        }
        if let Some(old) = self.by_target.get(&target) {
            if *old <= request {
                return false;
            }
            self.waiting.remove(old);
        }
        self.by_target.insert(target, request.clone());
        self.waiting.insert(request);
        false
    }

    /// Takes back an unused permit and its token.
    pub fn give_back(&mut self, engine: &EngineId, model: &ModelRef) {
        let target = (engine.clone(), model.clone());
        if self.running.remove(&target).is_some() {
            self.tokens = (self.tokens + 1.0).min(BURST);
        }
    }

    /// Withdraws a queued request, or ends a granted load.
    pub fn done(&mut self, engine: &EngineId, model: &ModelRef) {
        let target = (engine.clone(), model.clone());
        self.running.remove(&target);
        if let Some(request) = self.by_target.remove(&target) {
            self.waiting.remove(&request);
        }
    }

    /// Grants the loads that the allowance permits at `now_ms`.
    pub fn grant(&mut self, now_ms: Millis) -> Vec<LoadRequest> {
        self.refill(now_ms);
        self.running
            .retain(|_, since_ms| now_ms.saturating_sub(*since_ms) < PERMIT_LIFE_MS);
        let mut granted = Vec::new();
        while self.tokens >= 1.0 && (self.running.len() as u32) < self.allowance.at_once {
            let Some(request) = self.waiting.pop_first() else {
                break;
            };
            let target = (request.engine.clone(), request.model.clone());
            self.by_target.remove(&target);
            self.running.insert(target, now_ms);
            self.tokens -= 1.0;
            granted.push(request);
        }
        granted
    }

    /// Earliest time of the next grant, if a request waits and only the rate holds it back.
    pub fn next_grant_ms(&self) -> Option<Millis> {
        if self.waiting.is_empty() || self.running.len() as u32 >= self.allowance.at_once {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let wait_ms = missing / self.allowance.loads_per_s * MS_PER_SECOND as f64;
        Some(self.refilled_ms + wait_ms.ceil() as Millis)
    }

    /// Number of loads granted and not yet ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of requests not yet granted.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn refill(&mut self, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        let added = passed_ms as f64 / MS_PER_SECOND as f64 * self.allowance.loads_per_s;
        self.tokens = (self.tokens + added).min(BURST);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}
