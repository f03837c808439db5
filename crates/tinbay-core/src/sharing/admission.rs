//! Admission of requests to one server at capacity, decided by the box that holds the server.
//!
//! A server's own queue is first in, first out. It is therefore sent only the requests that it
//! can run and the few that it starts next; the others wait here, where their order can still
//! change.

use super::accounts::AccountUsage;
use super::order::{QueueEntry, order};
use super::places::SlotTimes;
use super::returns::ScheduledRetries;
use super::scarcity::{Scarcity, ServerLoad};
use super::weights::AccountWeights;
use crate::serving::servers::Fingerprint;
use crate::units::Millis;

/// Requests sent to a server beyond its slots, as a fraction of the slots: those that it starts
/// before this box receives the reports that earlier ones have ended.
const QUEUED_AT_SERVER_FRACTION: f64 = 0.25;

/// How long an admitted request counts as running before its box reports that it started.
const ADMITTED_LIFE_MS: Millis = 250;

/// Time after which a waiting request is dropped if its box has not repeated it: the caller or the
/// box is gone.
const ABANDONED_AFTER_MS: Millis = 450;

/// Upper bound of the requests waiting for one server. A server has some tens of slots at most, so
/// that a request behind this many can't start in time.
const MAX_WAITING: usize = 128;

/// Upper bound of the retry time given to callers. They follow retry times only up to a third of
/// their remaining time, which is a few seconds.
const MAX_RETRY_MS: Millis = 4_000;

/// Lower bound of the retry time given to callers.
const MIN_RETRY_MS: Millis = 50;

/// Fraction of an account's share that is scheduled for retries; the rest is left to new requests.
const RETRIES_FRACTION: f64 = 0.5;

/// Identifies a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdmissionId {
    /// The box that sent it.
    pub box_key: Fingerprint,
    /// Unique among the requests of that box.
    pub number: u32,
}

/// A request for admission to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// The same each time that the box repeats the request for admission.
    pub id: AdmissionId,
    /// Client account of the caller.
    pub account: Fingerprint,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// Prompt and completion tokens.
    pub units: f64,
    /// Estimated prefill time of its prompt.
    pub prefill_ms: f64,
    /// Time, from now, within which it must start to meet its objective.
    pub in_time_ms: Millis,
    /// Digest of the request; the same when the caller retries it.
    pub digest: u64,
}

/// Answer to a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionAnswer {
    /// The request may be sent to the server.
    Admitted,
    /// The request can't start in time and must not be sent.
    Rejected {
        /// Time until the caller should retry.
        retry_after_ms: Millis,
    },
}

/// The decision on one request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The request for admission.
    pub id: AdmissionId,
    /// Whether it is admitted.
    pub answer: AdmissionAnswer,
}

/// A request that waits for admission.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: AdmissionId,
    entry: QueueEntry,
    prefill_ms: f64,
    start_by_ms: Millis,
    last_requested_ms: Millis,
    digest: u64,
}

/// An admitted request.
#[derive(Debug, Clone, Copy)]
struct Admitted {
    id: AdmissionId,
    prefill_ms: f64,
    admitted_ms: Millis,
}

/// Inputs shared by all decisions of one pass.
struct PassTerms<'a> {
    weights: &'a AccountWeights,
    slots: usize,
    max_use_per_weight: f64,
    now_ms: Millis,
}

/// Admission queue of one server.
#[derive(Debug, Clone, Default)]
pub struct AdmissionQueue {
    scarcity: Scarcity,
    waiting: Vec<Waiting>,
    /// Admitted requests whose boxes have not yet reported their start.
    admitted: Vec<Admitted>,
    /// Decisions to send again, as their boxes repeated the request for admission.
    repeated: Vec<Decision>,
    usage: AccountUsage,
    slot_times: SlotTimes,
    retries: ScheduledRetries,
}

impl AdmissionQueue {
    /// Whether requests need admission.
    pub fn is_scarce(&self) -> bool {
        self.scarcity.is_scarce()
    }

    /// Number of requests that wait for admission.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a request for admission is still undecided.
    pub fn is_waiting(&self, id: AdmissionId) -> bool {
        self.waiting.iter().any(|waiting| waiting.id == id)
    }

    /// Records the start of `count` requests, reported by a box.
    pub fn note_begun(&mut self, box_key: Fingerprint, count: usize, now_ms: Millis) {
        self.slot_times.record_starts(count, now_ms);
        for _ in 0..count {
            let known = self
                .admitted
                .iter()
                .position(|admitted| admitted.id.box_key == box_key);
            let Some(position) = known else {
                return;
            };
            self.admitted.remove(position);
        }
    }

    /// Handles a request for admission, new or repeated.
    pub fn ask(&mut self, request: AdmissionRequest, now_ms: Millis) {
        if let Some(waiting) = self
            .waiting
            .iter_mut()
            .find(|waiting| waiting.id == request.id)
        {
            waiting.last_requested_ms = now_ms;
            return;
        }
        if self
            .admitted
            .iter()
            .any(|admitted| admitted.id == request.id)
        {
            let (id, answer) = (request.id, AdmissionAnswer::Admitted);
            self.repeated.push(Decision { id, answer });
            return;
        }
        let is_retry = self.retries.take(request.digest, now_ms);
        self.waiting.push(Waiting {
            id: request.id,
            entry: QueueEntry {
                account: request.account,
                is_retry,
                rank: request.rank,
                arrived_ms: now_ms,
                units: request.units.max(1.0),
            },
            prefill_ms: request.prefill_ms.max(0.0),
            start_by_ms: now_ms.saturating_add(request.in_time_ms),
            last_requested_ms: now_ms,
            digest: request.digest,
        });
    }

    /// Decides which requests are admitted or rejected now. `server_load` is
    /// what the boxes reported.
    pub fn decide(
        &mut self,
        server_load: ServerLoad,
        weights: &AccountWeights,
        now_ms: Millis,
    ) -> Vec<Decision> {
        self.drop_expired(now_ms);
        self.slot_times.record_running(server_load.running, now_ms);
        let mut decisions = std::mem::take(&mut self.repeated);
        decisions.extend(self.decide_waiting(server_load, weights, now_ms));
        let server_load = ServerLoad {
            running: server_load.running + self.admitted.len(),
            ..server_load
        };
        let has_waiting = !self.waiting.is_empty();
        self.scarcity.update(server_load, has_waiting, now_ms);
        decisions
    }

    fn drop_expired(&mut self, now_ms: Millis) {
        self.admitted
            .retain(|admitted| now_ms < admitted.admitted_ms + ADMITTED_LIFE_MS);
        self.waiting
            .retain(|waiting| now_ms < waiting.last_requested_ms + ABANDONED_AFTER_MS);
        if self.waiting.is_empty() {
            self.usage.drop_idle(now_ms);
        }
    }

    fn decide_waiting(
        &mut self,
        server_load: ServerLoad,
        weights: &AccountWeights,
        now_ms: Millis,
    ) -> Vec<Decision> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let entries: Vec<QueueEntry> = self.waiting.iter().map(|waiting| waiting.entry).collect();
        let positions = order(&entries, &self.usage, weights, now_ms);
        let release_interval_ms = self
            .slot_times
            .release_interval_ms(server_load.slots, now_ms);
        let slots = server_load.slots.max(1);
        let terms = PassTerms {
            weights,
            slots,
            max_use_per_weight: self.usage.max_use_per_weight(weights, now_ms),
            now_ms,
        };
        let mut decisions = Vec::new();
        let mut kept: Vec<Waiting> = Vec::new();
        let mut ahead = WorkAhead {
            requests: server_load.running + self.admitted.len(),
            prefill_ms: server_load.backlog_ms + self.admitted_prefill_ms(),
        };
        for position in positions {
            let waiting = self.waiting[position];
            let starts_in_ms = ahead.starts_in_ms(slots, release_interval_ms);
            let is_too_late = is_too_late(&waiting, &ahead, starts_in_ms, &terms);
            if is_too_late || kept.len() >= MAX_WAITING {
                decisions.push(self.reject(&waiting, starts_in_ms, release_interval_ms, now_ms));
                continue;
            }
            if self.may_prefill(&waiting, &ahead, server_load, &terms)
                && self.has_slot(&waiting.entry, &ahead, &terms)
            {
                decisions.push(self.admit(&waiting, now_ms));
            } else {
                kept.push(waiting);
            }
            ahead.requests += 1;
            ahead.prefill_ms += waiting.prefill_ms;
        }
        self.waiting = kept;
        decisions
    }

    /// Prefill time of the admitted requests whose start has not been reported.
    fn admitted_prefill_ms(&self) -> f64 {
        self.admitted
            .iter()
            .map(|admitted| admitted.prefill_ms)
            .sum()
    }

    /// Whether the prefill backlog permits sending the request now. Above the bound, requests of an
    /// account above its fair share wait until their latest start time.
    fn may_prefill(
        &self,
        waiting: &Waiting,
        ahead: &WorkAhead,
        server_load: ServerLoad,
        terms: &PassTerms<'_>,
    ) -> bool {
        ahead.prefill_ms <= server_load.max_backlog_ms()
            || terms.now_ms >= waiting.start_by_ms
            || !self.is_above_share(&waiting.entry, terms)
    }

    /// Whether one more request may be sent to the server: up to its slots and one, or, for
    /// accounts within their fair share, up to the slots and [`QUEUED_AT_SERVER_FRACTION`]. So the
    /// server's own queue seldom holds a request of an account above its share in front of one of
    /// the others.
    fn has_slot(&self, entry: &QueueEntry, ahead: &WorkAhead, terms: &PassTerms<'_>) -> bool {
        let queue_limit = (terms.slots as f64 * QUEUED_AT_SERVER_FRACTION).ceil() as usize;
        let fits_slots = ahead.requests <= terms.slots;
        let fits_queue = ahead.requests < terms.slots + queue_limit;
        fits_slots || (fits_queue && !self.is_above_share(entry, terms))
    }

    /// Whether the recent use of a request's account is clearly above its fair share.
    fn is_above_share(&self, entry: &QueueEntry, terms: &PassTerms<'_>) -> bool {
        let used = self.usage.used(entry.account, terms.now_ms);
        used > terms.max_use_per_weight * terms.weights.of(entry.account)
    }

    fn admit(&mut self, waiting: &Waiting, now_ms: Millis) -> Decision {
        self.usage
            .add(waiting.entry.account, waiting.entry.units, now_ms);
        self.admitted.push(Admitted {
            id: waiting.id,
            prefill_ms: waiting.prefill_ms,
            admitted_ms: now_ms,
        });
        Decision {
            id: waiting.id,
            answer: AdmissionAnswer::Admitted,
        }
    }

    /// Rejects a request with a retry time. Retry times of an account are spaced so that they take
    /// up [`RETRIES_FRACTION`] of the slots that it gets. A request that would have to wait longer
    /// than [`MAX_RETRY_MS`] is not remembered and comes back as a new one.
    fn reject(
        &mut self,
        waiting: &Waiting,
        starts_in_ms: f64,
        release_interval_ms: f64,
        now_ms: Millis,
    ) -> Decision {
        let first_ms = now_ms + starts_in_ms as Millis;
        let account = waiting.entry.account;
        let share = self.usage.share(account, now_ms) * RETRIES_FRACTION;
        let retry_times = self.usage.retry_times(account);
        let gap_ms = (release_interval_ms / share) as Millis;
        let retry_after_ms = retry_times.next_ms(first_ms, gap_ms, MAX_RETRY_MS, now_ms);
        let retry_after_ms = retry_after_ms.max(MIN_RETRY_MS);
        if retry_after_ms < MAX_RETRY_MS {
            let retry_at_ms = now_ms + retry_after_ms;
            self.retries.schedule(waiting.digest, retry_at_ms, now_ms);
        }
        Decision {
            id: waiting.id,
            answer: AdmissionAnswer::Rejected { retry_after_ms },
        }
    }
}

/// Whether no slot becomes free in time for a request. The prefill backlog is left out: it is an
/// estimate, and prompts with a common prefix are cheaper than it says.
fn is_too_late(
    waiting: &Waiting,
    ahead: &WorkAhead,
    starts_in_ms: f64,
    terms: &PassTerms<'_>,
) -> bool {
    let is_late = terms.now_ms + starts_in_ms as Millis > waiting.start_by_ms;
    is_late && ahead.requests >= terms.slots
}

/// Work that goes before a request.
struct WorkAhead {
    requests: usize,
    prefill_ms: f64,
}

impl WorkAhead {
    /// Estimated time until a slot is free for the request.
    fn starts_in_ms(&self, slots: usize, release_interval_ms: f64) -> f64 {
        let missing_slots = (self.requests + 1).saturating_sub(slots);
        missing_slots as f64 * release_interval_ms
    }
}
