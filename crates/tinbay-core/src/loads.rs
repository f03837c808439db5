//! Shares the weight store's allowance among the engines of a region.
//!
//! One arbiter a region holds the allowance, so a counter request's load goes before
//! batch loads of every engine, not just of its own.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use crate::ids::{EngineId, ModelRef};
use crate::units::{MS_PER_SECOND, Millis};

/// Loads that may begin at once after a pause. The store paces loads by itself, first come
/// first served: what is granted ahead of the rate waits there, where no rank counts. A fifth
/// of a load more than one, so that nothing of the rate is lost between two looks.
const BURST: f64 = 1.2;

/// A permit not given back by then is taken as lost with its holder.
const PERMIT_LIFE_MS: Millis = 30_000;

/// What the weight store allows.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Allowance {
    /// Loads that may begin in a second.
    pub loads_per_s: f64,
    /// Loads at once before each of them slows down.
    pub at_once: u32,
}

/// A wish to load a model onto an engine.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoadWish {
    /// Rank of the most pressing request that waits; 0 first.
    pub rank: u8,
    /// Since when it waits.
    pub since_ms: Millis,
    /// Where to load.
    pub engine: EngineId,
    /// What to load.
    pub model: ModelRef,
}

/// Grants loads in order of rank, then age, within the allowance.
#[derive(Debug)]
pub struct LoadArbiter {
    allowance: Allowance,
    tokens: f64,
    refilled_ms: Millis,
    waiting: BTreeSet<LoadWish>,
    by_target: HashMap<(EngineId, ModelRef), LoadWish>,
    running: BTreeMap<(EngineId, ModelRef), Millis>,
}

impl LoadArbiter {
    /// An arbiter with a full allowance.
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

    /// Queues a wish; a repeated wish keeps the better rank.
    pub fn ask(&mut self, wish: LoadWish) {
        let target = (wish.engine.clone(), wish.model.clone());
        if self.running.contains_key(&target) {
            return;
        }
        if let Some(old) = self.by_target.get(&target) {
            if *old <= wish {
                return;
            }
            self.waiting.remove(old);
        }
        self.by_target.insert(target, wish.clone());
        self.waiting.insert(wish);
    }

    /// Takes a permit back that was not used; the rate is given back with it.
    pub fn give_back(&mut self, engine: &EngineId, model: &ModelRef) {
        let target = (engine.clone(), model.clone());
        if self.running.remove(&target).is_some() {
            self.tokens = (self.tokens + 1.0).min(BURST);
        }
    }

    /// Takes back a wish that is no longer needed, or ends a load.
    pub fn done(&mut self, engine: &EngineId, model: &ModelRef) {
        let target = (engine.clone(), model.clone());
        self.running.remove(&target);
        if let Some(wish) = self.by_target.remove(&target) {
            self.waiting.remove(&wish);
        }
    }

    /// Grants what the allowance permits at `now_ms`.
    pub fn grant(&mut self, now_ms: Millis) -> Vec<LoadWish> {
        self.refill(now_ms);
        self.running
            .retain(|_, since_ms| now_ms.saturating_sub(*since_ms) < PERMIT_LIFE_MS);
        let mut granted = Vec::new();
        while self.tokens >= 1.0 && (self.running.len() as u32) < self.allowance.at_once {
            let Some(wish) = self.waiting.pop_first() else {
                break;
            };
            let target = (wish.engine.clone(), wish.model.clone());
            self.by_target.remove(&target);
            self.running.insert(target, now_ms);
            self.tokens -= 1.0;
            granted.push(wish);
        }
        granted
    }

    /// When a grant may next be possible, if a wish waits for the rate alone.
    pub fn next_grant_ms(&self) -> Option<Millis> {
        if self.waiting.is_empty() || self.running.len() as u32 >= self.allowance.at_once {
            return None;
        }
        let missing = (1.0 - self.tokens).max(0.0);
        let wait_ms = missing / self.allowance.loads_per_s * MS_PER_SECOND as f64;
        Some(self.refilled_ms + wait_ms.ceil() as Millis)
    }

    /// Loads granted and not yet ended.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Wishes not yet granted.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn refill(&mut self, now_ms: Millis) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        let earned = passed_ms as f64 / MS_PER_SECOND as f64 * self.allowance.loads_per_s;
        self.tokens = (self.tokens + earned).min(BURST);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}
