//! Requests that this box has running at one backend server, and the reports of them to the
//! server's holder.

use std::collections::HashMap;

use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::subscribers::AdapterUse;
use tinbay_core::units::Millis;

/// Interval at which running requests are reported again even without a change, as messages may be
/// lost.
const REPORT_INTERVAL_MS: Millis = 1_000;

#[derive(Debug, Default, Clone, Copy)]
struct Requests {
    running: u16,
    begun: u16,
    begun_tokens: u32,
}

/// Requests that this box has running at one server.
#[derive(Debug, Default)]
pub struct Usage {
    running: usize,
    by_adapter: HashMap<AdapterKey, Requests>,
    is_changed: bool,
    reported_ms: Millis,
    last_delay: Option<f64>,
    failure_penalty: f64,
}

/// Report of this box's requests to the holder of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    /// Running and newly begun requests by adapter.
    pub uses: Vec<AdapterUse>,
    /// Penalty for failures since the last report.
    pub failure_penalty: f64,
    /// Last time to the first byte as a fraction of its objective; `None` if there is no new one.
    pub delay: Option<f64>,
}

impl Usage {
    /// Counts a request with `tokens` prompt tokens as begun, for an adapter if it names one.
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

    /// Counts a request as ended.
    pub fn end(&mut self, adapter: Option<AdapterKey>) {
        self.running -= 1;
        if let Some(requests) = adapter.and_then(|key| self.by_adapter.get_mut(&key)) {
            requests.running = requests.running.saturating_sub(1);
            self.is_changed = true;
        }
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of running requests for one adapter.
    pub fn running_for(&self, adapter: AdapterKey) -> usize {
        let requests = self.by_adapter.get(&adapter);
        requests.map_or(0, |requests| usize::from(requests.running))
    }

    /// Records the last time to the first byte as a fraction of its objective.
    pub fn record_delay(&mut self, part_of_objective: f64) {
        self.last_delay = Some(part_of_objective);
    }

    /// Adds the penalty of a failure.
    pub fn record_failure(&mut self, failure_penalty: f64) {
        self.failure_penalty += failure_penalty;
        self.is_changed = true;
    }

    /// Drops the penalties that are not reported yet.
    pub fn clear_failures(&mut self) {
        self.failure_penalty = 0.0;
    }

    /// Whether a report to the holder is due.
    pub fn is_due(&self, now_ms: Millis) -> bool {
        self.is_changed
            || (!self.by_adapter.is_empty() && now_ms >= self.reported_ms + REPORT_INTERVAL_MS)
    }

    /// Builds the report for the holder and resets the counts since the last one. Failures are held
    /// back until it is verified that they were the server's own.
    pub fn take_report(&mut self, now_ms: Millis, is_verified: bool) -> UsageReport {
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
        let failure_penalty = match is_verified {
            true => std::mem::take(&mut self.failure_penalty),
            false => 0.0,
        };
        self.is_changed = self.failure_penalty > 0.0;
        self.reported_ms = now_ms;
        UsageReport {
            uses,
            failure_penalty,
            delay: self.last_delay.take(),
        }
    }
}
