//! Load requests of all boxes to one server, as the box that holds the claim on it tracks them.
//!
//! A load request expires unless it is repeated: boxes repeat theirs while a caller's request
//! waits. So nothing has to be cancelled, and a box that crashes leaves no load requests behind.

use std::collections::HashMap;

use super::contents::{AdapterKey, adapter_key};
use super::servers::AdapterName;
use crate::units::Millis;

/// How long a load request is valid; boxes repeat theirs several times within it.
const REQUEST_EXPIRY_MS: Millis = 1_000;

/// A request to load an adapter, or a base model where no adapter is named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedLoad {
    /// Name of the adapter, as `model/name`.
    pub adapter: AdapterName,
    /// Version to load; the newest one where none is given.
    pub version: Option<u64>,
    /// Whether it is an additional copy of a busy adapter, for which no caller's request waits.
    pub is_copy: bool,
}

#[derive(Debug)]
struct LoadRequest {
    want: WantedLoad,
    first_ms: Millis,
    last_ms: Millis,
}

/// Load requests of all boxes for one server.
#[derive(Debug, Default)]
pub struct WantedLoads {
    by_adapter: HashMap<AdapterKey, LoadRequest>,
}

impl WantedLoads {
    /// Adds a load request, or renews it with the newer version of the two. If any box has a
    /// request waiting for the adapter, the load no longer counts as a copy.
    pub fn add(&mut self, want: WantedLoad, now_ms: Millis) {
        let key = adapter_key(&want.adapter);
        let Some(request) = self.by_adapter.get_mut(&key) else {
            let request = LoadRequest {
                want,
                first_ms: now_ms,
                last_ms: now_ms,
            };
            self.by_adapter.insert(key, request);
            return;
        };
        request.want.version = request.want.version.max(want.version);
        request.want.is_copy &= want.is_copy;
        request.last_ms = now_ms;
    }

    /// Removes an adapter that has been loaded.
    pub fn forget(&mut self, key: AdapterKey) {
        self.by_adapter.remove(&key);
    }

    /// Number of adapters that callers' requests wait for.
    pub fn awaited(&self) -> usize {
        let is_awaited = |request: &&LoadRequest| !request.want.is_copy;
        self.by_adapter.values().filter(is_awaited).count()
    }

    /// Whether there are no load requests.
    pub fn is_empty(&self) -> bool {
        self.by_adapter.is_empty()
    }

    /// Valid load requests: those that callers wait for first, then copies; oldest first within
    /// each.
    pub fn current(&mut self, now_ms: Millis) -> Vec<WantedLoad> {
        self.by_adapter
            .retain(|_, request| now_ms < request.last_ms + REQUEST_EXPIRY_MS);
        let mut requests: Vec<&LoadRequest> = self.by_adapter.values().collect();
        requests.sort_by(|left, right| {
            let order = |request: &LoadRequest| (request.want.is_copy, request.first_ms);
            let by_order = order(left).cmp(&order(right));
            by_order.then_with(|| left.want.adapter.cmp(&right.want.adapter))
        });
        requests
            .into_iter()
            .map(|request| request.want.clone())
            .collect()
    }
}
