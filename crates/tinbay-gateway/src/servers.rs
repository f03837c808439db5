//! The servers this box knows, and what it has running at each.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tinbay_core::serving::contents::{AdapterKey, HeldState, adapter_key};
use tinbay_core::serving::fading::faded;
pub use tinbay_core::serving::servers::ServerKey;
use tinbay_core::serving::servers::{ServerRecord, ServerState};
use tinbay_core::units::Millis;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::http::pool::Pool;
use crate::peers::frame::Fingerprint;

/// Half-life of the mistrust in a server that failed.
const MISTRUST_HALF_LIFE_MS: f64 = 1_500.0;

/// Most mistrust in a server; it is forgotten within some half-lives.
const MOST_MISTRUST: f64 = 8.0;

/// Weight of the flights of now among the usual ones, some times a second.
const FLIGHTS_WEIGHT: f64 = 0.05;

/// Weight of a new head's time.
const DELAY_WEIGHT: f64 = 0.15;

/// Longest time of a head that counts, as a part of the objective.
const MOST_DELAY: f64 = 3.0;

/// Half-life of the time to the head where no new one comes.
const DELAY_HALF_LIFE_MS: f64 = 1_500.0;

/// How long a holder's word on its server's contents counts after its last message.
const HOLDER_WORD_LIFE_MS: Millis = 2_500;

/// An adapter at a server, as this box believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ViewEntry {
    /// Its version; 0 where it is not known.
    pub version: u64,
    /// Whether it can serve.
    pub state: HeldState,
}

/// What a holder's word changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewChange {
    /// Whether it changed anything.
    pub is_any: bool,
    /// Adapters that can serve now, or in another version.
    pub ready: Vec<Fingerprint>,
}

/// What a server holds, as its holder told.
#[derive(Debug, Default)]
struct View {
    told_ms: Option<Millis>,
    entries: HashMap<Fingerprint, ViewEntry>,
}

/// One incarnation of a server.
#[derive(Debug)]
pub struct Server {
    /// Its short name.
    pub key: ServerKey,
    /// Where it listens, as text.
    pub address_text: String,
    /// Told when its holder may have something to order.
    pub order_due: Notify,
    view: RefCell<View>,
    listed: RefCell<HashMap<AdapterKey, ViewEntry>>,
    /// What it says about itself.
    pub record: RefCell<Rc<ServerRecord>>,
    /// Connections to it.
    pub pool: Rc<Pool>,
    own_flights: Cell<usize>,
    adapter_flights: RefCell<HashMap<AdapterKey, usize>>,
    peer_flights: RefCell<HashMap<String, usize>>,
    mistrust: Cell<(f64, Millis)>,
    delay: Cell<(f64, Millis)>,
    usual_flights: Cell<f64>,
    is_overloaded: Cell<bool>,
}

/// One request of this box at a server, counted while it lives.
#[derive(Debug)]
pub struct Flight {
    server: Rc<Server>,
    adapter: Option<AdapterKey>,
}

impl Flight {
    /// The server the request runs at.
    pub fn server(&self) -> Rc<Server> {
        Rc::clone(&self.server)
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let flights = &self.server.own_flights;
        flights.set(flights.get() - 1);
        if let Some(adapter) = self.adapter {
            self.server.land(adapter);
        }
    }
}

impl Server {
    fn new(record: ServerRecord) -> Self {
        Self {
            key: server_key(&record.id),
            address_text: record.address.to_string(),
            order_due: Notify::new(),
            view: RefCell::default(),
            listed: RefCell::new(listed_entries(&record)),
            pool: Rc::new(Pool::new(record.address)),
            record: RefCell::new(Rc::new(record)),
            own_flights: Cell::default(),
            adapter_flights: RefCell::default(),
            peer_flights: RefCell::default(),
            mistrust: Cell::default(),
            delay: Cell::default(),
            usual_flights: Cell::default(),
            is_overloaded: Cell::default(),
        }
    }

    /// What it says about itself.
    pub fn record(&self) -> Rc<ServerRecord> {
        Rc::clone(&self.record.borrow())
    }

    /// Notes what its holder says it holds.
    pub fn note_view(
        &self,
        entries: HashMap<Fingerprint, ViewEntry>,
        now_ms: Millis,
    ) -> ViewChange {
        let mut view = self.view.borrow_mut();
        let is_news = |(adapter, entry): &(&Fingerprint, &ViewEntry)| {
            entry.state == HeldState::Ready && view.entries.get(adapter) != Some(entry)
        };
        let ready = entries.iter().filter(is_news).map(|(adapter, _)| *adapter);
        let change = ViewChange {
            is_any: view.told_ms.is_none() || view.entries != entries,
            ready: ready.collect(),
        };
        view.told_ms = Some(now_ms);
        view.entries = entries;
        change
    }

    /// Notes that its holder's word still stands.
    pub fn confirm_view(&self, now_ms: Millis) {
        let mut view = self.view.borrow_mut();
        if view.told_ms.is_some() {
            view.told_ms = Some(now_ms);
        }
    }

    /// What is believed of one adapter here: its holder's word, or else the last word and
    /// its own entry, as a server without a holder keeps what it has.
    pub fn adapter(&self, key: AdapterKey, now_ms: Millis) -> Option<ViewEntry> {
        let view = self.view.borrow();
        let told = view.entries.get(&(key as Fingerprint)).copied();
        let is_fresh = view
            .told_ms
            .is_some_and(|told_ms| now_ms < told_ms + HOLDER_WORD_LIFE_MS);
        if is_fresh {
            return told;
        }
        told.or_else(|| self.listed.borrow().get(&key).copied())
    }

    /// Notes that the server refused a request as it does not hold the adapter.
    pub fn note_missing(&self, key: AdapterKey) {
        self.view.borrow_mut().entries.remove(&(key as Fingerprint));
        self.listed.borrow_mut().remove(&key);
    }

    /// Whether it takes work.
    pub fn is_ready(&self) -> bool {
        self.record.borrow().state == ServerState::Ready
    }

    /// The short form of its key in messages.
    pub fn fingerprint(&self) -> Fingerprint {
        self.key as Fingerprint
    }

    /// Counts a request of this box, for an adapter if it names one.
    pub fn take_off(self: &Rc<Self>, adapter: Option<AdapterKey>) -> Flight {
        self.own_flights.set(self.own_flights.get() + 1);
        if let Some(adapter) = adapter {
            *self
                .adapter_flights
                .borrow_mut()
                .entry(adapter)
                .or_default() += 1;
        }
        Flight {
            server: Rc::clone(self),
            adapter,
        }
    }

    fn land(&self, adapter: AdapterKey) {
        let mut flights = self.adapter_flights.borrow_mut();
        if let Some(count) = flights.get_mut(&adapter) {
            *count -= 1;
            if *count == 0 {
                flights.remove(&adapter);
            }
        }
    }

    /// Requests of this box here that are for one adapter.
    pub fn adapter_flights(&self, adapter: AdapterKey) -> usize {
        let flights = self.adapter_flights.borrow();
        flights.get(&adapter).copied().unwrap_or_default()
    }

    /// Requests of this box that run here.
    pub fn own_flights(&self) -> usize {
        self.own_flights.get()
    }

    /// Requests of all boxes that run here, as far as they told.
    pub fn flights(&self) -> usize {
        self.own_flights.get() + self.peer_flights.borrow().values().sum::<usize>()
    }

    /// Notes what another box has running here.
    pub fn note_peer_flights(&self, box_id: &str, flights: usize) {
        let mut peers = self.peer_flights.borrow_mut();
        if flights == 0 {
            peers.remove(box_id);
        } else {
            peers.insert(box_id.to_string(), flights);
        }
    }

    /// Takes the flights of now into the usual ones; called some times a second.
    pub fn smooth_flights(&self) {
        let usual = self.usual_flights.get();
        let flights = self.flights() as f64;
        self.usual_flights
            .set(usual + FLIGHTS_WEIGHT * (flights - usual));
    }

    /// Requests of all boxes that usually run here, over some seconds.
    pub fn usual_flights(&self) -> f64 {
        self.usual_flights.get()
    }

    /// Whether it should get no more adapters for now, as its holder judges.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded.get()
    }

    /// Notes whether it should get no more adapters for now; true if that is news.
    pub fn set_overloaded(&self, is_overloaded: bool) -> bool {
        self.is_overloaded.replace(is_overloaded) != is_overloaded
    }

    /// Requests that usually run here against those it works on at once.
    pub fn usual_fullness(&self) -> f64 {
        self.usual_flights() / self.record().slots.max(1) as f64
    }

    /// Notes how a head's time stood to its objective.
    pub fn note_delay(&self, part_of_objective: f64, now_ms: Millis) {
        let known = self.delay(now_ms);
        let delay = known + DELAY_WEIGHT * (part_of_objective.min(MOST_DELAY) - known);
        self.delay.set((delay, now_ms));
    }

    /// Usual time to the head as a part of the objective, fading with time.
    pub fn delay(&self, now_ms: Millis) -> f64 {
        let (amount, noted_ms) = self.delay.get();
        faded(amount, noted_ms, DELAY_HALF_LIFE_MS, now_ms)
    }

    /// Mistrust in the server, fading with time.
    pub fn mistrust(&self, now_ms: Millis) -> f64 {
        let (amount, noted_ms) = self.mistrust.get();
        faded(amount, noted_ms, MISTRUST_HALF_LIFE_MS, now_ms)
    }

    /// Adds mistrust after a failure.
    pub fn add_mistrust(&self, amount: f64, now_ms: Millis) {
        let sum = (self.mistrust(now_ms) + amount).min(MOST_MISTRUST);
        self.mistrust.set((sum, now_ms));
    }
}

/// All servers known, by the name of their incarnation.
#[derive(Debug, Default)]
pub struct ServerTable {
    by_id: HashMap<String, Rc<Server>>,
    ids: HashMap<ServerKey, String>,
    keys: HashMap<Fingerprint, ServerKey>,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is new.
    Arrived,
    /// Its state changed.
    StateChanged,
    /// Nothing that decides anything.
    Same,
}

impl ServerTable {
    /// Notes a server's entry.
    pub fn put(&mut self, record: ServerRecord) -> ServerChange {
        match self.by_id.get(&record.id) {
            Some(server) => {
                let changed = server.record.borrow().state != record.state;
                *server.listed.borrow_mut() = listed_entries(&record);
                *server.record.borrow_mut() = Rc::new(record);
                if changed {
                    ServerChange::StateChanged
                } else {
                    ServerChange::Same
                }
            }
            None => {
                let id = record.id.clone();
                let key = server_key(&id);
                self.keys.insert(key as Fingerprint, key);
                self.ids.insert(key, id.clone());
                self.by_id.insert(id, Rc::new(Server::new(record)));
                ServerChange::Arrived
            }
        }
    }

    /// Forgets a server.
    pub fn remove(&mut self, id: &str) -> bool {
        let key = server_key(id);
        self.ids.remove(&key);
        self.keys.remove(&(key as Fingerprint));
        match self.by_id.remove(id) {
            Some(server) => {
                server.pool.clear();
                true
            }
            None => false,
        }
    }

    /// A server by its name.
    pub fn get(&self, id: &str) -> Option<Rc<Server>> {
        self.by_id.get(id).cloned()
    }

    /// A server by its short name.
    pub fn by_key(&self, key: ServerKey) -> Option<Rc<Server>> {
        self.get(self.ids.get(&key)?)
    }

    /// A server by the short form of its key.
    pub fn by_fingerprint(&self, fingerprint: Fingerprint) -> Option<Rc<Server>> {
        self.by_key(*self.keys.get(&fingerprint)?)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_id.values()
    }

    /// Servers of a service that take work.
    pub fn ready(&self, service: &str) -> Vec<Rc<Server>> {
        let fits =
            |server: &&Rc<Server>| server.is_ready() && server.record.borrow().service == service;
        self.by_id.values().filter(fits).cloned().collect()
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

fn server_key(id: &str) -> ServerKey {
    xxh3_64(id.as_bytes())
}

fn listed_entries(record: &ServerRecord) -> HashMap<AdapterKey, ViewEntry> {
    record
        .adapters
        .iter()
        .map(|held| {
            let entry = ViewEntry {
                version: held.version,
                state: HeldState::Ready,
            };
            (adapter_key(&held.adapter), entry)
        })
        .collect()
}
