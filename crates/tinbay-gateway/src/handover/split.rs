//! The engines of a service, parted into those that read for others and the rest.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use tinbay_core::handover::need::ReadingNeed;
use tinbay_core::handover::roles::{Engine, draw_readers};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use crate::servers::{Server, ServerTable};

/// How long readers that were drawn are kept: to draw them takes time that grows with the servers.
const DRAWN_LIFE_MS: Millis = 250;

/// Engines of a service.
#[derive(Debug, Default)]
pub struct Split {
    /// Those where streams run to their end.
    pub homes: Vec<Rc<Server>>,
    /// Those that read for them.
    pub readers: Vec<Rc<Server>>,
}

#[derive(Debug)]
struct Drawn {
    readers: Rc<HashSet<ServerKey>>,
    until_ms: Millis,
}

/// What one box knows of the services whose engines read for each other.
#[derive(Debug, Default)]
pub struct Splits {
    needs: RefCell<HashMap<String, ReadingNeed>>,
    drawn: RefCell<HashMap<String, Drawn>>,
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
        let readers = self.readers(servers, service, now_ms);
        let is_reader = |server: &&Rc<Server>| readers.contains(&server.key);
        let (readers, homes): (Vec<_>, Vec<_>) = among.iter().partition(is_reader);
        if readers.is_empty() || homes.is_empty() {
            return None;
        }
        Some(Split {
            homes: homes.into_iter().cloned().collect(),
            readers: readers.into_iter().cloned().collect(),
        })
    }

    /// Whether an engine reads for others.
    pub fn is_reader(
        &self,
        servers: &RefCell<ServerTable>,
        server: &Server,
        now_ms: Millis,
    ) -> bool {
        let service = &server.record().service;
        let is_needed = self.is_needed(service, now_ms);
        is_needed && self.readers(servers, service, now_ms).contains(&server.key)
    }

    fn readers(
        &self,
        servers: &RefCell<ServerTable>,
        service: &str,
        now_ms: Millis,
    ) -> Rc<HashSet<ServerKey>> {
        let mut drawn = self.drawn.borrow_mut();
        if let Some(drawn) = drawn.get(service).filter(|drawn| now_ms < drawn.until_ms) {
            return Rc::clone(&drawn.readers);
        }
        let readers = Rc::new(draw(&servers.borrow().staying(service)));
        let until_ms = now_ms + DRAWN_LIFE_MS;
        let kept = Drawn {
            readers: Rc::clone(&readers),
            until_ms,
        };
        drawn.insert(service.to_string(), kept);
        readers
    }
}

fn draw(servers: &[Rc<Server>]) -> HashSet<ServerKey> {
    let records: Vec<_> = servers.iter().map(|server| server.record()).collect();
    let engines: Vec<Engine<'_>> = servers
        .iter()
        .zip(&records)
        .map(|(server, record)| Engine {
            address: &server.address_text,
            zone: &record.zone,
        })
        .collect();
    let readers = draw_readers(&engines);
    readers.into_iter().map(|at| servers[at].key).collect()
}
