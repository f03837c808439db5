//! Which boxes send requests to one server, as its holder keeps it.
//!
//! Each box tells the holder what it has running there and asks how the server stands before it
//! sends a request. A change goes only to boxes that it concerns: those that wait for an adapter,
//! and those that were told so lately that they may send by it without asking. So the messages
//! grow with the requests, not with the boxes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::fading::Fading;
use super::reading::Backlog;
use super::servers::Fingerprint;
use crate::units::Millis;

/// How long a box's report counts; boxes with running requests repeat theirs in between.
const REPORT_LIFE_MS: Millis = 3_000;

/// How long a status is new enough to send a request by it without asking.
pub const FRESH_MS: Millis = 300;

/// How long a box is told that an adapter it asked for can serve; boxes whose requests still
/// wait ask again in between.
const WAIT_LIFE_MS: Millis = 1_000;

/// Half-life of what is known of the time to the first byte.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// Weight of one box's report on that time.
const DELAY_WEIGHT: f64 = 0.15;

/// Half-life of the mistrust in a server that failed.
pub const MISTRUST_HALF_LIFE_MS: f64 = 1_500.0;

/// Most mistrust in a server; it is forgotten within some half-lives.
pub const MOST_MISTRUST: f64 = 8.0;

/// Requests of one box at a server that are for one adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterUse {
    /// The adapter.
    pub adapter: Fingerprint,
    /// Requests that run.
    pub running: u16,
    /// Requests that began since the box's last report.
    pub begun: u16,
    /// Tokens of their prompts.
    pub begun_tokens: u32,
}

/// What has changed at a server for boxes that send it requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ContentsChange {
    /// Adapters that can serve now, or in another version.
    pub ready: Vec<Fingerprint>,
    /// Whether one that could serve can't any more.
    pub has_lost: bool,
}

#[derive(Debug)]
struct Subscriber {
    uses: Vec<AdapterUse>,
    heard_ms: Millis,
    told_ms: Option<Millis>,
    /// Adapters that the box waits for, and when it asked last.
    awaited: HashMap<Fingerprint, Millis>,
}

impl Subscriber {
    fn running(&self) -> usize {
        self.uses.iter().map(|of| usize::from(of.running)).sum()
    }

    fn is_concerned(&self, change: &ContentsChange, now_ms: Millis) -> bool {
        let is_waiting = |adapter: &Fingerprint| {
            let asked_ms = self.awaited.get(adapter);
            asked_ms.is_some_and(|asked_ms| now_ms < asked_ms + WAIT_LIFE_MS)
        };
        let is_fresh = self
            .told_ms
            .is_some_and(|told_ms| now_ms < told_ms + FRESH_MS);
        (change.has_lost && is_fresh) || change.ready.iter().any(is_waiting)
    }
}

/// The boxes that send requests to one server.
#[derive(Debug, Default)]
pub struct Subscribers {
    by_box: HashMap<String, Subscriber>,
    delay: Fading,
    backlog: Backlog,
    mistrust: Fading,
}

impl Subscribers {
    /// A box asked something.
    pub fn hear(&mut self, box_id: &str, now_ms: Millis) {
        self.subscriber(box_id, now_ms);
    }

    /// A box waits for an adapter: it is told when that can serve.
    pub fn note_wait(&mut self, box_id: &str, adapter: Fingerprint, now_ms: Millis) {
        let subscriber = self.subscriber(box_id, now_ms);
        subscriber.awaited.insert(adapter, now_ms);
    }

    /// Notes all that a box has running there.
    pub fn note_uses(&mut self, box_id: &str, uses: Vec<AdapterUse>, now_ms: Millis) {
        self.subscriber(box_id, now_ms).uses = uses;
    }

    /// Notes that a box was told what the server holds.
    pub fn note_told(&mut self, box_id: &str, now_ms: Millis) {
        if let Some(subscriber) = self.by_box.get_mut(box_id) {
            subscriber.told_ms = Some(now_ms);
        }
    }

    fn subscriber(&mut self, box_id: &str, now_ms: Millis) -> &mut Subscriber {
        let subscriber = self.by_box.entry(box_id.to_string()).or_insert(Subscriber {
            uses: Vec::new(),
            heard_ms: now_ms,
            told_ms: None,
            awaited: HashMap::new(),
        });
        subscriber.heard_ms = now_ms;
        subscriber
    }

    /// Notes how a box's last time to the first byte stood to its objective.
    pub fn note_delay(&mut self, part_of_objective: f64, now_ms: Millis) {
        let known = self.delay(now_ms);
        let delay = known + DELAY_WEIGHT * (part_of_objective - known);
        self.delay = Fading::new(delay, now_ms);
    }

    /// Usual time to the first byte as a part of the objective, fading with time.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        self.delay.at(DELAY_HALF_LIFE_MS, now_ms)
    }

    /// Notes that requests began that take so long to read.
    pub fn note_begun(&mut self, reading_ms: f64, now_ms: Millis) {
        self.backlog.add(reading_ms, now_ms);
    }

    /// What the server has to read before it begins a new request, as time.
    pub fn backlog_ms(&self, now_ms: Millis) -> f64 {
        self.backlog.at(now_ms)
    }

    /// Notes that requests of a box failed there.
    pub fn note_failures(&mut self, mistrust: f64, now_ms: Millis) {
        let sum = self.mistrust(now_ms) + mistrust;
        self.mistrust = Fading::new(sum.min(MOST_MISTRUST), now_ms);
    }

    /// Mistrust in the server over all boxes, fading with time.
    pub fn mistrust(&self, now_ms: Millis) -> f64 {
        self.mistrust.at(MISTRUST_HALF_LIFE_MS, now_ms)
    }

    /// Requests of all boxes for one adapter.
    pub fn running_for(&self, adapter: Fingerprint, now_ms: Millis) -> usize {
        let is_it = |of: &&AdapterUse| of.adapter == adapter;
        self.heard(now_ms)
            .flat_map(|(_, subscriber)| subscriber.uses.iter().filter(is_it))
            .map(|of| usize::from(of.running))
            .sum()
    }

    /// Requests of all boxes but `box_id`.
    pub fn running_of_others(&self, box_id: &str, now_ms: Millis) -> usize {
        self.heard(now_ms)
            .filter(|(id, _)| *id != box_id)
            .map(|(_, subscriber)| subscriber.running())
            .sum()
    }

    /// Requests of all boxes.
    pub fn running(&self, now_ms: Millis) -> usize {
        self.heard(now_ms)
            .map(|(_, subscriber)| subscriber.running())
            .sum()
    }

    /// Whether some box has a request for the adapter running.
    pub fn is_in_use(&self, adapter: Fingerprint, now_ms: Millis) -> bool {
        let is_it = |of: &AdapterUse| of.adapter == adapter && of.running > 0;
        self.heard(now_ms)
            .any(|(_, subscriber)| subscriber.uses.iter().any(is_it))
    }

    /// Boxes that were heard lately.
    pub fn boxes(&self, now_ms: Millis) -> impl Iterator<Item = &str> {
        self.heard(now_ms).map(|(id, _)| id)
    }

    /// Boxes that a change of the server's contents concerns.
    pub fn concerned<'a>(
        &'a self,
        change: &'a ContentsChange,
        now_ms: Millis,
    ) -> impl Iterator<Item = &'a str> {
        self.heard(now_ms)
            .filter(move |(_, subscriber)| subscriber.is_concerned(change, now_ms))
            .map(|(id, _)| id)
    }

    /// Forgets boxes that have been silent, and adapters that nobody waits for any more.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_box
            .retain(|_, subscriber| now_ms < subscriber.heard_ms + REPORT_LIFE_MS);
        for subscriber in self.by_box.values_mut() {
            let awaited = &mut subscriber.awaited;
            awaited.retain(|_, asked_ms| now_ms < *asked_ms + WAIT_LIFE_MS);
        }
    }

    fn heard(&self, now_ms: Millis) -> impl Iterator<Item = (&str, &Subscriber)> {
        self.by_box
            .iter()
            .filter(move |(_, subscriber)| now_ms < subscriber.heard_ms + REPORT_LIFE_MS)
            .map(|(id, subscriber)| (id.as_str(), subscriber))
    }
}
