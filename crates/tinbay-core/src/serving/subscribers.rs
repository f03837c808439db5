//! Which boxes send requests to one server, as its holder keeps it.
//!
//! Each box tells the holder what it has running there, and only these boxes are told what the
//! server holds and how busy it is. So the messages grow with the requests, not with the boxes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::fading::Fading;
use super::reading::Backlog;
use super::servers::Fingerprint;
use crate::units::Millis;

/// How long a box's report counts; boxes with running requests repeat theirs in between.
const REPORT_LIFE_MS: Millis = 3_000;

/// Pause between two statuses to a box whose requests alone have changed.
const TOLD_PAUSE_MS: Millis = 250;

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

#[derive(Debug)]
struct Subscriber {
    uses: Vec<AdapterUse>,
    heard_ms: Millis,
    told_ms: Option<Millis>,
}

impl Subscriber {
    fn running(&self) -> usize {
        self.uses.iter().map(|of| usize::from(of.running)).sum()
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
    /// A box asked something: it is to be told what changes.
    pub fn hear(&mut self, box_id: &str, now_ms: Millis) {
        self.subscriber(box_id, now_ms);
    }

    /// Notes all that a box has running there; whether it should be told again how busy the
    /// server is.
    pub fn note_uses(&mut self, box_id: &str, uses: Vec<AdapterUse>, now_ms: Millis) -> bool {
        let subscriber = self.subscriber(box_id, now_ms);
        subscriber.uses = uses;
        let is_over = |told_ms| now_ms >= told_ms + TOLD_PAUSE_MS;
        subscriber.told_ms.is_none_or(is_over)
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

    /// Whether some box has a request for the adapter running.
    pub fn is_in_use(&self, adapter: Fingerprint, now_ms: Millis) -> bool {
        let is_it = |of: &AdapterUse| of.adapter == adapter && of.running > 0;
        self.heard(now_ms)
            .any(|(_, subscriber)| subscriber.uses.iter().any(is_it))
    }

    /// Boxes that are to be told what changes.
    pub fn boxes(&self, now_ms: Millis) -> impl Iterator<Item = &str> {
        self.heard(now_ms).map(|(id, _)| id)
    }

    /// Forgets boxes that have been silent.
    pub fn tidy(&mut self, now_ms: Millis) {
        self.by_box
            .retain(|_, subscriber| now_ms < subscriber.heard_ms + REPORT_LIFE_MS);
    }

    fn heard(&self, now_ms: Millis) -> impl Iterator<Item = (&str, &Subscriber)> {
        self.by_box
            .iter()
            .filter(move |(_, subscriber)| now_ms < subscriber.heard_ms + REPORT_LIFE_MS)
            .map(|(id, subscriber)| (id.as_str(), subscriber))
    }
}
