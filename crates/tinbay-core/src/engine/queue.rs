//! The request queue of one engine, ordered by rank, then by deadline.
//!
//! Requests are grouped by model. The first request of each group is kept in one of two
//! ordered sets: one for dispatchable models, one for the others. Insertions and removals
//! are therefore logarithmic in the queue's length.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use super::QueuedRequest;
use crate::ids::{ModelRef, RequestId};
use crate::units::Millis;

/// Above this number of tracked organisations, those without a backlog are dropped.
const MAX_TRACKED_ORGANISATIONS: usize = 1_024;

/// Sort key of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Latest start time, pushed back for an organisation above its fair share.
    pub due_ms: Millis,
    /// Breaks ties in the order of arrival.
    pub id: RequestId,
}

#[derive(Debug)]
struct Waiting {
    request: QueuedRequest,
    key: QueueKey,
}

/// The queue of one engine.
#[derive(Debug, Default)]
pub struct Queue {
    items: HashMap<RequestId, Waiting>,
    groups: HashMap<ModelRef, BTreeSet<QueueKey>>,
    dispatchable: HashSet<ModelRef>,
    dispatchable_heads: BTreeSet<(QueueKey, ModelRef)>,
    blocked_heads: BTreeSet<(QueueKey, ModelRef)>,
    expiry: BTreeSet<(Millis, RequestId)>,
    late_batch: BTreeSet<(Millis, RequestId)>,
    per_rank: BTreeMap<u8, usize>,
    urgent: HashMap<ModelRef, usize>,
    virtual_ms: HashMap<String, Millis>,
}

impl Queue {
    /// Adds a request. `share_ms` is the interval between requests at which one organisation
    /// uses exactly its fair share; requests above that rate are queued as if they had arrived
    /// later.
    ///
    /// Related: Goyal, Vin and Cheng, "Start-time fair queueing", SIGCOMM 1996.
    pub fn push(&mut self, request: QueuedRequest, share_ms: Millis) {
        let arrival_ms = self.virtual_arrival(&request, share_ms);
        let max_wait_ms = request.start_by_ms.saturating_sub(request.arrived_ms);
        let key = QueueKey {
            rank: request.rank,
            due_ms: arrival_ms + max_wait_ms,
            id: request.id,
        };
        self.expiry.insert((request.start_by_ms, request.id));
        *self.per_rank.entry(request.rank).or_default() += 1;
        if request.urgent {
            *self.urgent.entry(request.model.clone()).or_default() += 1;
        } else {
            self.late_batch.insert((request.start_by_ms, request.id));
        }
        self.change_group(&request.model, |group| {
            group.insert(key);
        });
        self.items.insert(request.id, Waiting { request, key });
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<QueuedRequest> {
        let Waiting { request, key } = self.items.remove(&id)?;
        self.expiry.remove(&(request.start_by_ms, id));
        if let Some(count) = self.per_rank.get_mut(&request.rank) {
            *count -= 1;
        }
        if request.urgent {
            self.decrement_urgent(&request.model);
        } else {
            self.late_batch.remove(&(request.start_by_ms, id));
        }
        self.change_group(&request.model, |group| {
            group.remove(&key);
        });
        Some(request)
    }

    /// Sets whether a model's requests may be dispatched now.
    pub fn set_dispatchable(&mut self, model: &ModelRef, dispatchable: bool) {
        let head = self.head(model);
        self.remove_head(model, head);
        if dispatchable {
            self.dispatchable.insert(model.clone());
        } else {
            self.dispatchable.remove(model);
        }
        self.insert_head(model, head);
    }

    /// The first request of a dispatchable model.
    pub fn first_dispatchable(&self) -> Option<&QueuedRequest> {
        let (key, _) = self.dispatchable_heads.first()?;
        self.request(key.id)
    }

    /// The first dispatchable request among the `depth` batch requests with the earliest start
    /// limits, if that limit is before `horizon_ms`.
    pub fn late_dispatchable(&self, horizon_ms: Millis, depth: usize) -> Option<&QueuedRequest> {
        self.late_batch
            .iter()
            .take(depth)
            .take_while(|(start_by_ms, _)| *start_by_ms < horizon_ms)
            .filter_map(|(_, id)| self.request(*id))
            .find(|request| self.dispatchable.contains(&request.model))
    }

    /// The first request of each model that is not dispatchable, in queue order.
    pub fn blocked_heads(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.blocked_heads
            .iter()
            .filter_map(|(key, _)| self.request(key.id))
    }

    /// A request whose latest start time has passed.
    pub fn first_expired(&self, now_ms: Millis) -> Option<RequestId> {
        let (start_by_ms, id) = self.expiry.first()?;
        (*start_by_ms < now_ms).then_some(*id)
    }

    /// Requests queued for a model, in queue order.
    pub fn waiting_for(&self, model: &ModelRef) -> Vec<RequestId> {
        let group = self.groups.get(model);
        group.into_iter().flatten().map(|key| key.id).collect()
    }

    /// Whether any request is queued for a model.
    pub fn has_waiting(&self, model: &ModelRef) -> bool {
        self.groups.contains_key(model)
    }

    /// Whether an urgent request is queued for a model.
    pub fn has_urgent(&self, model: &ModelRef) -> bool {
        self.urgent.contains_key(model)
    }

    /// Rank of the first request queued for a model.
    pub fn head_rank(&self, model: &ModelRef) -> Option<u8> {
        self.head(model).map(|key| key.rank)
    }

    /// Number of requests that go before a new one of `rank`.
    pub fn count_ahead_of(&self, rank: u8) -> usize {
        self.per_rank.range(..=rank).map(|(_, count)| count).sum()
    }

    /// Number of requests of one rank.
    pub fn count_of_rank(&self, rank: u8) -> usize {
        self.per_rank.get(&rank).copied().unwrap_or(0)
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// All queued requests, sorted by id.
    pub fn ids(&self) -> Vec<RequestId> {
        let mut ids: Vec<RequestId> = self.items.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    fn request(&self, id: RequestId) -> Option<&QueuedRequest> {
        self.items.get(&id).map(|waiting| &waiting.request)
    }

    fn head(&self, model: &ModelRef) -> Option<QueueKey> {
        self.groups.get(model)?.first().copied()
    }

    fn change_group(&mut self, model: &ModelRef, change: impl FnOnce(&mut BTreeSet<QueueKey>)) {
        let head = self.head(model);
        self.remove_head(model, head);
        let group = self.groups.entry(model.clone()).or_default();
        change(group);
        if group.is_empty() {
            self.groups.remove(model);
        }
        let head = self.head(model);
        self.insert_head(model, head);
    }

    fn insert_head(&mut self, model: &ModelRef, head: Option<QueueKey>) {
        let Some(key) = head else { return };
        let dispatchable = self.dispatchable.contains(model);
        self.heads(dispatchable).insert((key, model.clone()));
    }

    fn remove_head(&mut self, model: &ModelRef, head: Option<QueueKey>) {
        let Some(key) = head else { return };
        let dispatchable = self.dispatchable.contains(model);
        self.heads(dispatchable).remove(&(key, model.clone()));
    }

    fn heads(&mut self, dispatchable: bool) -> &mut BTreeSet<(QueueKey, ModelRef)> {
        if dispatchable {
            &mut self.dispatchable_heads
        } else {
            &mut self.blocked_heads
        }
    }

    fn decrement_urgent(&mut self, model: &ModelRef) {
        if let Some(count) = self.urgent.get_mut(model) {
            *count -= 1;
            if *count == 0 {
                self.urgent.remove(model);
            }
        }
    }

    fn virtual_arrival(&mut self, request: &QueuedRequest, share_ms: Millis) -> Millis {
        if self.virtual_ms.len() > MAX_TRACKED_ORGANISATIONS {
            self.virtual_ms
                .retain(|_, next_ms| *next_ms > request.arrived_ms);
        }
        let next_ms = self
            .virtual_ms
            .entry(request.organisation.clone())
            .or_default();
        let arrival_ms = request.arrived_ms.max(*next_ms);
        *next_ms = arrival_ms + share_ms;
        arrival_ms
    }
}
