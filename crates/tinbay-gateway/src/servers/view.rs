//! This box's view of a backend server, as the server's holder reports it.

use std::collections::HashMap;

use tinbay_core::serving::contents::HeldState;
use tinbay_core::serving::decay::decayed;
use tinbay_core::serving::prefill::Backlog;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::subscribers::{ContentsChange, FAILURE_PENALTY_HALF_LIFE_MS, FRESH_MS};
use tinbay_core::units::Millis;

/// Time for which the load and capacity values of a status are used. Its list of adapters is used
/// until the next status.
const STATUS_VALID_MS: Millis = 2_000;

/// Time-out of a holder's answer to a status request; a datagram and its reply take a few
/// milliseconds.
const ANSWER_TIMEOUT_MS: Millis = 60;

/// Time for which a holder that did not answer is skipped.
const SILENT_HOLDER_PAUSE_MS: Millis = 1_500;

/// An adapter at a server, as reported by the server's holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewEntry {
    /// Version; 0 if it is not known.
    pub version: u64,
    /// Whether it is still loading or ready to serve.
    pub state: HeldState,
    /// Number of servers over which it is spread, counted along its order of preferred servers.
    pub copies: usize,
}

/// Status of a server, as sent by its holder.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerStatus {
    /// Adapters that occupy a slot of the server.
    pub entries: HashMap<Fingerprint, ViewEntry>,
    /// Requests that other boxes have running there at the time of sending.
    pub running_elsewhere: usize,
    /// Usual time to the first byte over all boxes, as a fraction of the objective.
    pub delay: f64,
    /// Time the server needs for the prompts queued ahead of a new request.
    pub backlog_ms: f64,
    /// Penalty for failed requests of all boxes.
    pub failure_penalty: f64,
    /// Whether the server could begin a load.
    pub takes_loads: bool,
    /// Expected time until a load requested now is finished.
    pub load_wait_ms: f64,
    /// Whether requests need the holder's admission.
    pub is_scarce: bool,
}

/// This box's view of a server, as the server's holder reports it.
#[derive(Debug, Default)]
pub struct View {
    status: Option<ServerStatus>,
    backlog: Backlog,
    received_ms: Millis,
    /// Time of the first request to the holder that is not answered yet.
    asked_ms: Option<Millis>,
}

impl View {
    /// Stores a status from the holder and returns what it changes.
    pub fn apply_status(&mut self, status: ServerStatus, now_ms: Millis) -> ContentsChange {
        let change = self.change_to(&status);
        self.backlog = Backlog::new(status.backlog_ms, now_ms);
        self.status = Some(status);
        self.received_ms = now_ms;
        self.asked_ms = None;
        change
    }

    fn change_to(&self, status: &ServerStatus) -> ContentsChange {
        let before = self.status.as_ref().map(|status| &status.entries);
        let serves = |entries: Option<&HashMap<Fingerprint, ViewEntry>>, adapter: &Fingerprint| {
            let entry = entries?.get(adapter)?;
            (entry.state == HeldState::Ready).then_some(entry.version)
        };
        let is_new = |adapter: &&Fingerprint| {
            let version = serves(Some(&status.entries), adapter);
            version.is_some() && version != serves(before, adapter)
        };
        let is_lost = |adapter: &Fingerprint| {
            let version = serves(before, adapter);
            version.is_some() && version != serves(Some(&status.entries), adapter)
        };
        ContentsChange {
            ready: status.entries.keys().filter(is_new).copied().collect(),
            has_lost_adapter: before.is_some_and(|entries| entries.keys().any(is_lost)),
        }
    }

    /// Records a request to the holder. The time-out runs from the first unanswered one.
    pub fn record_request(&mut self, now_ms: Millis) {
        let is_over = |asked_ms| now_ms >= asked_ms + SILENT_HOLDER_PAUSE_MS;
        if self.asked_ms.is_none_or(is_over) {
            self.asked_ms = Some(now_ms);
        }
    }

    /// Whether the holder failed to answer in time and is to be skipped for now.
    pub fn is_silent(&self, now_ms: Millis) -> bool {
        self.asked_ms.is_some_and(|asked_ms| {
            let waited_ms = now_ms.saturating_sub(asked_ms);
            (ANSWER_TIMEOUT_MS..SILENT_HOLDER_PAUSE_MS).contains(&waited_ms)
        })
    }

    /// Whether the status is recent enough to choose the server by it.
    pub fn is_fresh(&self, now_ms: Millis) -> bool {
        self.status.is_some() && now_ms < self.received_ms + FRESH_MS
    }

    /// Returns an adapter from the last status, however old: the server refuses a request for an
    /// adapter that it lacks.
    pub fn entry(&self, adapter: Fingerprint) -> Option<ViewEntry> {
        self.status.as_ref()?.entries.get(&adapter).copied()
    }

    /// Removes an adapter after the server refused a request because it doesn't hold it.
    pub fn record_missing(&mut self, adapter: Fingerprint) {
        if let Some(status) = &mut self.status {
            status.entries.remove(&adapter);
        }
    }

    /// Requests that other boxes have running there; 0 without a recent status.
    pub fn running_elsewhere(&self, now_ms: Millis) -> usize {
        self.recent(now_ms)
            .map_or(0, |status| status.running_elsewhere)
    }

    /// Usual time to the first byte over all boxes; 0 without a recent status.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        self.recent(now_ms).map_or(0.0, |status| status.delay)
    }

    /// Adds the prompt of a request that this box has sent to the backlog.
    pub fn add_to_backlog(&mut self, prefill_ms: f64, now_ms: Millis) {
        self.backlog.add(prefill_ms, now_ms);
    }

    /// Time the server needs for the prompts queued ahead of a new request.
    pub fn backlog_ms(&self, now_ms: Millis) -> f64 {
        self.backlog.at(now_ms)
    }

    /// Penalty for failed requests of all boxes, which decays over time.
    pub fn failure_penalty(&self, now_ms: Millis) -> f64 {
        let reported = self
            .status
            .as_ref()
            .map_or(0.0, |status| status.failure_penalty);
        decayed(
            reported,
            self.received_ms,
            FAILURE_PENALTY_HALF_LIFE_MS,
            now_ms,
        )
    }

    /// Whether the server could begin a load; true without a recent status.
    pub fn takes_loads(&self, now_ms: Millis) -> bool {
        self.recent(now_ms).is_none_or(|status| status.takes_loads)
    }

    /// Expected time until a load requested now is finished; `None` without a recent status.
    pub fn load_wait_ms(&self, now_ms: Millis) -> Option<f64> {
        self.recent(now_ms).map(|status| status.load_wait_ms)
    }

    /// Whether requests need the holder's admission; false without a recent status.
    pub fn is_scarce(&self, now_ms: Millis) -> bool {
        self.recent(now_ms).is_some_and(|status| status.is_scarce)
    }

    /// Whether a status has arrived since `asked_ms`.
    pub fn has_status_since(&self, asked_ms: Millis) -> bool {
        self.status.is_some() && self.received_ms >= asked_ms
    }

    fn recent(&self, now_ms: Millis) -> Option<&ServerStatus> {
        let is_recent = now_ms < self.received_ms + STATUS_VALID_MS;
        self.status.as_ref().filter(|_| is_recent)
    }
}
