//! Slot allocation: loads, evictions, and draining of busy slots.

use super::owner::EngineOwner;
use super::slots::{Slot, SlotState};
use super::{Command, QueuedRequest};
use crate::ids::ModelRef;
use crate::units::Millis;

/// Best rank at which late batch work requests a load; rank 0 stays ahead of it.
const LATE_RANK: u8 = 1;

/// A load requested from the arbiter and not granted yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingLoad {
    rank: u8,
    urgent: bool,
}

/// A model without a slot for which requests wait.
#[derive(Debug)]
struct LoadCandidate {
    model: ModelRef,
    load: PendingLoad,
    /// Whether it may take a slot that other batch work uses.
    may_preempt: bool,
    since_ms: Millis,
}

impl EngineOwner {
    pub(super) fn start_load(&mut self, now_ms: Millis, model: ModelRef, out: &mut Vec<Command>) {
        if self.is_load_in_progress(&model) {
            return;
        }
        let Some(load) = self.pending_loads.remove(&model) else {
            out.push(Command::ReturnLoad(model));
            return;
        };
        if !self.queue.has_waiting(&model) || self.slots.get(&model).is_some() {
            out.push(Command::ReturnLoad(model));
            return;
        }
        if self.slots.has_free() {
            self.slots.insert(model.clone(), SlotState::Loading, now_ms);
            out.push(Command::Load(model));
            return;
        }
        let Some(victim) = self.choose_victim(now_ms, load) else {
            out.push(Command::ReturnLoad(model));
            return;
        };
        self.start_unload(&victim);
        self.replacing.insert(victim.clone(), model);
        out.push(Command::Unload(victim));
    }

    /// Whether an earlier grant for the model is still in use.
    fn is_load_in_progress(&self, model: &ModelRef) -> bool {
        let loading = |slot: &Slot| slot.state == SlotState::Loading;
        self.slots.get(model).is_some_and(loading)
            || self.replacing.values().any(|next| next == model)
    }

    fn start_unload(&mut self, victim: &ModelRef) {
        self.queue.set_dispatchable(victim, false);
        if let Some(slot) = self.slots.get_mut(victim) {
            slot.state = SlotState::Unloading;
        }
    }

    /// The idle model with the least demand.
    fn choose_victim(&self, now_ms: Millis, load: PendingLoad) -> Option<ModelRef> {
        self.idle_slots(now_ms, load)
            .filter(|(model, _)| {
                !self.queue.has_urgent(model)
                    && self
                        .queue
                        .head_rank(model)
                        .is_none_or(|head| head >= load.rank)
            })
            .min_by(|(a, slot_a), (b, slot_b)| {
                let queued = |m: &ModelRef| self.queue.has_waiting(m);
                let demand_a = slot_a.demand_at(now_ms);
                let demand_b = slot_b.demand_at(now_ms);
                queued(a)
                    .cmp(&queued(b))
                    .then(demand_a.total_cmp(&demand_b))
                    .then(a.cmp(b))
            })
            .map(|(model, _)| model.clone())
    }

    /// Idle slots that `load` may take.
    fn idle_slots(
        &self,
        now_ms: Millis,
        load: PendingLoad,
    ) -> impl Iterator<Item = (&ModelRef, &Slot)> {
        let from_batch_only = self.may_take_from_batch_only(now_ms, load);
        self.slots.iter().filter(move |(model, slot)| {
            self.is_idle(model, slot, now_ms)
                && (!from_batch_only || slot.is_held_for_batch(now_ms))
        })
    }

    fn is_idle(&self, model: &ModelRef, slot: &Slot, now_ms: Millis) -> bool {
        matches!(slot.state, SlotState::Loaded | SlotState::Draining)
            && slot.serving == 0
            && now_ms >= slot.keep_until_ms
            && !self.inherited.contains_key(model)
    }

    /// Whether batch work uses its full share of the slots, so that a further batch model may
    /// only replace another one. Models of urgent requests are also idle between requests and
    /// would otherwise be evicted.
    fn may_take_from_batch_only(&self, now_ms: Millis, load: PendingLoad) -> bool {
        if load.urgent {
            return false;
        }
        let held = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.is_held_for_batch(now_ms));
        held.count() >= self.batch_slots()
    }

    fn batch_slots(&self) -> usize {
        let share = f64::from(self.shape.slots) * self.settings.batch_slot_share;
        (share.ceil() as usize).max(1)
    }

    /// Starts draining the loaded model with the fewest running requests, then the least demand,
    /// among those with no queued request that is urgent or of `rank` or better.
    fn drain_one(&mut self, now_ms: Millis, rank: u8) {
        let has_lower_rank_only = |model: &ModelRef| {
            !self.queue.has_urgent(model)
                && self.queue.head_rank(model).is_none_or(|head| head > rank)
        };
        let victim = self
            .slots
            .iter()
            .filter(|(model, slot)| slot.state == SlotState::Loaded && has_lower_rank_only(model))
            .min_by(|(a, slot_a), (b, slot_b)| {
                slot_a
                    .serving
                    .cmp(&slot_b.serving)
                    .then(
                        slot_a
                            .demand_at(now_ms)
                            .total_cmp(&slot_b.demand_at(now_ms)),
                    )
                    .then(a.cmp(b))
            })
            .map(|(model, _)| model.clone());
        let Some(victim) = victim else { return };
        self.queue.set_dispatchable(&victim, false);
        if let Some(slot) = self.slots.get_mut(&victim) {
            slot.state = SlotState::Draining;
        }
    }

    /// Requests loads for the first models in the queue that are not loaded. Drains a busy slot
    /// for each that may preempt and finds no idle slot.
    pub(super) fn plan_loads(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        let mut unplaced: Vec<u8> = Vec::new();
        for candidate in self.load_candidates(now_ms) {
            if self.is_load_in_progress(&candidate.model) {
                continue;
            }
            let pending_load = self.pending_loads.get(&candidate.model).copied();
            if pending_load.is_some_and(|pending_load| pending_load.rank <= candidate.load.rank) {
                continue;
            }
            if pending_load.is_none()
                && !self.has_slot_for(now_ms, candidate.load, candidate.may_preempt)
            {
                if candidate.may_preempt {
                    unplaced.push(candidate.load.rank);
                }
                continue;
            }
            self.pending_loads
                .insert(candidate.model.clone(), candidate.load);
            out.push(Command::AskLoad {
                model: candidate.model,
                rank: candidate.load.rank,
                since_ms: candidate.since_ms,
            });
        }
        self.adjust_draining_slots(now_ms, &unplaced);
    }

    /// The first models in the queue that have no slot, at most as many as the engine has slots.
    fn load_candidates(&self, now_ms: Millis) -> Vec<LoadCandidate> {
        let slot_count = self.shape.slots as usize;
        self.queue
            .blocked_heads()
            .take(2 * slot_count)
            .filter(|request| self.slots.get(&request.model).is_none())
            .take(slot_count)
            .map(|request| {
                let waited_ms = now_ms.saturating_sub(request.arrived_ms);
                LoadCandidate {
                    model: request.model.clone(),
                    load: PendingLoad {
                        rank: self.load_rank(request, now_ms),
                        urgent: request.urgent,
                    },
                    may_preempt: request.urgent
                        || waited_ms >= self.settings.min_wait_before_swap_ms,
                    since_ms: request.arrived_ms,
                }
            })
            .collect()
    }

    /// Keeps one busy slot draining for each pending load and each model in `unplaced`, which holds
    /// ranks, and returns surplus ones to service.
    fn adjust_draining_slots(&mut self, now_ms: Millis, unplaced: &[u8]) {
        let mut draining: Vec<ModelRef> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Draining)
            .map(|(model, _)| model.clone())
            .collect();
        draining.sort();
        let pending = self.pending_loads.len();
        let needed = unplaced.len() + pending;
        for model in draining.iter().skip(needed) {
            self.cancel_drain(model);
        }
        if let Some(rank) = unplaced.get(draining.len().saturating_sub(pending)) {
            self.drain_one(now_ms, *rank);
        }
    }

    pub(super) fn cancel_drain(&mut self, model: &ModelRef) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = SlotState::Loaded;
        }
        self.queue.set_dispatchable(model, true);
    }

    fn load_rank(&self, request: &QueuedRequest, now_ms: Millis) -> u8 {
        let late = request.start_by_ms < now_ms + self.settings.late_within_ms;
        if !request.urgent && late {
            return request.rank.min(LATE_RANK);
        }
        request.rank
    }

    /// Whether one more load than those pending would find a slot. Pending loads of a lower
    /// priority do not count, as the load that is granted first takes the slot.
    fn has_slot_for(&self, now_ms: Millis, load: PendingLoad, may_preempt: bool) -> bool {
        let pending = self
            .pending_loads
            .values()
            .filter(|pending_load| pending_load.rank <= load.rank)
            .count();
        let held = self.slots.iter().count();
        let free = (self.shape.slots as usize).saturating_sub(held);
        let evictable = self
            .idle_slots(now_ms, load)
            .filter(|(model, _)| self.may_evict(model, load.rank, may_preempt));
        pending < free + evictable.count()
    }

    /// Whether an idle model may be evicted for a load of `rank`: always if no request waits for
    /// it, otherwise only if the load may preempt and no waiting request is urgent or ranked
    /// better.
    fn may_evict(&self, model: &ModelRef, rank: u8, may_preempt: bool) -> bool {
        match self.queue.head_rank(model) {
            None => true,
            Some(_) if self.queue.has_urgent(model) => false,
            Some(head) => may_preempt && head >= rank,
        }
    }
}
