//! What a server's holder told this box of it.

use std::collections::HashMap;

use tinbay_core::serving::contents::HeldState;
use tinbay_core::serving::fading::faded;
use tinbay_core::serving::reading::Backlog;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::subscribers::{ContentsChange, FRESH_MS, MISTRUST_HALF_LIFE_MS};
use tinbay_core::units::Millis;

/// How long the status counts for what others have running and for places.
const STATUS_LIFE_MS: Millis = 2_000;

/// Time within which a holder answers; a datagram and back takes a few milliseconds.
const ANSWER_WITHIN_MS: Millis = 60;

/// How long a holder that did not answer is passed over.
const SILENCE_LIFE_MS: Millis = 1_500;

/// An adapter at a server, as its holder believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewEntry {
    /// Its version; 0 where it is not known.
    pub version: u64,
    /// Whether it can serve.
    pub state: HeldState,
    /// Servers of its order over which it is spread.
    pub copies: usize,
}

/// The status of a server, as its holder sent it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerStatus {
    /// All adapters that take a place.
    pub entries: HashMap<Fingerprint, ViewEntry>,
    /// Requests that other boxes have running there.
    pub running_elsewhere: usize,
    /// Usual time to the first byte as a part of the objective, over all boxes.
    pub delay: f64,
    /// What the server has to read before it begins a new request, as time.
    pub backlog_ms: f64,
    /// Mistrust in the server over all boxes.
    pub mistrust: f64,
    /// Whether a load could begin.
    pub takes_loads: bool,
    /// Expected time until a load that is asked for now is done.
    pub load_wait_ms: f64,
    /// Whether requests have to ask the holder for room.
    pub is_scarce: bool,
}

/// What a server's holder told this box of it.
#[derive(Debug, Default)]
pub struct View {
    status: Option<ServerStatus>,
    backlog: Backlog,
    told_ms: Millis,
    asked_ms: Option<Millis>,
}

impl View {
    /// Takes the status that the holder sent; what it changes.
    pub fn note(&mut self, status: ServerStatus, now_ms: Millis) -> ContentsChange {
        let change = self.change_to(&status);
        self.backlog = Backlog::new(status.backlog_ms, now_ms);
        self.status = Some(status);
        self.told_ms = now_ms;
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
            has_lost: before.is_some_and(|entries| entries.keys().any(is_lost)),
        }
    }

    /// Notes that the holder was asked; it is late from its first question without an answer.
    pub fn note_asked(&mut self, now_ms: Millis) {
        let is_over = |asked_ms| now_ms >= asked_ms + SILENCE_LIFE_MS;
        if self.asked_ms.is_none_or(is_over) {
            self.asked_ms = Some(now_ms);
        }
    }

    /// Whether the holder does not answer.
    pub fn is_silent(&self, now_ms: Millis) -> bool {
        self.asked_ms.is_some_and(|asked_ms| {
            let waited_ms = now_ms.saturating_sub(asked_ms);
            (ANSWER_WITHIN_MS..SILENCE_LIFE_MS).contains(&waited_ms)
        })
    }

    /// Whether the status is new enough to send a request by it.
    pub fn is_fresh(&self, now_ms: Millis) -> bool {
        self.status.is_some() && now_ms < self.told_ms + FRESH_MS
    }

    /// An adapter by the last status, however old: the server refuses what it lacks.
    pub fn entry(&self, adapter: Fingerprint) -> Option<ViewEntry> {
        self.status.as_ref()?.entries.get(&adapter).copied()
    }

    /// The server refused a request as it does not hold the adapter.
    pub fn note_missing(&mut self, adapter: Fingerprint) {
        if let Some(status) = &mut self.status {
            status.entries.remove(&adapter);
        }
    }

    /// Requests that other boxes have running there, as far as that was told lately.
    pub fn running_elsewhere(&self, now_ms: Millis) -> usize {
        self.recent(now_ms)
            .map_or(0, |status| status.running_elsewhere)
    }

    /// Usual time to the first byte over all boxes, as far as that was told lately.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        self.recent(now_ms).map_or(0.0, |status| status.delay)
    }

    /// A request of this box begins that takes so long to read.
    pub fn note_begun(&mut self, reading_ms: f64, now_ms: Millis) {
        self.backlog.add(reading_ms, now_ms);
    }

    /// What the server has to read before it begins a new request, as time.
    pub fn backlog_ms(&self, now_ms: Millis) -> f64 {
        self.backlog.at(now_ms)
    }

    /// Mistrust in the server over all boxes.
    pub fn mistrust(&self, now_ms: Millis) -> f64 {
        let told = self.status.as_ref().map_or(0.0, |status| status.mistrust);
        faded(told, self.told_ms, MISTRUST_HALF_LIFE_MS, now_ms)
    }

    /// Whether a load could begin; true where nothing was told lately.
    pub fn takes_loads(&self, now_ms: Millis) -> bool {
        self.recent(now_ms).is_none_or(|status| status.takes_loads)
    }

    /// Expected time until a load is done that is asked for now, if the holder told it lately.
    pub fn load_wait_ms(&self, now_ms: Millis) -> Option<f64> {
        self.recent(now_ms).map(|status| status.load_wait_ms)
    }

    /// Whether requests have to ask the holder for room, as far as that was told lately.
    pub fn is_scarce(&self, now_ms: Millis) -> bool {
        self.recent(now_ms).is_some_and(|status| status.is_scarce)
    }

    /// Whether the status is newer than a question.
    pub fn is_told_since(&self, asked_ms: Millis) -> bool {
        self.status.is_some() && self.told_ms >= asked_ms
    }

    fn recent(&self, now_ms: Millis) -> Option<&ServerStatus> {
        let is_recent = now_ms < self.told_ms + STATUS_LIFE_MS;
        self.status.as_ref().filter(|_| is_recent)
    }
}
