//! One incarnation of a server, and what this box believes of it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tinbay_core::pace::slowness::{MOST_SLOW_START_MS, SLOW_START, Slowness, slowed_load};
use tinbay_core::serving::contents::AdapterKey;
use tinbay_core::serving::fading::faded;
use tinbay_core::serving::notices::AnswerNotice;
use tinbay_core::serving::server_limit::{LimitNotice, is_news};
use tinbay_core::serving::servers::{Fingerprint, ServerKey, ServerRecord, ServerState};
use tinbay_core::serving::subscribers::{MISTRUST_HALF_LIFE_MS, MOST_MISTRUST};
use tinbay_core::units::Millis;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::departed::SharedSaid;
use super::service::ServiceSight;
use super::usage::Usage;
use super::view::{View, ViewEntry};
use super::waiting::WaitingBytes;
use crate::clock::Clock;
use crate::crashes::check::CutRequest;
use crate::http::pool::Pool;

/// Weight of a new head's time.
const DELAY_WEIGHT: f64 = 0.15;

/// Longest time of a head that counts, as a part of the objective.
const MOST_DELAY: f64 = 3.0;

/// Half-life of the time to the head where no new one comes.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// How long a server is left out at whose address another one answered; its entry should be gone by
/// then, and one request shows whether it is there after all.
const DISPLACED_LIFE_MS: Millis = 10_000;

/// Part of the answers of a service that are no slower than the usual one.
const USUAL_PART: f64 = 0.5;

/// Part of the objective that a request takes at an idle server, until answers tell.
const OWN_PART: f64 = 0.2;

/// One incarnation of a server.
#[derive(Debug)]
pub struct Server {
    /// Its short name.
    pub key: ServerKey,
    /// Where it listens, as text.
    pub address_text: String,
    /// Told when its holder may have something to order.
    pub order_due: Notify,
    /// Told when its holder has sent its status.
    pub status_came: Notify,
    /// What its holder told.
    pub view: RefCell<View>,
    /// What this box has running there.
    pub usage: RefCell<Usage>,
    /// Requests that it broke off and that it is to be checked for.
    pub cut: RefCell<Vec<CutRequest>>,
    /// Connections to it.
    pub pool: Rc<Pool>,
    /// Bytes of this box's requests that it has not begun to answer.
    pub waiting: WaitingBytes,
    pub(super) record: RefCell<Rc<ServerRecord>>,
    /// What it said of itself, which outlasts its entry.
    pub(super) said: SharedSaid,
    clock: Clock,
    service: Rc<ServiceSight>,
    /// Its speed against the service's, by answers of this box.
    slowness: Cell<Slowness>,
    /// Until when it is slow from its start.
    slow_until_ms: Cell<Millis>,
    mistrust: Cell<(f64, Millis)>,
    displaced_until_ms: Cell<Millis>,
    /// Its limit as it was last told, by a line and to others.
    limit_told: Cell<Option<f64>>,
    /// Until when its limit is taken to have no room.
    at_limit_until_ms: Cell<Millis>,
    delay: Cell<(f64, Millis)>,
}

/// One request of this box at a server, counted while it lives.
#[derive(Debug)]
pub struct RunningRequest {
    server: Rc<Server>,
    adapter: Option<AdapterKey>,
}

impl RunningRequest {
    /// The server the request runs at.
    pub fn server(&self) -> Rc<Server> {
        Rc::clone(&self.server)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.server.usage.borrow_mut().end(self.adapter);
    }
}

/// The short name of an incarnation.
fn server_key(record: &ServerRecord) -> ServerKey {
    let name = format!("{} {}", record.id, record.address);
    xxh3_64_with_seed(name.as_bytes(), record.born_ms.unwrap_or_default())
}

impl Server {
    pub(super) fn new(
        record: ServerRecord,
        said: SharedSaid,
        clock: Clock,
        service: Rc<ServiceSight>,
    ) -> Self {
        let key = server_key(&record);
        let server = Self {
            key,
            address_text: record.address.to_string(),
            order_due: Notify::new(),
            status_came: Notify::new(),
            view: RefCell::default(),
            usage: RefCell::default(),
            cut: RefCell::default(),
            pool: Rc::new(Pool::new(
                key,
                record.address,
                clock,
                Rc::clone(&service.reuse),
            )),
            clock,
            service,
            slowness: Cell::default(),
            slow_until_ms: Cell::default(),
            waiting: WaitingBytes::default(),
            record: RefCell::new(Rc::new(record.clone())),
            said,
            mistrust: Cell::default(),
            displaced_until_ms: Cell::default(),
            limit_told: Cell::default(),
            at_limit_until_ms: Cell::default(),
            delay: Cell::default(),
        };
        server.note_slow_start(record.slow_for_ms);
        server.set_record(record);
        server
    }

    /// Takes a newer entry of this incarnation. One that is late or old does not make it stay: with
    /// the state of the entry seen last, a server that leaves got 10 to 14 of 24 requests.
    pub(super) fn set_record(&self, record: ServerRecord) {
        if record.state == ServerState::Draining {
            self.said.borrow_mut().note_leaving();
        }
        // An entry that comes again, as it was, tells nothing new of the time that is left.
        if record.slow_for_ms != self.record().slow_for_ms {
            self.note_slow_start(record.slow_for_ms);
        }
        let state = if self.is_leaving() {
            ServerState::Draining
        } else {
            ServerState::Ready
        };
        *self.record.borrow_mut() = Rc::new(ServerRecord { state, ..record });
    }

    fn note_slow_start(&self, slow_for_ms: Millis) {
        let slow_for_ms = slow_for_ms.min(MOST_SLOW_START_MS);
        self.slow_until_ms.set(self.clock.now_ms() + slow_for_ms);
    }

    /// Notes how long an answer took that needed nothing special of the server.
    pub fn note_answer_time(&self, took_ms: f64, now_ms: Millis) {
        let mut times = self.service.times.borrow_mut();
        if let Some(usual_ms) = times.quantile_ms(USUAL_PART) {
            let mut slowness = self.slowness.get();
            slowness.note(usual_ms, took_ms, now_ms);
            self.slowness.set(slowness);
        }
        times.note(took_ms, now_ms);
    }

    /// How busy it counts with such a load, by its speed against its service's.
    pub fn slowed_load(&self, load: f64, objective_ms: Millis, now_ms: Millis) -> f64 {
        let usual_ms = self.service.times.borrow().quantile_ms(USUAL_PART);
        let own_part = usual_ms.map_or(OWN_PART, |usual_ms| usual_ms / objective_ms.max(1) as f64);
        slowed_load(load, own_part, self.slowness_factor(now_ms))
    }

    fn slowness_factor(&self, now_ms: Millis) -> f64 {
        let seen = self.slowness.get().factor(now_ms);
        if now_ms < self.slow_until_ms.get() {
            return seen.max(SLOW_START);
        }
        seen
    }

    /// What the servers of its service have in common.
    pub fn service(&self) -> &ServiceSight {
        &self.service
    }

    /// Notes what it says of itself in an answer of its own.
    pub fn note_said(&self, notice: AnswerNotice, now_ms: Millis) {
        self.said.borrow_mut().note(notice, now_ms);
        if notice.is_leaving {
            let record = ServerRecord::clone(&self.record());
            self.set_record(record);
        }
    }

    /// Requests a second that it takes from all boxes together; none where it named no limit.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.said.borrow().limit().per_s()
    }

    /// What it says about itself.
    pub fn record(&self) -> Rc<ServerRecord> {
        Rc::clone(&self.record.borrow())
    }

    /// What is believed of one adapter here.
    pub fn adapter(&self, key: AdapterKey) -> Option<ViewEntry> {
        self.view.borrow().entry(key as Fingerprint)
    }

    /// Notes that the server refused a request as it does not hold the adapter.
    pub fn note_missing(&self, key: AdapterKey) {
        self.view.borrow_mut().note_missing(key as Fingerprint);
    }

    /// Whether it leaves, by its entry or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.said.borrow().is_leaving()
    }

    /// Until when it wants nothing from this box; none where it takes what comes.
    pub fn rest_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        self.said.borrow().rest_until_ms(now_ms)
    }

    /// Whether it is there to stay.
    pub fn is_ready(&self, now_ms: Millis) -> bool {
        !self.is_leaving() && !self.is_displaced(now_ms)
    }

    /// Whether it takes work from this box now.
    pub fn takes_work(&self, now_ms: Millis) -> bool {
        self.may_be_sent(now_ms) && self.at_limit_until_ms(now_ms).is_none()
    }

    /// The same for a request that has leave to be sent within the server's limit.
    pub fn may_be_sent(&self, now_ms: Millis) -> bool {
        let is_willing = self.is_ready(now_ms) && self.rest_until_ms(now_ms).is_none();
        is_willing && self.waiting.takes_more()
    }

    /// Notes that its limit has no room until then.
    pub fn pass_over_until(&self, until_ms: Millis) {
        self.at_limit_until_ms.set(until_ms);
    }

    /// Until when its limit is taken to have no room; none where it may have some.
    pub fn at_limit_until_ms(&self, now_ms: Millis) -> Option<Millis> {
        let until_ms = self.at_limit_until_ms.get();
        (now_ms < until_ms && self.limit_per_s().is_some()).then_some(until_ms)
    }

    /// For how long it has been known to have a limit.
    pub fn limit_known_for_ms(&self, now_ms: Millis) -> Millis {
        self.said.borrow().limit().known_for_ms(now_ms)
    }

    /// Whether its limit has changed so much that others should know; and what it was when they were last
    /// told.
    pub fn take_limit_news(&self) -> Option<Option<f64>> {
        let (told, now) = (self.limit_told.get(), self.limit_per_s());
        is_news(told, now).then(|| self.limit_told.replace(now))
    }

    /// What is known of its limit, to tell others.
    pub fn limit_notice(&self) -> Option<LimitNotice> {
        self.said.borrow().limit().notice()
    }

    /// Notes that another server answers at its address: it has ended, whatever its entry says. Entries
    /// of servers that ended come back at times, beside those of the ones that took their addresses.
    pub fn note_displaced(&self, now_ms: Millis) {
        self.displaced_until_ms.set(now_ms + DISPLACED_LIFE_MS);
    }

    /// Whether another server was seen at its address lately.
    pub fn is_displaced(&self, now_ms: Millis) -> bool {
        now_ms < self.displaced_until_ms.get()
    }

    /// The short form of its key in messages.
    pub fn fingerprint(&self) -> Fingerprint {
        self.key as Fingerprint
    }

    /// Counts a request of this box with so many tokens to read, for an adapter if it names one.
    pub fn begin_request(
        self: &Rc<Self>,
        adapter: Option<AdapterKey>,
        tokens: u32,
    ) -> RunningRequest {
        self.usage.borrow_mut().begin(adapter, tokens);
        RunningRequest {
            server: Rc::clone(self),
            adapter,
        }
    }

    /// Requests of all boxes that run here, as far as the holder told.
    pub fn running(&self, now_ms: Millis) -> usize {
        self.usage.borrow().running() + self.view.borrow().running_elsewhere(now_ms)
    }

    /// Notes how a head's time stood to its objective.
    pub fn note_delay(&self, part_of_objective: f64, now_ms: Millis) {
        let part = part_of_objective.min(MOST_DELAY);
        let known = self.own_delay(now_ms);
        let delay = known + DELAY_WEIGHT * (part - known);
        self.delay.set((delay, now_ms));
        self.usage.borrow_mut().note_delay(part);
    }

    /// Usual time to the head as a part of the objective, fading with time: what this box saw,
    /// or what all boxes saw where that is more.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        self.own_delay(now_ms).max(self.view.borrow().delay(now_ms))
    }

    fn own_delay(&self, now_ms: Millis) -> f64 {
        let (amount, noted_ms) = self.delay.get();
        faded(amount, noted_ms, DELAY_HALF_LIFE_MS, now_ms)
    }

    /// Mistrust in the server, fading with time: by what this box saw, or what all boxes saw
    /// where that is more.
    pub fn mistrust(&self, now_ms: Millis) -> f64 {
        let told = self.view.borrow().mistrust(now_ms);
        self.own_mistrust(now_ms).max(told)
    }

    fn own_mistrust(&self, now_ms: Millis) -> f64 {
        let (amount, noted_ms) = self.mistrust.get();
        faded(amount, noted_ms, MISTRUST_HALF_LIFE_MS, now_ms)
    }

    /// Adds mistrust after a failure.
    pub fn add_mistrust(&self, amount: f64, now_ms: Millis) {
        let sum = (self.own_mistrust(now_ms) + amount).min(MOST_MISTRUST);
        self.mistrust.set((sum, now_ms));
        self.usage.borrow_mut().note_failure(amount);
    }
}
