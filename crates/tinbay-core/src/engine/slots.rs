//! The adapter slots of one engine.

use std::collections::HashMap;

use super::demand::Demand;
use crate::ids::ModelRef;
use crate::units::Millis;

/// What a slot does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Its model is being loaded.
    Loading,
    /// Its model can serve.
    Loaded,
    /// Its model takes no new batch work, so that the slot becomes free.
    Closing,
    /// Its model is being unloaded.
    Unloading,
}

/// One slot and its model.
#[derive(Debug, Clone)]
pub struct Slot {
    /// What it does.
    pub state: SlotState,
    /// Requests that run on the model.
    pub serving: u32,
    /// When the model became able to serve.
    pub loaded_ms: Millis,
    /// When the load was ordered.
    pub ordered_ms: Millis,
    /// The engine lost the model, by a restart, while it was being unloaded.
    pub lost: bool,
    /// Not to be unloaded before then, after an unload that failed.
    pub keep_until_ms: Millis,
    /// How much urgent requests ask for it.
    pub urgent_demand: Demand,
    /// How much other requests ask for it.
    pub batch_demand: Demand,
}

/// What a batch request counts beside an urgent one when slots are compared: a batch request
/// that has to wait for a load stalls nobody.
const BATCH_DEMAND_WEIGHT: f64 = 0.1;

/// Below this urgent demand a slot counts as held for batch work.
const LEAST_URGENT_DEMAND: f64 = 0.1;

impl Slot {
    /// Notes a request for the model.
    pub fn note_demand(&mut self, now_ms: Millis, urgent: bool) {
        if urgent {
            self.urgent_demand.note(now_ms);
        } else {
            self.batch_demand.note(now_ms);
        }
    }

    /// How much it would be missed.
    pub fn demand_at(&self, now_ms: Millis) -> f64 {
        self.urgent_demand.at(now_ms) + BATCH_DEMAND_WEIGHT * self.batch_demand.at(now_ms)
    }

    /// Whether it is held for batch work: no urgent request has asked for it lately.
    pub fn is_held_for_batch(&self, now_ms: Millis) -> bool {
        self.urgent_demand.at(now_ms) < LEAST_URGENT_DEMAND
    }
}

/// The slots of one engine, by the model they hold.
#[derive(Debug)]
pub struct Slots {
    limit: usize,
    held: HashMap<ModelRef, Slot>,
}

impl Slots {
    /// `limit` empty slots.
    pub fn new(limit: u32) -> Self {
        Self {
            limit: limit as usize,
            held: HashMap::new(),
        }
    }

    /// Whether a slot holds nothing.
    pub fn has_free(&self) -> bool {
        self.held.len() < self.limit
    }

    /// The slot of a model.
    pub fn get(&self, model: &ModelRef) -> Option<&Slot> {
        self.held.get(model)
    }

    /// The slot of a model, to change it.
    pub fn get_mut(&mut self, model: &ModelRef) -> Option<&mut Slot> {
        self.held.get_mut(model)
    }

    /// Whether a model can serve now.
    pub fn is_loaded(&self, model: &ModelRef) -> bool {
        self.get(model)
            .is_some_and(|slot| matches!(slot.state, SlotState::Loaded | SlotState::Closing))
    }

    /// Puts a model into a free slot.
    pub fn insert(&mut self, model: ModelRef, state: SlotState, now_ms: Millis) {
        let slot = Slot {
            state,
            serving: 0,
            loaded_ms: now_ms,
            ordered_ms: now_ms,
            lost: false,
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

    /// Every model and its slot; slots are few, so callers may walk them.
    pub fn iter(&self) -> impl Iterator<Item = (&ModelRef, &Slot)> {
        self.held.iter()
    }
}
