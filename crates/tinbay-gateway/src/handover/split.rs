//! The engines of a service, parted into those that read for others and the rest.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use tinbay_core::handover::need::PrefillNeed;
use tinbay_core::handover::roles::{Engine, Role, assign_roles};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use crate::servers::{Server, ServerTable};

/// How long readers that were drawn are kept: to draw them takes time that grows with the servers.
const DRAWN_LIFE_MS: Millis = 250;

/// Engines of a service.
#[derive(Debug, Default)]
pub struct Split {
    /// Those that read prompts, whose runs move on.
    pub readers: Vec<Rc<Server>>,
    /// Those where such runs go on, and that serve rare adapters whole.
    pub homes: Vec<Rc<Server>>,
}

#[derive(Debug)]
struct Drawn {
    roles: Rc<HashMap<ServerKey, Role>>,
    until_ms: Millis,
}

/// What one box knows of the services whose engines read for each other.
#[derive(Debug, Default)]
pub struct Splits {
    needs: RefCell<HashMap<String, PrefillNeed>>,
    drawn: RefCell<HashMap<String, Drawn>>,
    counts: RefCell<HashMap<String, Counted>>,
}

/// Engines of a service as they were counted lately.
#[derive(Debug, Clone, Copy)]
struct Counted {
    engines: usize,
    until_ms: Millis,
}

impl Splits {
    /// Notes a stream of a service that ended where it began; whether that made others read.
    pub fn note_stream(&self, service: &str, is_late_by_pause: bool, now_ms: Millis) -> bool {
        let mut needs = self.needs.borrow_mut();
        let need = needs.entry(service.to_string()).or_default();
        let was_needed = need.is_needed(now_ms);
        need.note_stream(is_late_by_pause, now_ms);
        need.is_needed(now_ms) && !was_needed
    }

    /// Engines of a service that are there to stay, as counted lately.
    pub fn engines(&self, servers: &RefCell<ServerTable>, service: &str, now_ms: Millis) -> usize {
        let mut counts = self.counts.borrow_mut();
        if let Some(counted) = counts.get(service).filter(|kept| now_ms < kept.until_ms) {
            return counted.engines;
        }
        let engines = servers.borrow().staying(service).len();
        let until_ms = now_ms + DRAWN_LIFE_MS;
        counts.insert(service.to_string(), Counted { engines, until_ms });
        engines
    }

    /// Whether some engines of a service read for the others.
    pub fn is_needed(&self, service: &str, now_ms: Millis) -> bool {
        let needs = self.needs.borrow();
        needs
            .get(service)
            .is_some_and(|need| need.is_needed(now_ms))
    }

    /// Parts servers of a service; none where no engine reads for others.
    pub fn split(
        &self,
        servers: &RefCell<ServerTable>,
        service: &str,
        among: &[Rc<Server>],
        now_ms: Millis,
    ) -> Option<Split> {
        if !self.is_needed(service, now_ms) {
            return None;
        }
        let roles = self.roles(servers, service, now_ms);
        let mut split = Split::default();
        for server in among {
            let part = match roles.get(&server.key) {
                Some(Role::Prefill) => &mut split.readers,
                Some(Role::Decode) | None => &mut split.homes,
            };
            part.push(Rc::clone(server));
        }
        let is_parted = !split.readers.is_empty() && !split.homes.is_empty();
        is_parted.then_some(split)
    }

    /// Whether an engine reads for others.
    pub fn is_reader(
        &self,
        servers: &RefCell<ServerTable>,
        server: &Server,
        now_ms: Millis,
    ) -> bool {
        let service = &server.record().service;
        if !self.is_needed(service, now_ms) {
            return false;
        }
        let roles = self.roles(servers, service, now_ms);
        roles.get(&server.key) == Some(&Role::Prefill)
    }

    fn roles(
        &self,
        servers: &RefCell<ServerTable>,
        service: &str,
        now_ms: Millis,
    ) -> Rc<HashMap<ServerKey, Role>> {
        let mut drawn = self.drawn.borrow_mut();
        if let Some(drawn) = drawn.get(service).filter(|drawn| now_ms < drawn.until_ms) {
            return Rc::clone(&drawn.roles);
        }
        let roles = Rc::new(draw(&servers.borrow().staying(service)));
        let kept = Drawn {
            roles: Rc::clone(&roles),
            until_ms: now_ms + DRAWN_LIFE_MS,
        };
        drawn.insert(service.to_string(), kept);
        roles
    }
}

fn draw(servers: &[Rc<Server>]) -> HashMap<ServerKey, Role> {
    let records: Vec<_> = servers.iter().map(|server| server.record()).collect();
    let engines: Vec<Engine<'_>> = servers
        .iter()
        .zip(&records)
        .map(|(server, record)| Engine {
            address: &server.address_text,
            zone: &record.zone,
        })
        .collect();
    let keys = servers.iter().map(|server| server.key);
    keys.zip(assign_roles(&engines)).collect()
}
