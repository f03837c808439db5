//! The home of a server: the box that leases out its slots to the requests of all boxes.
//!
//! A lease lasts until its box reports the end of the request, or until the box has not renewed it
//! for [`LEASE_LIFE_MS`]. In a network partition each side may have its own home. A home therefore
//! leases only as many slots as leave the other side its part.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::waiting::WaitingRequests;
use super::window::Window;
use crate::limits::retry_times::RetryTimes;
use crate::serving::servers::Fingerprint;
use crate::sharing::places::SlotTimes;
use crate::units::{MS_PER_SECOND, Millis};

/// How long a lease lasts unless it is renewed: several renewals, so that one may be lost.
pub const LEASE_LIFE_MS: Millis = 1_500;

/// Interval at which a box renews its leases.
pub const RENEWAL_INTERVAL_MS: Millis = 400;

/// Time after it was asked for by which a request may be sent on a lease: shorter than
/// [`LEASE_LIFE_MS`], as a box that was suspended may hold a lease that its home has ended.
pub const SEND_WITHIN_MS: Millis = 1_000;

/// Time in which a new home leases nothing while it learns from renewals what its predecessor leased
/// out.
const TAKEOVER_MS: Millis = 1_000;

/// Time for which servers that turn brittle still let as many requests wait as before. A home that
/// begins then has no predecessor.
const ONSET_MS: Millis = 2_000;

/// Time for which a home leases nothing after its server seems to have failed.
const FAILED_PAUSE_MS: Millis = 100;

/// Fraction of the rejections that the server survives in a second after which nothing is leased
/// until the second is over. The rest is left to requests on the way.
const REJECTIONS_FRACTION: f64 = 0.5;

/// Age from which a lease that its box does not list has ended, and the report of it was lost.
const UNLISTED_AFTER_MS: Millis = 1_000;

/// Upper bound of the retry time given to callers, who follow it up to some seconds.
const MAX_RETRY_MS: Millis = 4_000;

/// Lower bound of the retry time given to callers.
const MIN_RETRY_MS: Millis = 50;

/// Identifies a lease or a request for one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LeaseId {
    /// Box that asks.
    pub box_key: Fingerprint,
    /// Unique among the requests of that box.
    pub number: u32,
}

/// A request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// The same each time that the box repeats the request.
    pub id: LeaseId,
    /// Priority; 0 goes first.
    pub rank: u8,
    /// How long it may wait for a slot, counted from when it first arrives; 0 for not at all.
    pub max_wait_ms: Millis,
}

/// Answer to a request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAnswer {
    /// One request may be sent to the server.
    Leased,
    /// No slot becomes free in time.
    Full {
        /// Time until the caller should retry.
        retry_after_ms: Millis,
    },
}

/// The decision on one request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The request for a slot.
    pub id: LeaseId,
    /// Whether it gets one.
    pub answer: SlotAnswer,
}

/// How the use of a lease ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum LeaseEnd {
    /// Nothing is known of the server: it was not used, or its outcome is unknown.
    #[default]
    Unknown,
    /// The server answered.
    Served,
    /// The server rejected the request for lack of room.
    Rejected,
    /// The server accepted no connection, or closed it without an answer.
    Failed,
}

/// Conditions under which a home leases out slots.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HomeTerms {
    /// Slots of the server.
    pub slots: usize,
    /// Rejections per second that the server survives.
    pub rejections_per_s: f64,
    /// Fraction of the fleet that the home can reach, from 0 to 1.
    pub reached: f64,
}

impl HomeTerms {
    /// Slots that this home may lease out while another one may lease out the rest: the parts of two
    /// sides of a partition together never exceed the slots, and boxes that are merely down cost the
    /// larger side nothing until they amount to a slot.
    pub fn own_slots(&self) -> usize {
        let reached = self.reached.clamp(0.0, 1.0);
        let slots = self.slots as f64;
        if reached > 0.5 {
            self.slots - (slots * (1.0 - reached)) as usize
        } else {
            (slots * reached) as usize
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    leased_ms: Millis,
    expires_ms: Millis,
}

/// State of one server's slots at its home.
#[derive(Debug, Clone)]
pub struct SlotHome {
    leases: HashMap<LeaseId, Lease>,
    waiting: WaitingRequests,
    /// Decisions to send again, as their boxes repeated the requests.
    repeated: Vec<Decision>,
    window: Window,
    /// When the server rejected requests in the last second.
    rejected_ms: VecDeque<Millis>,
    paused_until_ms: Millis,
    slot_times: SlotTimes,
    retry_times: RetryTimes,
}

impl SlotHome {
    /// Creates the state of a new home of a server that has been brittle for `brittle_for_ms`.
    pub fn new(slots: usize, brittle_for_ms: Millis, now_ms: Millis) -> Self {
        let is_first = brittle_for_ms < ONSET_MS;
        let (window, paused_until_ms) = if is_first {
            (Window::full(slots, now_ms), now_ms)
        } else {
            (Window::first(slots, now_ms), now_ms + TAKEOVER_MS)
        };
        Self {
            leases: HashMap::new(),
            waiting: WaitingRequests::default(),
            repeated: Vec::new(),
            window,
            rejected_ms: VecDeque::new(),
            paused_until_ms,
            slot_times: SlotTimes::default(),
            retry_times: RetryTimes::default(),
        }
    }

    /// Number of slots that are leased out.
    pub fn leased(&self) -> usize {
        self.leases.len()
    }

    /// Number of requests that wait for a slot.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a request waits for a slot.
    pub fn is_waiting(&self, id: LeaseId) -> bool {
        self.waiting.contains(id)
    }

    /// Handles a request for a slot, new or repeated. [`SlotHome::decide`] answers it.
    pub fn request(&mut self, request: SlotRequest, now_ms: Millis) {
        if self.leases.contains_key(&request.id) {
            let answer = SlotAnswer::Leased;
            let id = request.id;
            self.repeated.push(Decision { id, answer });
        } else if !self.waiting.add(&request, now_ms) {
            let retry_after_ms = MAX_RETRY_MS;
            let answer = SlotAnswer::Full { retry_after_ms };
            let id = request.id;
            self.repeated.push(Decision { id, answer });
        }
    }

    /// Records how the use of a lease ended, or that a waiting request's caller has left.
    pub fn end(&mut self, id: LeaseId, end: LeaseEnd, terms: HomeTerms, now_ms: Millis) {
        self.waiting.remove(id);
        let leased = self.leases.len();
        self.leases.remove(&id);
        self.slot_times.record_running(self.leases.len(), now_ms);
        match end {
            LeaseEnd::Unknown => {}
            LeaseEnd::Served => self.window.record_served(terms.slots),
            LeaseEnd::Rejected => {
                self.window.record_rejected(leased, now_ms);
                self.rejected_ms.push_back(now_ms);
            }
            LeaseEnd::Failed => {
                self.window.record_failed();
                if self.window.has_failed() {
                    self.pause_until(now_ms + FAILED_PAUSE_MS);
                }
            }
        }
    }

    /// Renews the leases that a box lists, of which a new home may not know yet, and ends those that
    /// it no longer lists.
    pub fn renew(&mut self, box_key: Fingerprint, held: &[u32], now_ms: Millis) {
        for number in held {
            let id = LeaseId {
                box_key,
                number: *number,
            };
            let lease = self.leases.entry(id).or_insert(Lease {
                leased_ms: now_ms,
                expires_ms: now_ms,
            });
            lease.expires_ms = now_ms + LEASE_LIFE_MS;
        }
        self.leases.retain(|id, lease| {
            let is_listed = id.box_key != box_key || held.contains(&id.number);
            is_listed || now_ms < lease.leased_ms + UNLISTED_AFTER_MS
        });
        self.slot_times.record_running(self.leases.len(), now_ms);
    }

    /// Leases out the slots that are free, and rejects requests that get none in time.
    pub fn decide(&mut self, terms: HomeTerms, now_ms: Millis) -> Vec<Decision> {
        self.leases.retain(|_, lease| now_ms < lease.expires_ms);
        self.slot_times.record_running(self.leases.len(), now_ms);
        self.window.grow(terms.slots, now_ms);
        let max_leases = self.max_leases(terms, now_ms);
        let mut decisions = std::mem::take(&mut self.repeated);
        while self.leases.len() < max_leases {
            let Some(id) = self.waiting.take_first() else {
                break;
            };
            decisions.push(self.lease(id, now_ms));
        }
        let own_slots = terms.own_slots().min(self.window.limit());
        let interval_ms = self.slot_times.release_interval_ms(own_slots, now_ms);
        for (id, could_wait) in self.waiting.take_late(interval_ms, now_ms) {
            let retry_after_ms = self.retry_after_ms(interval_ms, could_wait, now_ms);
            let answer = SlotAnswer::Full { retry_after_ms };
            decisions.push(Decision { id, answer });
        }
        decisions
    }

    fn max_leases(&mut self, terms: HomeTerms, now_ms: Millis) -> usize {
        let is_old = |rejected_ms: &Millis| now_ms >= rejected_ms + MS_PER_SECOND;
        while self.rejected_ms.front().is_some_and(is_old) {
            self.rejected_ms.pop_front();
        }
        let rejections = self.rejected_ms.len() as f64;
        let has_rejected_much =
            rejections > 0.0 && rejections >= terms.rejections_per_s * REJECTIONS_FRACTION;
        if has_rejected_much || now_ms < self.paused_until_ms {
            return 0;
        }
        terms.own_slots().min(self.window.limit())
    }

    fn lease(&mut self, id: LeaseId, now_ms: Millis) -> Decision {
        let lease = Lease {
            leased_ms: now_ms,
            expires_ms: now_ms + LEASE_LIFE_MS,
        };
        self.leases.insert(id, lease);
        self.slot_times.record_starts(1, now_ms);
        self.slot_times.record_running(self.leases.len(), now_ms);
        let answer = SlotAnswer::Leased;
        Decision { id, answer }
    }

    /// Retry time of a rejected request. Those of requests that could have waited are spaced, as
    /// their callers come back; the others go to another server.
    fn retry_after_ms(&mut self, interval_ms: f64, could_wait: bool, now_ms: Millis) -> Millis {
        let starts_in_ms = ((self.waiting.len() + 1) as f64 * interval_ms) as Millis;
        let first_ms = self.paused_until_ms.max(now_ms + starts_in_ms);
        if !could_wait {
            return (first_ms - now_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        }
        let gap_ms = interval_ms.ceil() as Millis;
        let retry_ms = self
            .retry_times
            .next_ms(first_ms, gap_ms, MAX_RETRY_MS, now_ms);
        retry_ms.max(MIN_RETRY_MS)
    }

    fn pause_until(&mut self, until_ms: Millis) {
        self.paused_until_ms = self.paused_until_ms.max(until_ms);
    }
}
