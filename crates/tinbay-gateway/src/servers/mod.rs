//! Table of the backend servers that this box knows, with this box's state for each of them.

pub mod calls;
mod departed;
pub mod incarnation;
pub mod notices;
pub mod server;
pub mod service;
pub mod usage;
pub mod view;
mod waiting;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use prometheus::IntCounterVec;
pub use server::{RunningRequest, Server};
use tinbay_core::serving::servers::{Fingerprint, ServerKey, ServerRecord};
use tinbay_core::units::Millis;

use self::departed::Departed;
use self::service::ServiceStats;
use crate::clock::Clock;
use crate::http::reuse::ReuseLedger;

/// Availability zones whose servers get no more requests.
pub(crate) type EvacuatedZones = Rc<RefCell<BTreeSet<String>>>;

/// Known servers, each in its latest incarnation.
#[derive(Debug)]
pub struct ServerTable {
    clock: Clock,
    by_id: HashMap<String, Rc<Server>>,
    ids: HashMap<ServerKey, String>,
    keys: HashMap<Fingerprint, ServerKey>,
    departed: Departed,
    services: HashMap<String, Rc<ServiceStats>>,
    evacuated_zones: EvacuatedZones,
    connections_metric: Option<IntCounterVec>,
}

/// Effect of a record on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerChange {
    /// The server is new.
    Arrived,
    /// The server restarted or moved to another address, so that its earlier state no longer
    /// applies.
    Restarted,
    /// The server has begun to leave.
    StateChanged,
    /// Nothing that affects decisions changed.
    Same,
}

impl ServerChange {
    /// Name in logs.
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
    /// Creates an empty table with the clock of the process.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            by_id: HashMap::new(),
            ids: HashMap::new(),
            keys: HashMap::new(),
            departed: Departed::default(),
            services: HashMap::new(),
            evacuated_zones: EvacuatedZones::default(),
            connections_metric: None,
        }
    }

    /// Returns the table with a metric for connections to servers.
    pub fn with_connection_metric(self, metric: IntCounterVec) -> Self {
        Self {
            connections_metric: Some(metric),
            ..self
        }
    }

    fn service(&mut self, name: &str) -> Rc<ServiceStats> {
        if let Some(service) = self.services.get(name) {
            return Rc::clone(service);
        }
        let reuse = ReuseLedger::new(name, self.clock, self.connections_metric.clone());
        let service = Rc::new(ServiceStats::new(reuse));
        self.services.insert(name.to_string(), Rc::clone(&service));
        service
    }

    /// Adds or updates a server by its entry. A late entry of an earlier incarnation changes
    /// nothing.
    ///
    /// A new incarnation is another server under the same id, with its own key, view and
    /// connections. With the view of the old incarnation, boxes would send requests for adapters
    /// that the restarted server no longer holds and refuses.
    pub fn put(&mut self, record: ServerRecord) -> ServerChange {
        let Some(server) = self.by_id.get(&record.id) else {
            self.insert(record);
            return ServerChange::Arrived;
        };
        let known = server.record();
        // An entry without a start time doesn't show a restart.
        let born_ms = record.born_ms.or(known.born_ms);
        let known_born_ms = known.born_ms.or(born_ms);
        if born_ms < known_born_ms {
            return ServerChange::Same;
        }
        let record = ServerRecord { born_ms, ..record };
        let has_other_software =
            known.software_version.is_read() && record.software_version != known.software_version;
        if born_ms != known_born_ms || record.address != known.address || has_other_software {
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
        let notices = self.departed.notices_of(&record);
        let service = self.service(&record.service);
        let zones = Rc::clone(&self.evacuated_zones);
        let server = Server::new(record, notices, self.clock, service, zones);
        self.keys.insert(server.fingerprint(), server.key);
        self.ids.insert(server.key, id.clone());
        self.by_id.insert(id, Rc::new(server));
    }

    /// Sets how many requests per second the servers of a service take while they are slow after
    /// their start.
    pub fn set_slow_start(&mut self, service: &str, per_s: Option<f64>) {
        self.service(service).slow_start_per_s.set(per_s);
    }

    /// Sets whether the servers of a zone get no more requests; returns whether that is a change.
    pub fn set_evacuated(&self, zone: &str, is_evacuated: bool) -> bool {
        let mut zones = self.evacuated_zones.borrow_mut();
        match is_evacuated {
            true => zones.insert(zone.to_string()),
            false => zones.remove(zone),
        }
    }

    /// Zones whose servers get no more requests.
    pub fn evacuated_zones(&self) -> Vec<String> {
        self.evacuated_zones.borrow().iter().cloned().collect()
    }

    /// Removes a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(server) = self.by_id.remove(id) else {
            return false;
        };
        self.ids.remove(&server.key);
        self.keys.remove(&server.fingerprint());
        self.departed.remember(&server.record(), &server.notices);
        server.pool.clear();
        true
    }

    /// Returns a server by its id.
    pub fn get(&self, id: &str) -> Option<Rc<Server>> {
        self.by_id.get(id).cloned()
    }

    /// Returns a server by its key.
    pub fn by_key(&self, key: ServerKey) -> Option<Rc<Server>> {
        self.get(self.ids.get(&key)?)
    }

    /// Returns a server by its fingerprint.
    pub fn by_fingerprint(&self, fingerprint: Fingerprint) -> Option<Rc<Server>> {
        self.by_key(*self.keys.get(&fingerprint)?)
    }

    /// Whether another known server has the same address.
    pub fn shares_address(&self, server: &Server) -> bool {
        let address = server.record().address;
        let mut others = self.by_id.values().filter(|other| other.key != server.key);
        others.any(|other| other.record.borrow().address == address)
    }

    /// Iterates over all servers in no particular order.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Server>> {
        self.by_id.values()
    }

    /// Servers of a service to which this box may send requests now.
    pub fn ready(&self, service: &str) -> Vec<Rc<Server>> {
        let now_ms = self.clock.now_ms();
        self.of_service(service)
            .filter(|server| server.takes_work(now_ms))
            .cloned()
            .collect()
    }

    /// Servers of a service that are not leaving, including those in a back-off or at their limits.
    pub fn in_service(&self, service: &str) -> Vec<Rc<Server>> {
        let now_ms = self.clock.now_ms();
        self.of_service(service)
            .filter(|server| server.is_in_service(now_ms))
            .cloned()
            .collect()
    }

    /// Earliest time at which one of a service's servers that are in a back-off or at their limits
    /// accepts requests again; `None` if there is no such server.
    pub fn first_available_ms(&self, service: &str) -> Option<Millis> {
        let now_ms = self.clock.now_ms();
        let end_ms = |server: &Rc<Server>| {
            let back_off_until_ms = server.back_off_until_ms(now_ms);
            back_off_until_ms.max(server.at_limit_until_ms(now_ms))
        };
        self.of_service(service)
            .filter(|server| server.is_in_service(now_ms))
            .filter_map(end_ms)
            .min()
    }

    /// Sum of the limits that servers of a service announced, in requests per second.
    pub fn limits_per_s(&self, service: &str) -> f64 {
        let now_ms = self.clock.now_ms();
        self.of_service(service)
            .filter(|server| server.is_in_service(now_ms))
            .filter_map(|server| server.limit_per_s())
            .sum()
    }

    /// Statistics of all services that have had servers, by name.
    pub fn services(&self) -> impl Iterator<Item = (&String, &Rc<ServiceStats>)> {
        self.services.iter()
    }

    /// Statistics of a service; `None` if it has had no server.
    pub fn service_stats(&self, name: &str) -> Option<&Rc<ServiceStats>> {
        self.services.get(name)
    }

    /// Iterates over the listed servers of a service, whether they take requests or not.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &Rc<Server>> {
        let servers = self.by_id.values();
        servers.filter(move |server| server.record.borrow().service == service)
    }

    /// Number of known servers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}
