//! The servers this box knows, and what it has running at each.

mod departed;
pub mod notices;
pub mod server;
pub mod service;
pub mod usage;
pub mod view;
mod waiting;

use std::collections::HashMap;
use std::rc::Rc;

use prometheus::IntCounterVec;
pub use server::{RunningRequest, Server};
use tinbay_core::serving::servers::{Fingerprint, ServerKey, ServerRecord};
use tinbay_core::units::Millis;

use self::departed::Departed;
use self::service::ServiceSight;
use crate::clock::Clock;
use crate::http::reuse::ReuseLedger;

/// All servers known, each in its newest incarnation.
#[derive(Debug)]
pub struct ServerTable {
    clock: Clock,
    by_id: HashMap<String, Rc<Server>>,
    ids: HashMap<ServerKey, String>,
    keys: HashMap<Fingerprint, ServerKey>,
    departed: Departed,
    services: HashMap<String, Rc<ServiceSight>>,
    connections_measure: Option<IntCounterVec>,
}

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is new.
    Arrived,
    /// It has started again, or moved: nothing that was believed of it holds.
    Restarted,
    /// Its state changed.
    StateChanged,
    /// Nothing that decides anything.
    Same,
}

impl ServerChange {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            ServerChange::Arrived => "arrived",
            ServerChange::Restarted => "restarted",
            ServerChange::StateChanged => "state",
            ServerChange::Same => "same",
        }
    }
}

impl ServerTable {
    /// A table of no server, with the clock of the process.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            by_id: HashMap::new(),
            ids: HashMap::new(),
            keys: HashMap::new(),
            departed: Departed::default(),
            services: HashMap::new(),
            connections_measure: None,
        }
    }

    /// The same with a measure of what becomes of connections to servers.
    pub fn with_measure(self, measure: IntCounterVec) -> Self {
        Self {
            connections_measure: Some(measure),
            ..self
        }
    }

    fn service(&mut self, name: &str) -> Rc<ServiceSight> {
        if let Some(service) = self.services.get(name) {
            return Rc::clone(service);
        }
        let reuse = ReuseLedger::new(name, self.clock, self.connections_measure.clone());
        let service = Rc::new(ServiceSight::new(reuse));
        self.services.insert(name.to_string(), Rc::clone(&service));
        service
    }

    /// Notes a server's entry. One of an earlier incarnation that comes late changes nothing.
    ///
    /// A new incarnation is another server under the same name: it gets a key, a view and connections
    /// of its own. Where boxes went on believing what the older one held, up to 667 requests a day were
    /// refused by servers that had started again (three simulated days, 0.01 to 0.11 of the worth).
    pub fn put(&mut self, record: ServerRecord) -> ServerChange {
        let Some(server) = self.by_id.get(&record.id) else {
            self.insert(record);
            return ServerChange::Arrived;
        };
        let known = server.record();
        // An entry that does not say when its server started tells nothing of a restart.
        let born_ms = record.born_ms.or(known.born_ms);
        let known_born_ms = known.born_ms.or(born_ms);
        if born_ms < known_born_ms {
            return ServerChange::Same;
        }
        let record = ServerRecord { born_ms, ..record };
        if born_ms != known_born_ms || record.address != known.address {
            self.remove(&record.id);
            self.insert(record);
            return ServerChange::Restarted;
        }
        server.set_record(record);
        if server.record().state != known.state {
            ServerChange::StateChanged
        } else {
            ServerChange::Same
        }
    }

    fn insert(&mut self, record: ServerRecord) {
        let id = record.id.clone();
        let said = self.departed.said_by(&record);
        let service = self.service(&record.service);
        let server = Server::new(record, said, self.clock, service);
        self.keys.insert(server.fingerprint(), server.key);
        self.ids.insert(server.key, id.clone());
        self.by_id.insert(id, Rc::new(server));
    }

    /// Forgets a server.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(server) = self.by_id.remove(id) else {
            return false;
        };
        self.ids.remove(&server.key);
        self.keys.remove(&server.fingerprint());
        self.departed.remember(&server.record(), &server.said);
        server.pool.clear();
        true
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

    /// Whether another server is entered with the same address.
    pub fn shares_address(&self, server: &Server) -> bool {
        let address = server.record().address;
        let mut others = self.by_id.values().filter(|other| other.key != server.key);
        others.any(|other| other.record.borrow().address == address)
    }

    /// All servers.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_id.values()
    }

    /// Servers of a service that take work from this box.
    pub fn ready(&self, service: &str) -> Vec<Rc<Server>> {
        let now_ms = self.clock.now_ms();
        self.of_service(service)
            .filter(|server| server.takes_work(now_ms))
            .cloned()
            .collect()
    }

    /// Servers of a service that are there to stay.
    pub fn staying(&self, service: &str) -> Vec<Rc<Server>> {
        let now_ms = self.clock.now_ms();
        self.of_service(service)
            .filter(|server| server.is_ready(now_ms))
            .cloned()
            .collect()
    }

    /// When the first of a service's servers that rest or are at their limits takes work again; none where
    /// there is no such one.
    pub fn first_rest_end_ms(&self, service: &str) -> Option<Millis> {
        let now_ms = self.clock.now_ms();
        let end_ms = |server: &Rc<Server>| {
            let rest_ms = server.rest_until_ms(now_ms);
            rest_ms.max(server.at_limit_until_ms(now_ms))
        };
        self.of_service(service)
            .filter(|server| server.is_ready(now_ms))
            .filter_map(end_ms)
            .min()
    }

    /// Requests a second that the servers of a service take which name limits.
    pub fn limits_per_s(&self, service: &str) -> f64 {
        let now_ms = self.clock.now_ms();
        self.of_service(service)
            .filter(|server| server.is_ready(now_ms))
            .filter_map(|server| server.limit_per_s())
            .sum()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &Rc<Server>> {
        let servers = self.by_id.values();
        servers.filter(move |server| server.record.borrow().service == service)
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
