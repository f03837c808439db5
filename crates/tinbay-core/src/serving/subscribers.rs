//! The boxes that send requests to one server, as the box that holds the claim on it tracks them.
//!
//! Each box reports to the holder what it has running there and queries the server's status before
//! it sends a request. A change is sent only to boxes that it affects: those that wait for an
//! adapter, and those that received the status so recently that they may send requests without
//! another query. So the number of messages grows with the requests, not with the boxes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::decay::DecayingValue;
use super::prefill::Backlog;
use super::servers::Fingerprint;
use crate::units::Millis;

/// How long a box's report is valid; boxes with running requests repeat theirs more often.
const REPORT_EXPIRY_MS: Millis = 3_000;

/// How long after receiving a status a box may send requests without another query.
pub const FRESH_MS: Millis = 300;

/// Time after a box asked for an adapter during which it is notified when the adapter becomes
/// ready. Boxes whose requests still wait ask again within this time.
const WAIT_EXPIRY_MS: Millis = 1_000;

/// Half-life of the average time to the first byte.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// Weight of one report in the average time to the first byte.
const DELAY_WEIGHT: f64 = 0.15;

/// Half-life of the failure penalty of a server.
pub const FAILURE_PENALTY_HALF_LIFE_MS: f64 = 1_500.0;

/// Upper bound of the failure penalty of a server, so that it decays within some half-lives.
pub const MAX_FAILURE_PENALTY: f64 = 8.0;

/// Requests of one box at a server for one adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// Fingerprint of the adapter.
    pub adapter: Fingerprint,
    /// Number of running requests.
    pub running: u16,
    /// Number of requests that began since the box's last report.
    pub begun: u16,
    /// Total prompt tokens of the requests that began.
    pub begun_tokens: u32,
}

/// A change of a server's contents that concerns boxes sending it requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ContentsChange {
    /// Adapters that became ready, or ready in another version.
    pub ready: Vec<Fingerprint>,
    /// Whether an adapter that was ready no longer is.
    pub has_lost_adapter: bool,
}

#[derive(Debug)]
struct Subscriber {
    uses: Vec<AdapterUse>,
    last_message_ms: Millis,
    status_sent_ms: Option<Millis>,
    /// Adapters that the box waits for, and when it last asked for each.
    awaited_adapters: HashMap<Fingerprint, Millis>,
}

impl Subscriber {
    fn running(&self) -> usize {
        self.uses
            .iter()
            .map(|usage| usize::from(usage.running))
            .sum()
    }

    fn is_affected_by(&self, change: &ContentsChange, now_ms: Millis) -> bool {
        let is_waiting = |adapter: &Fingerprint| {
            let asked_ms = self.awaited_adapters.get(adapter);
            asked_ms.is_some_and(|asked_ms| now_ms < asked_ms + WAIT_EXPIRY_MS)
        };
        let is_fresh = self
            .status_sent_ms
            .is_some_and(|status_sent_ms| now_ms < status_sent_ms + FRESH_MS);
        (change.has_lost_adapter && is_fresh) || change.ready.iter().any(is_waiting)
    }
}

/// The boxes that send requests to one server, and the load that they report.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_box: HashMap<String, Subscriber>,
    delay: DecayingValue,
    backlog: Backlog,
    failure_penalty: DecayingValue,
}

impl Subscribers {
    /// Records that a box sent a message.
    pub fn record_message(&mut self, box_id: &str, now_ms: Millis) {
        self.subscriber(box_id, now_ms);
    }

    /// Records that a box waits for an adapter and is to be notified when it is ready.
    pub fn record_wait(&mut self, box_id: &str, adapter: Fingerprint, now_ms: Millis) {
        let subscriber = self.subscriber(box_id, now_ms);
        subscriber.awaited_adapters.insert(adapter, now_ms);
    }

    /// Replaces the requests that a box has running at the server.
    pub fn record_uses(&mut self, box_id: &str, uses: Vec<AdapterUse>, now_ms: Millis) {
        self.subscriber(box_id, now_ms).uses = uses;
    }

    /// Records that a box was sent the server's status.
    pub fn record_status_sent(&mut self, box_id: &str, now_ms: Millis) {
        if let Some(subscriber) = self.by_box.get_mut(box_id) {
            subscriber.status_sent_ms = Some(now_ms);
        }
    }

    fn subscriber(&mut self, box_id: &str, now_ms: Millis) -> &mut Subscriber {
        let subscriber = self.by_box.entry(box_id.to_string()).or_insert(Subscriber {
            uses: Vec::new(),
            last_message_ms: now_ms,
            status_sent_ms: None,
            awaited_adapters: HashMap::new(),
        });
        subscriber.last_message_ms = now_ms;
        subscriber
    }

    /// Records a box's latest time to the first byte as a fraction of its objective.
    pub fn record_delay(&mut self, fraction_of_objective: f64, now_ms: Millis) {
        let known = self.delay(now_ms);
        let delay = known + DELAY_WEIGHT * (fraction_of_objective - known);
        self.delay = DecayingValue::new(delay, now_ms);
    }

    /// Average time to the first byte as a fraction of the objective, decaying with time.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        self.delay.at(DELAY_HALF_LIFE_MS, now_ms)
    }

    /// Records requests that began, by the time to prefill their prompts.
    pub fn record_started(&mut self, prefill_ms: f64, now_ms: Millis) {
        self.backlog.add(prefill_ms, now_ms);
    }

    /// Time until the server can begin to prefill a new request.
    pub fn backlog_ms(&self, now_ms: Millis) -> f64 {
        self.backlog.at(now_ms)
    }

    /// Records failed requests of a box.
    pub fn record_failures(&mut self, failure_penalty: f64, now_ms: Millis) {
        let sum = self.failure_penalty(now_ms) + failure_penalty;
        self.failure_penalty = DecayingValue::new(sum.min(MAX_FAILURE_PENALTY), now_ms);
    }

    /// Failure penalty of the server over all boxes, decaying with time.
    pub fn failure_penalty(&self, now_ms: Millis) -> f64 {
        self.failure_penalty
            .at(FAILURE_PENALTY_HALF_LIFE_MS, now_ms)
    }

    /// Number of running requests of all boxes for one adapter.
    pub fn running_for(&self, adapter: Fingerprint, now_ms: Millis) -> usize {
        let is_same_adapter = |usage: &&AdapterUse| usage.adapter == adapter;
        self.active(now_ms)
            .flat_map(|(_, subscriber)| subscriber.uses.iter().filter(is_same_adapter))
            .map(|usage| usize::from(usage.running))
            .sum()
    }

    /// Number of running requests of all boxes except `box_id`.
    pub fn running_of_others(&self, box_id: &str, now_ms: Millis) -> usize {
        self.active(now_ms)
            .filter(|(id, _)| *id != box_id)
            .map(|(_, subscriber)| subscriber.running())
            .sum()
    }

    /// Number of running requests of all boxes.
    pub fn running(&self, now_ms: Millis) -> usize {
        self.active(now_ms)
            .map(|(_, subscriber)| subscriber.running())
            .sum()
    }

    /// Whether any box has a running request for the adapter.
    pub fn is_in_use(&self, adapter: Fingerprint, now_ms: Millis) -> bool {
        let has_running = |usage: &AdapterUse| usage.adapter == adapter && usage.running > 0;
        self.active(now_ms)
            .any(|(_, subscriber)| subscriber.uses.iter().any(has_running))
    }

    /// Boxes with a valid report.
    pub fn boxes(&self, now_ms: Millis) -> impl Iterator<Item = &str> {
        self.active(now_ms).map(|(id, _)| id)
    }

    /// Boxes that are to be notified of a change of the server's contents.
    pub fn boxes_affected_by<'a>(
        &'a self,
        change: &'a ContentsChange,
        now_ms: Millis,
    ) -> impl Iterator<Item = &'a str> {
        self.active(now_ms)
            .filter(move |(_, subscriber)| subscriber.is_affected_by(change, now_ms))
            .map(|(id, _)| id)
    }

    /// Drops boxes whose reports have expired, and waits that were not renewed.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_box
            .retain(|_, subscriber| now_ms < subscriber.last_message_ms + REPORT_EXPIRY_MS);
        for subscriber in self.by_box.values_mut() {
            let awaited_adapters = &mut subscriber.awaited_adapters;
            awaited_adapters.retain(|_, asked_ms| now_ms < *asked_ms + WAIT_EXPIRY_MS);
        }
    }

    fn active(&self, now_ms: Millis) -> impl Iterator<Item = (&str, &Subscriber)> {
        self.by_box
            .iter()
            .filter(move |(_, subscriber)| now_ms < subscriber.last_message_ms + REPORT_EXPIRY_MS)
            .map(|(id, subscriber)| (id.as_str(), subscriber))
    }
}
