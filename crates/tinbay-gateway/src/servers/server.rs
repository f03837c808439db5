//! One incarnation of a backend server, that is one run of its process, and its state as this box
//! knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tinbay_core::pace::slowness::{MAX_SLOW_START_MS, SLOW_START, Slowness, slowed_load};
use tinbay_core::serving::brittleness::{self, Brittleness, BrittlenessReport};
use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::decay::decayed;
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::server_limit::{LimitNotice, is_significant_change};
use tinbay_core::serving::servers::{Fingerprint, ServerKey, ServerRecord, ServerState};
use tinbay_core::serving::subscribers::{FAILURE_PENALTY_HALF_LIFE_MS, MAX_FAILURE_PENALTY};
use tinbay_core::units::Millis;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EvacuatedZones;
use super::departed::SharedNotices;
use super::service::ServiceStats;
use super::usage::Usage;
use super::view::{View, ViewEntry};
use super::waiting::WaitingBytes;
use crate::clock::Clock;
use crate::crashes::check::{CutRequest, UndecidedCuts};
use crate::http::pool::Pool;
use crate::slots::lease::SlotLease;

/// Weight of a new sample in the moving average of the time to the first byte.
const DELAY_WEIGHT: f64 = 0.15;

/// Upper bound of a sample, as a fraction of the objective.
const MAX_DELAY: f64 = 3.0;

/// Half-life of the average while no new samples arrive.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// Time for which a server is skipped after another one answered at its address. Its entry should
/// be gone by then; if not, one request shows whether the server is there after all.
const DISPLACED_PAUSE_MS: Millis = 10_000;

/// Quantile of a service's answer times that counts as its usual one.
const MEDIAN: f64 = 0.5;

/// Assumed answer time at an idle server as a fraction of the objective, until samples arrive.
const DEFAULT_ANSWER_SHARE: f64 = 0.2;

/// One incarnation of a server.
#[derive(Debug)]
pub struct Server {
    /// Hash of its id, address and start time.
    pub key: ServerKey,
    /// Address at which it listens, as text.
    pub address_text: String,
    /// Notified when its holder may have an order to send.
    pub order_due: Notify,
    /// Notified when a status from its holder has arrived.
    pub status_received: Notify,
    /// Its state by the last status message of its holder.
    pub view: RefCell<View>,
    /// Requests that this box has running there.
    pub usage: RefCell<Usage>,
    /// Requests whose answers it cut short, while the check whether it crashed is pending.
    pub cut_requests: RefCell<Vec<CutRequest>>,
    /// Requests whose answers it cut short, if this box could not tell whether it crashed.
    pub undecided_cuts: RefCell<Option<UndecidedCuts>>,
    /// Pool of connections to it.
    pub pool: Rc<Pool>,
    /// Bytes of this box's requests that it has not begun to answer.
    pub waiting: WaitingBytes,
    pub(super) record: RefCell<Rc<ServerRecord>>,
    /// Notices that it sent, which stay in force when its entry expires.
    pub(super) notices: SharedNotices,
    clock: Clock,
    service: Rc<ServiceStats>,
    evacuated_zones: EvacuatedZones,
    /// Its speed relative to its service, from answers to this box.
    slowness: Cell<Slowness>,
    /// End of the phase after its start in which it is slow, as it announced.
    slow_until_ms: Cell<Millis>,
    failure_penalty: Cell<(f64, Millis)>,
    displaced_until_ms: Cell<Millis>,
    /// Its limit as last logged and passed on to other boxes.
    reported_limit: Cell<Option<f64>>,
    /// Time until which it is skipped, as its limit has no capacity.
    at_limit_until_ms: Cell<Millis>,
    /// What its own answers say about its brittleness.
    brittleness: Cell<Brittleness>,
    /// Time until which it probably has no free slot.
    full_until_ms: Cell<Millis>,
    delay: Cell<(f64, Millis)>,
}

/// A request that this box has running at a server, counted until it is dropped.
#[derive(Debug)]
pub struct RunningRequest {
    server: Rc<Server>,
    adapter: Option<AdapterKey>,
    /// Slot that it uses if the server is brittle.
    slot: Option<Rc<SlotLease>>,
}

impl RunningRequest {
    /// Keeps the slot of a brittle server until the request ends.
    pub fn with_slot(mut self, slot: Option<Rc<SlotLease>>) -> Self {
        self.slot = slot;
        self
    }

    /// Server at which the request runs.
    pub fn server(&self) -> Rc<Server> {
        Rc::clone(&self.server)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.server.usage.borrow_mut().end(self.adapter);
    }
}

/// Key of an incarnation.
fn server_key(record: &ServerRecord) -> ServerKey {
    let name = format!("{} {}", record.id, record.address);
    xxh3_64_with_seed(name.as_bytes(), record.born_ms.unwrap_or_default())
}

impl Server {
    pub(super) fn new(
        record: ServerRecord,
        notices: SharedNotices,
        clock: Clock,
        service: Rc<ServiceStats>,
        evacuated_zones: EvacuatedZones,
    ) -> Self {
        let key = server_key(&record);
        let server = Self {
            key,
            address_text: record.address.to_string(),
            order_due: Notify::new(),
            status_received: Notify::new(),
            view: RefCell::default(),
            usage: RefCell::default(),
            cut_requests: RefCell::default(),
            undecided_cuts: RefCell::default(),
            pool: Rc::new(Pool::new(
                key,
                record.address,
                clock,
                Rc::clone(&service.reuse),
            )),
            clock,
            service,
            evacuated_zones,
            slowness: Cell::default(),
            slow_until_ms: Cell::default(),
            waiting: WaitingBytes::default(),
            record: RefCell::new(Rc::new(record.clone())),
            notices,
            failure_penalty: Cell::default(),
            displaced_until_ms: Cell::default(),
            reported_limit: Cell::default(),
            at_limit_until_ms: Cell::default(),
            brittleness: Cell::default(),
            full_until_ms: Cell::default(),
            delay: Cell::default(),
        };
        server.set_slow_phase(record.slow_for_ms);
        server.set_record(record);
        server
    }

    /// Applies an entry of this incarnation. Leaving is final: an entry that is late or old does
    /// not revert it, as a leaving server would get requests again.
    pub(super) fn set_record(&self, record: ServerRecord) {
        if record.state == ServerState::Draining {
            self.notices.borrow_mut().record_leaving();
        }
        // A repeated entry does not restart the slow phase.
        if record.slow_for_ms != self.record().slow_for_ms {
            self.set_slow_phase(record.slow_for_ms);
        }
        let state = if self.is_leaving() {
            ServerState::Draining
        } else {
            ServerState::Ready
        };
        *self.record.borrow_mut() = Rc::new(ServerRecord { state, ..record });
    }

    fn set_slow_phase(&self, slow_for_ms: Millis) {
        let slow_for_ms = slow_for_ms.min(MAX_SLOW_START_MS);
        self.slow_until_ms.set(self.clock.now_ms() + slow_for_ms);
    }

    /// Records the time of an answer without special costs, such as a load.
    pub fn record_answer_time(&self, took_ms: f64, now_ms: Millis) {
        if let Some(usual_ms) = self.usual_answer_ms() {
            let mut slowness = self.slowness.get();
            slowness.record(usual_ms, took_ms, now_ms);
            self.slowness.set(slowness);
        }
        self.service.times.borrow_mut().record(took_ms, now_ms);
    }

    /// Usual time of an answer of its service, in ms; `None` without samples.
    pub fn usual_answer_ms(&self) -> Option<f64> {
        self.service.times.borrow().quantile_ms(MEDIAN)
    }

    /// Adjusts a load by the server's speed relative to its service.
    pub fn slowed_load(&self, load: f64, objective_ms: Millis, now_ms: Millis) -> f64 {
        let answer_share = self
            .usual_answer_ms()
            .map_or(DEFAULT_ANSWER_SHARE, |usual_ms| {
                usual_ms / objective_ms.max(1) as f64
            });
        slowed_load(load, answer_share, self.slowness_factor(now_ms))
    }

    fn slowness_factor(&self, now_ms: Millis) -> f64 {
        let measured = self.slowness.get().factor(now_ms);
        if now_ms < self.slow_until_ms.get() {
            return measured.max(SLOW_START);
        }
        measured
    }

    /// Statistics of its service.
    pub fn service(&self) -> &ServiceStats {
        &self.service
    }

    /// Applies a notice that it sent about itself.
    pub fn apply_notice(&self, notice: AnswerNotice, now_ms: Millis) {
        self.notices.borrow_mut().record(notice, now_ms);
        if notice.is_leaving {
            let record = ServerRecord::clone(&self.record());
            self.set_record(record);
        }
    }

    /// Requests per second that it accepts from all boxes together, as it announced or as it is
    /// slow after its start; `None` if it has no limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        let slow_start_per_s = self.service.slow_start_per_s.get();
        let slow_start_per_s = slow_start_per_s.filter(|_| self.is_in_slow_phase());
        match (self.announced_limit_per_s(), slow_start_per_s) {
            (Some(announced), Some(slow_start)) => Some(announced.min(slow_start)),
            (announced, slow_start) => announced.or(slow_start),
        }
    }

    /// Requests per second that it announced to accept from all boxes together; `None` if it
    /// announced no limit.
    pub fn announced_limit_per_s(&self) -> Option<f64> {
        self.notices.borrow().limit().per_s()
    }

    fn is_in_slow_phase(&self) -> bool {
        self.clock.now_ms() < self.slow_until_ms.get()
    }

    /// Records what one of its answers says about its brittleness. Returns what it says from now on
    /// if that has changed.
    pub fn record_brittleness(
        &self,
        rejections_per_s: Option<f64>,
        request_sent_ms: Millis,
        now_ms: Millis,
    ) -> Option<Option<f64>> {
        let mut own = self.brittleness.get();
        let before = own.rejections_per_s(now_ms);
        own.record(rejections_per_s, request_sent_ms, now_ms);
        self.brittleness.set(own);
        let current = own.rejections_per_s(now_ms);
        (current != before).then_some(current)
    }

    /// Whether its own answers say that it is brittle.
    pub fn says_brittle(&self, now_ms: Millis) -> bool {
        self.brittleness.get().rejections_per_s(now_ms).is_some()
    }

    /// Its brittleness, by its own answers and those of its service; `None` if it is not brittle.
    pub fn brittleness(&self, now_ms: Millis) -> Option<BrittlenessReport> {
        let (own, service) = (self.brittleness.get(), self.service.brittleness.get());
        brittleness::of_server(own, service, now_ms).report(now_ms)
    }

    /// Records that it has no free slot until `until_ms`.
    pub fn mark_full(&self, until_ms: Millis) {
        self.full_until_ms.set(until_ms);
    }

    /// Whether it probably has a free slot; always if it is not brittle.
    pub fn may_have_slot(&self, now_ms: Millis) -> bool {
        now_ms >= self.full_until_ms.get() || self.brittleness(now_ms).is_none()
    }

    /// Its entry in the store, with the state that this box derived from its entries and notices.
    pub fn record(&self) -> Rc<ServerRecord> {
        Rc::clone(&self.record.borrow())
    }

    /// State of one adapter there, by its holder's last status.
    pub fn adapter(&self, key: AdapterKey) -> Option<ViewEntry> {
        self.view.borrow().entry(key as Fingerprint)
    }

    /// Records that the server refused a request because it doesn't hold the adapter.
    pub fn record_missing(&self, key: AdapterKey) {
        self.view.borrow_mut().record_missing(key as Fingerprint);
    }

    /// Whether it is leaving, by its entry or by a notice.
    pub fn is_leaving(&self) -> bool {
        self.notices.borrow().is_leaving()
    }

    /// End of its back-off; `None` if it is not in one.
    pub fn back_off_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.notices.borrow().back_off_until_ms(now_ms)
    }

    /// Whether it is not leaving and no other server was seen at its address. It may still be in a
    /// back-off or at its limit.
    pub fn is_in_service(&self, now_ms: Millis) -> bool {
        !self.is_leaving() && !self.is_displaced(now_ms)
    }

    /// Whether this box may send it a request for which it has no permit yet.
    pub fn takes_work(&self, now_ms: Millis) -> bool {
        self.may_receive_requests(now_ms) && self.at_limit_until_ms(now_ms).is_none()
    }

    /// Whether this box may send it a request that has a permit within the server's limit.
    pub fn may_receive_requests(&self, now_ms: Millis) -> bool {
        let accepts_requests =
            self.is_in_service(now_ms) && self.back_off_until_ms(now_ms).is_none();
        accepts_requests && !self.is_evacuated() && self.waiting.takes_more()
    }

    /// Whether its zone's servers get no more requests.
    fn is_evacuated(&self) -> bool {
        let zones = self.evacuated_zones.borrow();
        !zones.is_empty() && zones.contains(&self.record.borrow().zone)
    }

    /// Skips the server until `until_ms`, as its limit has no capacity.
    pub fn skip_until(&self, until_ms: Millis) {
        self.at_limit_until_ms.set(until_ms);
    }

    /// Time until which its limit has no capacity; `None` if it may have some.
    pub fn at_limit_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        let until_ms = self.at_limit_until_ms.get();
        (now_ms < until_ms && self.limit_per_s().is_some()).then_some(until_ms)
    }

    /// Time since this box first knew of its limit.
    pub fn limit_known_for_ms(&self, now_ms: Millis) -> Millis {
        self.notices.borrow().limit().known_for_ms(now_ms)
    }

    /// Returns the previously reported limit if the limit has changed so much that others should
    /// know, and marks the new one as reported.
    pub fn take_limit_change(&self) -> Option<Option<f64>> {
        let (reported, current) = (self.reported_limit.get(), self.announced_limit_per_s());
        is_significant_change(reported, current).then(|| self.reported_limit.replace(current))
    }

    /// Its limit with the time of its announcement, to pass on to other boxes.
    pub fn limit_notice(&self) -> Option<LimitNotice> {
        self.notices.borrow().limit().notice()
    }

    /// Records that another server answers at its address, which shows that this one has ended even
    /// if it has an entry. Entries of ended servers can reappear next to those of servers that took
    /// over their addresses.
    pub fn mark_displaced(&self, now_ms: Millis) {
        self.displaced_until_ms.set(now_ms + DISPLACED_PAUSE_MS);
    }

    /// Whether another server was seen at its address recently.
    pub fn is_displaced(&self, now_ms: Millis) -> bool {
        now_ms < self.displaced_until_ms.get()
    }

    /// Shortened key for messages between boxes.
    pub fn fingerprint(&self) -> Fingerprint {
        self.key as Fingerprint
    }

    /// Counts a request of this box with `tokens` prompt tokens, for an adapter if it names one.
    pub fn begin_request(
        self: &Rc<Self>,
        adapter: Option<AdapterKey>,
        tokens: u32,
    ) -> RunningRequest {
        self.usage.borrow_mut().begin(adapter, tokens);
        RunningRequest {
            server: Rc::clone(self),
            adapter,
            slot: None,
        }
    }

    /// Requests that all boxes have running there, as far as the holder reported.
    pub fn running(&self, now_ms: Millis) -> usize {
        self.usage.borrow().running() + self.view.borrow().running_elsewhere(now_ms)
    }

    /// Records a time to the first byte as a fraction of its objective.
    pub fn record_delay(&self, part_of_objective: f64, now_ms: Millis) {
        let part = part_of_objective.min(MAX_DELAY);
        let known = self.own_delay(now_ms);
        let delay = known + DELAY_WEIGHT * (part - known);
        self.delay.set((delay, now_ms));
        self.usage.borrow_mut().record_delay(part);
    }

    /// Usual time to the first byte as a fraction of the objective, which decays over time: the
    /// larger of this box's own value and the value over all boxes.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        self.own_delay(now_ms).max(self.view.borrow().delay(now_ms))
    }

    fn own_delay(&self, now_ms: Millis) -> f64 {
        let (amount, noted_ms) = self.delay.get();
        decayed(amount, noted_ms, DELAY_HALF_LIFE_MS, now_ms)
    }

    /// Penalty for failures, which decays over time: the larger of this box's own value and the
    /// value over all boxes.
    pub fn failure_penalty(&self, now_ms: Millis) -> f64 {
        let reported = self.view.borrow().failure_penalty(now_ms);
        self.own_failure_penalty(now_ms).max(reported)
    }

    fn own_failure_penalty(&self, now_ms: Millis) -> f64 {
        let (amount, noted_ms) = self.failure_penalty.get();
        decayed(amount, noted_ms, FAILURE_PENALTY_HALF_LIFE_MS, now_ms)
    }

    /// Drops this box's penalty for failures that were not the server's own.
    pub fn clear_failure_penalty(&self) {
        self.failure_penalty.set(Default::default());
        self.usage.borrow_mut().clear_failures();
    }

    /// Adds a penalty after a failure.
    pub fn add_failure_penalty(&self, amount: f64, now_ms: Millis) {
        let sum = (self.own_failure_penalty(now_ms) + amount).min(MAX_FAILURE_PENALTY);
        self.failure_penalty.set((sum, now_ms));
        self.usage.borrow_mut().record_failure(amount);
    }
}
