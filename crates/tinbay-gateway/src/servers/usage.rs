//! What this box has running at one server.

use std::collections::HashMap;

use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::subscribers::AdapterUse;
use tinbay_core::units::Millis;

/// Pause after which the holder is told again what still runs, as messages may be lost.
const REFRESH_MS: Millis = 1_000;

#[derive(Debug, Default, Clone, Copy)]
struct Requests {
    running: u16,
    begun: u16,
    begun_tokens: u32,
}

/// What this box has running at one server.
#[derive(Debug, Default)]
pub struct Usage {
    running: usize,
    by_adapter: HashMap<AdapterKey, Requests>,
    is_changed: bool,
    told_ms: Millis,
    last_delay: Option<f64>,
    mistrust: f64,
}

/// What the holder of a server is told.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// All that runs, by adapter.
    pub uses: Vec<AdapterUse>,
    /// Mistrust by failures since the last report.
    pub mistrust: f64,
    /// The last time to the first byte as a part of its objective, if one is new.
    pub delay: Option<f64>,
}

impl Usage {
    /// A request with so many tokens to read begins, for an adapter if it names one.
    pub fn begin(&mut self, adapter: Option<AdapterKey>, tokens: u32) {
        self.running += 1;
        if let Some(adapter) = adapter {
            let requests = self.by_adapter.entry(adapter).or_default();
            requests.running = requests.running.saturating_add(1);
            requests.begun = requests.begun.saturating_add(1);
            requests.begun_tokens = requests.begun_tokens.saturating_add(tokens);
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

    /// Notes a failure there.
    pub fn note_failure(&mut self, mistrust: f64) {
        self.mistrust += mistrust;
        self.is_changed = true;
    }

    /// Whether the holder is to be told.
    pub fn is_due(&self, now_ms: Millis) -> bool {
        self.is_changed || (!self.by_adapter.is_empty() && now_ms >= self.told_ms + REFRESH_MS)
    }

    /// What the holder is told now.
    pub fn tell(&mut self, now_ms: Millis) -> UsageReport {
        let uses = self
            .by_adapter
            .iter()
            .map(|(key, requests)| AdapterUse {
                adapter: *key as Fingerprint,
                running: requests.running,
                begun: requests.begun,
                begun_tokens: requests.begun_tokens,
            })
            .collect();
        for requests in self.by_adapter.values_mut() {
            requests.begun = 0;
            requests.begun_tokens = 0;
        }
        self.by_adapter.retain(|_, requests| requests.running > 0);
        self.is_changed = false;
        self.told_ms = now_ms;
        UsageReport {
            uses,
            mistrust: std::mem::take(&mut self.mistrust),
            delay: self.last_delay.take(),
        }
    }
}
