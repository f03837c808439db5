//! The adapter slots of one engine.

use std::collections::HashMap;

use super::demand::Demand;
use crate::ids::ModelRef;
use crate::units::Millis;

/// State of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Its model is being loaded.
    Loading,
    /// Its model can serve requests.
    Loaded,
    /// Its model gets no new batch work, so that the slot becomes free.
    Draining,
    /// Its model is being unloaded.
    Unloading,
}

/// One occupied slot.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Load state of its model.
    pub state: SlotState,
    /// Number of this owner's requests that run on the model.
    pub serving: u32,
    /// When the load ended.
    pub loaded_ms: Millis,
    /// When the load was ordered.
    pub ordered_ms: Millis,
    /// Whether the engine lost the model, by a restart, while it was being unloaded.
    pub is_lost: bool,
    /// Earliest time of the next unload, after one that failed; 0 otherwise.
    pub keep_until_ms: Millis,
    /// Recent urgent requests for the model.
    pub urgent_demand: Demand,
    /// Recent batch requests for the model.
    pub batch_demand: Demand,
}

/// Weight of a batch request relative to an urgent one when slots are compared for eviction:
/// nobody waits for the answer of a batch request that is stalled by a load.
const BATCH_DEMAND_WEIGHT: f64 = 0.1;

/// A slot with less urgent demand than this counts as used for batch work only.
const MIN_URGENT_DEMAND: f64 = 0.1;

impl Slot {
    /// Records a request for the model.
    pub fn record_request(&mut self, now_ms: Millis, urgent: bool) {
        if urgent {
            self.urgent_demand.add_request(now_ms);
        } else {
            self.batch_demand.add_request(now_ms);
        }
    }

    /// Weighted, decayed count of the requests for the model, by which slots are ranked for
    /// eviction.
    pub fn demand_at(&self, now_ms: Millis) -> f64 {
        self.urgent_demand.at(now_ms) + BATCH_DEMAND_WEIGHT * self.batch_demand.at(now_ms)
    }

    /// Whether the slot is used for batch work only, with no recent urgent request.
    pub fn is_held_for_batch(&self, now_ms: Millis) -> bool {
        self.urgent_demand.at(now_ms) < MIN_URGENT_DEMAND
    }
}

/// The slots of one engine, by the model they hold.
#[derive(Debug)]
pub struct Slots {
    limit: usize,
    held: HashMap<ModelRef, Slot>,
}

impl Slots {
    /// Creates `limit` empty slots.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            held: HashMap::new(),
        }
    }

    /// Whether any slot is empty.
    pub fn has_free(&self) -> bool {
        self.held.len() < self.limit
    }

    /// The slot that a model occupies.
    pub fn get(&self, model: &ModelRef) -> Option<&Slot> {
        self.held.get(model)
    }

    /// The slot that a model occupies, mutable.
    pub fn get_mut(&mut self, model: &ModelRef) -> Option<&mut Slot> {
        self.held.get_mut(model)
    }

    /// Whether a model can serve requests now.
    pub fn is_loaded(&self, model: &ModelRef) -> bool {
        self.get(model)
            .is_some_and(|slot| matches!(slot.state, SlotState::Loaded | SlotState::Draining))
    }

    /// Puts a model into an empty slot; the caller checks that there is one.
    pub fn insert(&mut self, model: ModelRef, state: SlotState, now_ms: Millis) {
        let slot = Slot {
            state,
            serving: 0,
            loaded_ms: now_ms,
            ordered_ms: now_ms,
            is_lost: false,
            keep_until_ms: 0,
            urgent_demand: Demand::default(),
            batch_demand: Demand::default(),
        };
        self.held.insert(model, slot);
    }

    /// Frees a model's slot.
    pub fn remove(&mut self, model: &ModelRef) -> Option<Slot> {
        self.held.remove(model)
    }

    /// All occupied slots, with their models. There are few, so that a linear scan is cheap.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelRef, &Slot)> {
        self.held.iter()
    }
}
