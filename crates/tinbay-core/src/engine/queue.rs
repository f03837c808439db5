//! The waiting requests of one engine, ordered by rank, then by deadline.
//!
//! Requests are grouped by model. The first request of each group stands in one of two
//! ordered sets, one for models that can be dispatched to now and one for the others, so
//! every operation costs a logarithm of the queue's length.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use super::Ask;
use crate::ids::{ModelRef, RequestId};
use crate::units::Millis;

/// Above this many organisations remembered, those without a backlog are forgotten.
const REMEMBERED_ORGANISATIONS: usize = 1_024;

/// The place of a request in the order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// 0 goes first.
    pub rank: u8,
    /// Deadline, pushed back for an organisation that floods the engine.
    pub due_ms: Millis,
    /// Breaks ties by arrival.
    pub id: RequestId,
}

#[derive(Debug)]
struct Waiting {
    ask: Ask,
    place: Place,
}

/// The queue of one engine.
#[derive(Debug, Default)]
pub struct Queue {
    items: HashMap<RequestId, Waiting>,
    groups: HashMap<ModelRef, BTreeSet<Place>>,
    open: HashSet<ModelRef>,
    open_heads: BTreeSet<(Place, ModelRef)>,
    other_heads: BTreeSet<(Place, ModelRef)>,
    expiry: BTreeSet<(Millis, RequestId)>,
    late_batch: BTreeSet<(Millis, RequestId)>,
    per_rank: BTreeMap<u8, usize>,
    urgent: HashMap<ModelRef, usize>,
    virtual_ms: HashMap<String, Millis>,
}

impl Queue {
    /// Adds a request. `share_ms` is the spacing at which one organisation uses its fair
    /// share; its requests beyond that are placed as if they had arrived later.
    ///
    /// Kin: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996.
    pub fn push(&mut self, ask: Ask, share_ms: Millis) {
        let arrival_ms = self.virtual_arrival(&ask, share_ms);
        let patience_ms = ask.start_by_ms.saturating_sub(ask.arrived_ms);
        let place = Place {
            rank: ask.rank,
            due_ms: arrival_ms + patience_ms,
            id: ask.id,
        };
        self.expiry.insert((ask.start_by_ms, ask.id));
        *self.per_rank.entry(ask.rank).or_default() += 1;
        if ask.urgent {
            *self.urgent.entry(ask.model.clone()).or_default() += 1;
        } else {
            self.late_batch.insert((ask.start_by_ms, ask.id));
        }
        self.change_group(&ask.model, |group| {
            group.insert(place);
        });
        self.items.insert(ask.id, Waiting { ask, place });
    }

    /// Takes a request out.
    pub fn remove(&mut self, id: RequestId) -> Option<Ask> {
        let Waiting { ask, place } = self.items.remove(&id)?;
        self.expiry.remove(&(ask.start_by_ms, id));
        if let Some(count) = self.per_rank.get_mut(&ask.rank) {
            *count -= 1;
        }
        if ask.urgent {
            self.drop_urgent(&ask.model);
        } else {
            self.late_batch.remove(&(ask.start_by_ms, id));
        }
        self.change_group(&ask.model, |group| {
            group.remove(&place);
        });
        Some(ask)
    }

    /// Says whether a model's requests may be dispatched now.
    pub fn set_open(&mut self, model: &ModelRef, open: bool) {
        let head = self.head(model);
        self.unlist(model, head);
        if open {
            self.open.insert(model.clone());
        } else {
            self.open.remove(model);
        }
        self.list(model, head);
    }

    /// The first request that may be dispatched now.
    pub fn first_open(&self) -> Option<&Ask> {
        let (place, _) = self.open_heads.first()?;
        self.ask(place.id)
    }

    /// The non-urgent request nearest to its deadline among the first `depth` that may be
    /// dispatched now and would be late after `horizon_ms`.
    pub fn late_open(&self, horizon_ms: Millis, depth: usize) -> Option<&Ask> {
        self.late_batch
            .iter()
            .take(depth)
            .take_while(|(start_by_ms, _)| *start_by_ms < horizon_ms)
            .filter_map(|(_, id)| self.ask(*id))
            .find(|ask| self.open.contains(&ask.model))
    }

    /// The first requests of models that may not be dispatched to, best first.
    pub fn closed_heads(&self) -> impl Iterator<Item = &Ask> {
        self.other_heads
            .iter()
            .filter_map(|(place, _)| self.ask(place.id))
    }

    /// A request whose last moment to start has passed.
    pub fn first_expired(&self, now_ms: Millis) -> Option<RequestId> {
        let (start_by_ms, id) = self.expiry.first()?;
        (*start_by_ms < now_ms).then_some(*id)
    }

    /// Requests waiting for a model.
    pub fn waiting_for(&self, model: &ModelRef) -> Vec<RequestId> {
        let group = self.groups.get(model);
        group.into_iter().flatten().map(|place| place.id).collect()
    }

    /// Whether any request waits for a model.
    pub fn has_waiting(&self, model: &ModelRef) -> bool {
        self.groups.contains_key(model)
    }

    /// Whether an urgent request waits for a model.
    pub fn has_urgent(&self, model: &ModelRef) -> bool {
        self.urgent.contains_key(model)
    }

    /// The rank of the first request for a model.
    pub fn head_rank(&self, model: &ModelRef) -> Option<u8> {
        self.head(model).map(|place| place.rank)
    }

    /// Requests that go before a new one of `rank`.
    pub fn ahead_of(&self, rank: u8) -> usize {
        self.per_rank.range(..=rank).map(|(_, count)| count).sum()
    }

    /// Requests of one rank.
    pub fn of_rank(&self, rank: u8) -> usize {
        self.per_rank.get(&rank).copied().unwrap_or(0)
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Every waiting request.
    pub fn ids(&self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.items.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    fn ask(&self, id: RequestId) -> Option<&Ask> {
        self.items.get(&id).map(|waiting| &waiting.ask)
    }

    fn head(&self, model: &ModelRef) -> Option<Place> {
        self.groups.get(model)?.first().copied()
    }

    fn change_group(&mut self, model: &ModelRef, change: impl FnOnce(&mut BTreeSet<Place>)) {
        let head = self.head(model);
        self.unlist(model, head);
        let group = self.groups.entry(model.clone()).or_default();
        change(group);
        if group.is_empty() {
            self.groups.remove(model);
        }
        let head = self.head(model);
        self.list(model, head);
    }

    fn list(&mut self, model: &ModelRef, head: Option<Place>) {
        let Some(place) = head else { return };
        let open = self.open.contains(model);
        self.heads(open).insert((place, model.clone()));
    }

    fn unlist(&mut self, model: &ModelRef, head: Option<Place>) {
        let Some(place) = head else { return };
        let open = self.open.contains(model);
        self.heads(open).remove(&(place, model.clone()));
    }

    fn heads(&mut self, open: bool) -> &mut BTreeSet<(Place, ModelRef)> {
        if open {
            &mut self.open_heads
        } else {
            &mut self.other_heads
        }
    }

    fn drop_urgent(&mut self, model: &ModelRef) {
        if let Some(count) = self.urgent.get_mut(model) {
            *count -= 1;
            if *count == 0 {
                self.urgent.remove(model);
            }
        }
    }

    fn virtual_arrival(&mut self, ask: &Ask, share_ms: Millis) -> Millis {
        if self.virtual_ms.len() > REMEMBERED_ORGANISATIONS {
            self.virtual_ms
                .retain(|_, next_ms| *next_ms > ask.arrived_ms);
        }
        let next_ms = self.virtual_ms.entry(ask.organisation.clone()).or_default();
        let arrival_ms = ask.arrived_ms.max(*next_ms);
        *next_ms = arrival_ms + share_ms;
        arrival_ms
    }
}
