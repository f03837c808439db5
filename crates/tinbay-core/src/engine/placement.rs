//! Which models get slots: loads, unloads, and slots that are closed to make room.

use super::owner::EngineOwner;
use super::slots::{Slot, SlotState};
use super::{Ask, Command};
use crate::ids::ModelRef;
use crate::units::Millis;

/// Rank below that of counter and desk work at which late batch work asks for a load.
const LATE_RANK: u8 = 1;

/// A load that was asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wish {
    rank: u8,
    urgent: bool,
}

/// A model that waits for a slot.
#[derive(Debug)]
struct WantedLoad {
    model: ModelRef,
    wish: Wish,
    /// Whether it may take a slot that other batch work uses.
    pressing: bool,
    since_ms: Millis,
}

impl EngineOwner {
    pub(super) fn start_load(&mut self, now_ms: Millis, model: ModelRef, out: &mut Vec<Command>) {
        if self.is_under_way(&model) {
            return;
        }
        let Some(wish) = self.wishes.remove(&model) else {
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
        let Some(victim) = self.choose_idle_victim(now_ms, wish) else {
            out.push(Command::ReturnLoad(model));
            return;
        };
        self.begin_unload(&victim);
        self.replacing.insert(victim.clone(), model);
        out.push(Command::Unload(victim));
    }

    /// Whether an earlier grant for the model is still being used.
    fn is_under_way(&self, model: &ModelRef) -> bool {
        let loading = |slot: &Slot| slot.state == SlotState::Loading;
        self.slots.get(model).is_some_and(loading)
            || self.replacing.values().any(|next| next == model)
    }

    fn begin_unload(&mut self, victim: &ModelRef) {
        self.queue.set_open(victim, false);
        if let Some(slot) = self.slots.get_mut(victim) {
            slot.state = SlotState::Unloading;
        }
    }

    /// The loaded model that serves nothing and is missed least.
    fn choose_idle_victim(&self, now_ms: Millis, wish: Wish) -> Option<ModelRef> {
        self.idle_slots(now_ms, wish)
            .filter(|(model, _)| {
                !self.queue.has_urgent(model)
                    && self
                        .queue
                        .head_rank(model)
                        .is_none_or(|head| head >= wish.rank)
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

    /// Slots that serve nothing and that work like this may take.
    fn idle_slots(&self, now_ms: Millis, wish: Wish) -> impl Iterator<Item = (&ModelRef, &Slot)> {
        let from_batch_only = self.may_take_from_batch_only(now_ms, wish);
        self.slots.iter().filter(move |(model, slot)| {
            self.is_idle(model, slot, now_ms)
                && (!from_batch_only || slot.is_held_for_batch(now_ms))
        })
    }

    fn is_idle(&self, model: &ModelRef, slot: &Slot, now_ms: Millis) -> bool {
        matches!(slot.state, SlotState::Loaded | SlotState::Closing)
            && slot.serving == 0
            && now_ms >= slot.keep_until_ms
            && !self.inherited.contains_key(model)
    }

    /// Whether batch work holds its share of the slots, so that a further batch model must
    /// take the place of another: between their requests the counter's models are idle too.
    fn may_take_from_batch_only(&self, now_ms: Millis, wish: Wish) -> bool {
        if wish.urgent {
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

    /// Closes the least wanted model that runs only work of a rank behind `rank`.
    fn close_one(&mut self, now_ms: Millis, rank: u8) {
        let busy_with_less = |model: &ModelRef| {
            !self.queue.has_urgent(model)
                && self.queue.head_rank(model).is_none_or(|head| head > rank)
        };
        let victim = self
            .slots
            .iter()
            .filter(|(model, slot)| slot.state == SlotState::Loaded && busy_with_less(model))
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
        self.queue.set_open(&victim, false);
        if let Some(slot) = self.slots.get_mut(&victim) {
            slot.state = SlotState::Closing;
        }
    }

    /// Asks for loads for the most pressing models that are not loaded, and closes as many
    /// busy slots as pressing models find no other way.
    pub(super) fn plan_loads(&mut self, now_ms: Millis, out: &mut Vec<Command>) {
        let mut unplaced: Vec<u8> = Vec::new();
        for want in self.wanted_loads(now_ms) {
            if self.is_under_way(&want.model) {
                continue;
            }
            let asked = self.wishes.get(&want.model).copied();
            if asked.is_some_and(|asked| asked.rank <= want.wish.rank) {
                continue;
            }
            if asked.is_none() && !self.has_room(now_ms, want.wish, want.pressing) {
                if want.pressing {
                    unplaced.push(want.wish.rank);
                }
                continue;
            }
            self.wishes.insert(want.model.clone(), want.wish);
            out.push(Command::AskLoad {
                model: want.model,
                rank: want.wish.rank,
                since_ms: want.since_ms,
            });
        }
        self.fit_closing_slots(now_ms, &unplaced);
    }

    /// The first waiting models without a slot, at most as many as there are slots.
    fn wanted_loads(&self, now_ms: Millis) -> Vec<WantedLoad> {
        let room = self.shape.slots as usize;
        self.queue
            .closed_heads()
            .take(2 * room)
            .filter(|ask| self.slots.get(&ask.model).is_none())
            .take(room)
            .map(|ask| {
                let waited_ms = now_ms.saturating_sub(ask.arrived_ms);
                WantedLoad {
                    model: ask.model.clone(),
                    wish: Wish {
                        rank: self.load_rank(ask, now_ms),
                        urgent: ask.urgent,
                    },
                    pressing: ask.urgent || waited_ms >= self.settings.swap_patience_ms,
                    since_ms: ask.arrived_ms,
                }
            })
            .collect()
    }

    /// Keeps one busy slot closing for each pressing model that found no room, and opens
    /// those again that nobody needs any more.
    fn fit_closing_slots(&mut self, now_ms: Millis, unplaced: &[u8]) {
        let mut closing: Vec<ModelRef> = self
            .slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Closing)
            .map(|(model, _)| model.clone())
            .collect();
        closing.sort();
        let promised = self.wishes.len();
        let needed = unplaced.len() + promised;
        for model in closing.iter().skip(needed) {
            self.reopen(model);
        }
        if let Some(rank) = unplaced.get(closing.len().saturating_sub(promised)) {
            self.close_one(now_ms, *rank);
        }
    }

    pub(super) fn reopen(&mut self, model: &ModelRef) {
        if let Some(slot) = self.slots.get_mut(model) {
            slot.state = SlotState::Loaded;
        }
        self.queue.set_open(model, true);
    }

    fn load_rank(&self, ask: &Ask, now_ms: Millis) -> u8 {
        let late = ask.start_by_ms < now_ms + self.settings.late_within_ms;
        if !ask.urgent && late {
            return ask.rank.min(LATE_RANK);
        }
        ask.rank
    }

    /// Whether one more load than those promised already would find a slot. Wishes that stand
    /// behind this one do not count: whoever is granted first takes the slot.
    fn has_room(&self, now_ms: Millis, wish: Wish, pressing: bool) -> bool {
        let promised = self
            .wishes
            .values()
            .filter(|asked| asked.rank <= wish.rank)
            .count();
        let held = self.slots.iter().count();
        let free = (self.shape.slots as usize).saturating_sub(held);
        let yielding = self
            .idle_slots(now_ms, wish)
            .filter(|(model, _)| self.yields(model, wish.rank, pressing));
        promised < free + yielding.count()
    }

    /// Whether an idle model gives way: at once when nothing waits for it, else only to
    /// work that goes before and has waited long enough.
    fn yields(&self, model: &ModelRef, rank: u8, pressing: bool) -> bool {
        match self.queue.head_rank(model) {
            None => true,
            Some(_) if self.queue.has_urgent(model) => false,
            Some(head) => pressing && head >= rank,
        }
    }
}
