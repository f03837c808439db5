//! Updates the slots from the outcome of loads and unloads and from the engine's reports.

use super::owner::{EngineOwner, FailedLoads, backoff_ms, refuse};
use super::slots::{Slot, SlotState};
use super::{Command, EngineContents, RefusalReason};
use crate::ids::ModelRef;
use crate::units::Millis;

/// Time until a failed unload may be tried again.
const UNLOAD_RETRY_MS: Millis = 500;

impl EngineOwner {
    pub(super) fn handle_loaded(
        &mut self,
        now_ms: Millis,
        model: &ModelRef,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::EndLoad(model.clone()));
        self.failures.remove(model);
        let Some(slot) = self.slots.get_mut(model) else {
            return;
        };
        slot.state = SlotState::Loaded;
        slot.loaded_ms = now_ms;
        let load_ms = now_ms.saturating_sub(slot.ordered_ms);
        slot.record_request(now_ms, self.queue.has_urgent(model));
        self.mean_load.add(load_ms);
        self.queue.set_dispatchable(model, true);
    }

    pub(super) fn handle_load_failed(
        &mut self,
        now_ms: Millis,
        model: &ModelRef,
        out: &mut Vec<Command>,
    ) {
        out.push(Command::EndLoad(model.clone()));
        self.slots.remove(model);
        let count = self
            .failures
            .get(model)
            .map_or(1, |failure| failure.count + 1);
        let backoff_ms = backoff_ms(model, count);
        let retry_ms = now_ms + backoff_ms;
        self.failures
            .insert(model.clone(), FailedLoads { count, retry_ms });
        for id in self.queue.waiting_for(model) {
            self.queue.remove(id);
            out.push(refuse(id, RefusalReason::LoadFailed, backoff_ms));
        }
    }

    pub(super) fn handle_unloaded(
        &mut self,
        now_ms: Millis,
        model: &ModelRef,
        out: &mut Vec<Command>,
    ) {
        self.slots.remove(model);
        let Some(next) = self.replacing.remove(model) else {
            return;
        };
        if self.queue.has_waiting(&next) && self.slots.get(&next).is_none() {
            self.slots.insert(next.clone(), SlotState::Loading, now_ms);
            out.push(Command::Load(next));
        } else {
            out.push(Command::ReturnLoad(next));
        }
    }

    pub(super) fn handle_unload_failed(
        &mut self,
        now_ms: Millis,
        model: &ModelRef,
        out: &mut Vec<Command>,
    ) {
        if self.slots.get(model).is_some_and(|slot| slot.is_lost) {
            self.handle_unloaded(now_ms, model, out);
            return;
        }
        if let Some(next) = self.replacing.remove(model) {
            out.push(Command::ReturnLoad(next));
        }
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = SlotState::Loaded;
            slot.keep_until_ms = now_ms + UNLOAD_RETRY_MS;
            self.queue.set_dispatchable(model, true);
        }
    }

    pub(super) fn handle_missing(&mut self, model: &ModelRef) {
        let serving = |slot: &Slot| slot.state == SlotState::Loaded;
        if self.slots.get(model).is_some_and(serving) {
            self.slots.remove(model);
            self.queue.set_dispatchable(model, false);
        }
    }

    /// Replaces the slots by those that the engine reports.
    ///
    /// A slot with a load or unload in progress stays until the outcome of that order is known:
    /// the outcome of an order from before a restart must not be attributed to a later one.
    pub(super) fn apply_contents(&mut self, now_ms: Millis, contents: &EngineContents) {
        let known: Vec<ModelRef> = self.slots.iter().map(|(m, _)| m.clone()).collect();
        for model in known {
            let is_reported = contents.loaded.contains(&model);
            match self.slots.get_mut(&model) {
                Some(slot) if slot.state == SlotState::Loading => {}
                Some(slot) if slot.state == SlotState::Unloading => slot.is_lost = !is_reported,
                _ => {
                    self.queue.set_dispatchable(&model, false);
                    self.slots.remove(&model);
                }
            }
        }
        for model in &contents.loaded {
            if self.slots.get(model).is_none() {
                self.slots.insert(model.clone(), SlotState::Loaded, now_ms);
                self.queue.set_dispatchable(model, true);
            }
        }
        for run in self.running.values() {
            if let Some(slot) = self.slots.get_mut(&run.model) {
                slot.serving += 1;
            }
        }
        self.count_inherited(contents);
        self.contents_known = true;
        self.is_leaving = false;
    }

    /// Counts the running requests of earlier owners, which occupy batch places and pin slots too.
    pub(super) fn count_inherited(&mut self, contents: &EngineContents) {
        self.inherited.clear();
        for model in &contents.inherited {
            *self.inherited.entry(model.clone()).or_default() += 1;
        }
    }
}
