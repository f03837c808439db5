//! Orders that were sent without an answer: they may have been taken, or be taken later.
//!
//! A server takes an order only at the count that it names, so of all orders sent at one count one
//! is taken at most. While one may still be carried out, no other order names its count: what the
//! server holds at a count is then known, whichever send was taken, and a late one never finds
//! the count at which it would be taken with other contents.

use std::collections::BTreeMap;

use super::{Action, OrderAnswer};
use crate::serving::servers::AdapterName;
use crate::units::Millis;

/// How long an order without an answer may still be carried out; late ones were by 12 s after they
/// had been sent.
const DOUBT_LIFE_MS: Millis = 15_000;

/// How long a server that left an order without an answer is taken to go on so.
const LOSING_LIFE_MS: Millis = 3_000;

/// An order that may still be carried out.
#[derive(Debug, Clone)]
struct Doubtful {
    action: Action,
    until_ms: Millis,
    /// Whether it was taken, as far as is believed.
    is_taken: bool,
}

/// Orders to one server that may still be carried out.
#[derive(Debug)]
pub(super) struct Doubts {
    by_count: BTreeMap<u64, Doubtful>,
    /// Until when a look whether a load is done may still be carried out, by the count it named.
    looks: BTreeMap<u64, Millis>,
    /// Whether an order of the last holder may still be carried out.
    may_be_foreign: bool,
    lost_ms: Option<Millis>,
}

impl Doubts {
    /// What a new holder does not know.
    pub fn new() -> Self {
        Self {
            by_count: BTreeMap::new(),
            looks: BTreeMap::new(),
            may_be_foreign: true,
            lost_ms: None,
        }
    }

    /// An order was sent without an answer.
    pub fn note_unanswered(&mut self, action: &Action, now_ms: Millis) {
        self.lost_ms = Some(now_ms);
        self.by_count
            .retain(|_, doubtful| now_ms < doubtful.until_ms);
        let Some(count) = action.expected_count() else {
            return;
        };
        let doubtful = Doubtful {
            action: action.clone(),
            until_ms: now_ms + DOUBT_LIFE_MS,
            is_taken: false,
        };
        self.by_count.insert(count, doubtful);
    }

    /// An order that only looks whether a load is done was sent without an answer.
    pub fn note_look_unanswered(&mut self, action: &Action, now_ms: Millis) {
        self.lost_ms = Some(now_ms);
        self.looks.retain(|_, until_ms| now_ms < *until_ms);
        if let Some(count) = action.expected_count() {
            self.looks.insert(count, now_ms + DOUBT_LIFE_MS);
        }
    }

    /// Whether the server left orders without an answer lately.
    pub fn is_losing(&self, now_ms: Millis) -> bool {
        self.lost_ms
            .is_some_and(|lost_ms| now_ms < lost_ms + LOSING_LIFE_MS)
    }

    /// The order that may still be carried out at a count.
    pub fn at(&self, count: u64, now_ms: Millis) -> Option<&Action> {
        let doubtful = self.by_count.get(&count)?;
        (now_ms < doubtful.until_ms).then_some(&doubtful.action)
    }

    /// Loads that may still be carried out once the server has taken more orders than so many.
    pub fn loads_after(&self, count: u64, now_ms: Millis) -> usize {
        let after = self.by_count.range(count + 1..);
        let is_load = |doubtful: &&Doubtful| {
            matches!(doubtful.action, Action::Load { .. }) && now_ms < doubtful.until_ms
        };
        after.map(|(_, doubtful)| doubtful).filter(is_load).count()
    }

    /// The server has taken so many orders: those that named a lower count are over. The adapters
    /// of unloads among them of which it was not known.
    pub fn note_count(&mut self, count: u64) -> Vec<AdapterName> {
        let later = self.by_count.split_off(&count);
        let over = std::mem::replace(&mut self.by_count, later);
        over.into_iter()
            .filter(|(count, doubtful)| !doubtful.is_taken && !self.looks.contains_key(count))
            .filter_map(|(_, doubtful)| match doubtful.action {
                Action::Unload { adapter, .. } => Some(adapter),
                _ => None,
            })
            .collect()
    }

    /// An order is believed to have been taken.
    pub fn note_taken(&mut self, action: &Action) {
        let count = action.expected_count();
        if let Some(doubtful) = count.and_then(|count| self.by_count.get_mut(&count)) {
            doubtful.is_taken = true;
        }
    }

    /// Whether a conflict after sends of an order without an answer can only mean that one of them
    /// was taken: no order of another holder, and no look, may have been taken at its count.
    pub fn shows_taken(&self, action: &Action, now_ms: Millis) -> bool {
        let is_looked_at = action.expected_count().is_some_and(|count| {
            let until_ms = self.looks.get(&count);
            until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        });
        !self.may_be_foreign && !is_looked_at
    }

    /// The server said how it took an order: what an earlier holder sent at its count is over.
    pub fn note_told(&mut self, answer: OrderAnswer) {
        if answer == OrderAnswer::Accepted {
            self.may_be_foreign = false;
        }
    }
}
