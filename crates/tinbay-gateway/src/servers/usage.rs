//! What this box has running at one server.

use std::collections::HashMap;

use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::guests::AdapterUse;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

/// Pause after which the holder is told again what still runs, as messages may be lost.
const REFRESH_MS: Millis = 1_000;

#[derive(Debug, Default, Clone, Copy)]
struct Requests {
    running: u16,
    begun: u16,
}

/// What this box has running at one server.
#[derive(Debug, Default)]
pub struct Usage {
    running: usize,
    by_adapter: HashMap<AdapterKey, Requests>,
    is_changed: bool,
    told_ms: Millis,
    last_delay: Option<f64>,
}

impl Usage {
    /// A request begins, for an adapter if it names one.
    pub fn begin(&mut self, adapter: Option<AdapterKey>) {
        self.running += 1;
        if let Some(adapter) = adapter {
            let requests = self.by_adapter.entry(adapter).or_default();
            requests.running = requests.running.saturating_add(1);
            requests.begun = requests.begun.saturating_add(1);
            self.is_changed = true;
        }
    }

    /// A request ends.
    pub fn end(&mut self, adapter: Option<AdapterKey>) {
        self.running -= 1;
        if let Some(requests) = adapter.and_then(|key| self.by_adapter.get_mut(&key)) {
            requests.running = requests.running.saturating_sub(1);
            self.is_changed = true;
        }
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Requests that run for one adapter.
    pub fn running_for(&self, adapter: AdapterKey) -> usize {
        let requests = self.by_adapter.get(&adapter);
        requests.map_or(0, |requests| usize::from(requests.running))
    }

    /// Notes how the last time to the first byte stood to its objective.
    pub fn note_delay(&mut self, part_of_objective: f64) {
        self.last_delay = Some(part_of_objective);
    }

    /// Whether the holder is to be told.
    pub fn is_due(&self, now_ms: Millis) -> bool {
        self.is_changed || (!self.by_adapter.is_empty() && now_ms >= self.told_ms + REFRESH_MS)
    }

    /// All that runs, to tell the holder, with the last time to the first byte.
    pub fn tell(&mut self, now_ms: Millis) -> (Vec<AdapterUse>, Option<f64>) {
        let uses = self
            .by_adapter
            .iter()
            .map(|(key, requests)| AdapterUse {
                adapter: *key as Fingerprint,
                running: requests.running,
                begun: requests.begun,
            })
            .collect();
        for requests in self.by_adapter.values_mut() {
            requests.begun = 0;
        }
        self.by_adapter.retain(|_, requests| requests.running > 0);
        self.is_changed = false;
        self.told_ms = now_ms;
        (uses, self.last_delay.take())
    }
}
