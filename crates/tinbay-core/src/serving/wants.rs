//! What boxes ask of one server, as its holder keeps it.
//!
//! A want lives as long as it is asked for: boxes ask again while a request waits. So nothing
//! has to be taken back, and a box that dies leaves nothing behind.

use std::collections::HashMap;

use super::contents::{AdapterKey, adapter_key};
use super::servers::AdapterName;
use crate::units::Millis;

/// How long an ask counts; boxes repeat theirs several times in between.
const ASK_LIFE_MS: Millis = 1_000;

/// An adapter that requests need, or a model where no adapter is named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Want {
    /// The adapter as `model/name`.
    pub adapter: AdapterName,
    /// The version that was named, if one was.
    pub version: Option<u64>,
    /// Whether no request waits for it: it is for one more server of a busy adapter.
    pub is_copy: bool,
    /// How often it must be asked for, one time soon after the other, before it is wanted: a copy that
    /// only serves while others ask for it as well is not worth a load for one request.
    pub least_asks: u8,
}

#[derive(Debug)]
struct Asked {
    want: Want,
    first_ms: Millis,
    last_ms: Millis,
    asks: u8,
}

/// What boxes ask of one server.
#[derive(Debug, Default)]
pub struct Wants {
    by_adapter: HashMap<AdapterKey, Asked>,
}

impl Wants {
    /// Notes an ask; a request that waits counts before a copy of the same adapter.
    pub fn ask(&mut self, want: Want, now_ms: Millis) {
        let key = adapter_key(&want.adapter);
        let Some(asked) = self.by_adapter.get_mut(&key) else {
            let asked = Asked {
                want,
                first_ms: now_ms,
                last_ms: now_ms,
                asks: 1,
            };
            self.by_adapter.insert(key, asked);
            return;
        };
        asked.want.version = asked.want.version.max(want.version);
        asked.want.is_copy &= want.is_copy;
        asked.want.least_asks = asked.want.least_asks.min(want.least_asks);
        asked.asks = asked.asks.saturating_add(1);
        asked.last_ms = now_ms;
    }

    /// The adapter is there.
    pub fn forget(&mut self, key: AdapterKey) {
        self.by_adapter.remove(&key);
    }

    /// Adapters that requests wait for.
    pub fn awaited(&self) -> usize {
        let is_awaited = |asked: &&Asked| !asked.want.is_copy;
        self.by_adapter.values().filter(is_awaited).count()
    }

    /// Whether nothing is wanted.
    pub fn is_empty(&self) -> bool {
        self.by_adapter.is_empty()
    }

    /// What is wanted now: what requests wait for first, and the longest wanted first.
    pub fn current(&mut self, now_ms: Millis) -> Vec<Want> {
        self.by_adapter
            .retain(|_, asked| now_ms < asked.last_ms + ASK_LIFE_MS);
        let is_wanted = |asked: &&Asked| asked.asks >= asked.want.least_asks;
        let mut asked: Vec<&Asked> = self.by_adapter.values().filter(is_wanted).collect();
        asked.sort_by(|left, right| {
            let order = |asked: &Asked| (asked.want.is_copy, asked.first_ms);
            let by_order = order(left).cmp(&order(right));
            by_order.then_with(|| left.want.adapter.cmp(&right.want.adapter))
        });
        asked.into_iter().map(|asked| asked.want.clone()).collect()
    }
}
