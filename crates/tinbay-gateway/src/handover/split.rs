//! Splits the engines of a service into those that prefill prompts for others and the rest.
//!
//! Each software version is split for itself, as a run is continued by servers of the version that
//! began it.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use tinbay_core::handover::need::PrefillNeed;
use tinbay_core::handover::roles::{Engine, Role, VersionedRole, assign_roles, split_versions};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use crate::servers::{Server, ServerTable};

/// How long roles and engine counts are cached, as computing them takes time proportional to the
/// number of servers.
const CACHE_LIFE_MS: Millis = 250;

/// Engines of a service by role.
#[derive(Debug, Default)]
pub struct Split {
    /// Engines for prompts that would stall streams: those that hand the runs over, and those of
    /// versions that are not split.
    pub prefill_engines: Vec<Rc<Server>>,
    /// Engines that take over such runs, and that serve requests for rare adapters from start to
    /// end. Those of versions that are not split are among them too.
    pub decode_engines: Vec<Rc<Server>>,
    /// Software versions that have engines of both roles.
    versions: BTreeSet<String>,
}

impl Split {
    /// The engines that may take over a run from a prefill engine of a software version.
    pub fn successors(&self, software_version: &str) -> Vec<Rc<Server>> {
        if !self.versions.contains(software_version) {
            return Vec::new();
        }
        let is_of_version =
            |server: &&Rc<Server>| server.record().software_version.as_str() == software_version;
        let engines = self.decode_engines.iter().filter(is_of_version);
        engines.cloned().collect()
    }
}

#[derive(Debug)]
struct CachedRoles {
    roles: Rc<HashMap<ServerKey, Role>>,
    until_ms: Millis,
}

/// By service, whether this box splits the engines, and their roles.
#[derive(Debug, Default)]
pub struct Splits {
    needs: RefCell<HashMap<String, PrefillNeed>>,
    roles: RefCell<HashMap<String, CachedRoles>>,
    engine_counts: RefCell<HashMap<String, CachedCount>>,
}

#[derive(Debug, Clone, Copy)]
struct CachedCount {
    engines: usize,
    until_ms: Millis,
}

impl Splits {
    /// Records a stream that ended on the server where it began; returns whether it caused the
    /// engines to be split.
    pub fn record_stream(&self, service: &str, has_long_pause: bool, now_ms: Millis) -> bool {
        let mut needs = self.needs.borrow_mut();
        let need = needs.entry(service.to_string()).or_default();
        let was_needed = need.is_needed(now_ms);
        need.record_stream(has_long_pause, now_ms);
        need.is_needed(now_ms) && !was_needed
    }

    /// Number of engines of a service that are not leaving; may be `CACHE_LIFE_MS` old.
    pub fn engine_count(
        &self,
        servers: &RefCell<ServerTable>,
        service: &str,
        now_ms: Millis,
    ) -> usize {
        let mut counts = self.engine_counts.borrow_mut();
        if let Some(counted) = counts
            .get(service)
            .filter(|counted| now_ms < counted.until_ms)
        {
            return counted.engines;
        }
        let engines = servers.borrow().in_service(service).len();
        let until_ms = now_ms + CACHE_LIFE_MS;
        counts.insert(service.to_string(), CachedCount { engines, until_ms });
        engines
    }

    /// Whether the engines of a service are split.
    pub fn is_needed(&self, service: &str, now_ms: Millis) -> bool {
        let needs = self.needs.borrow();
        needs
            .get(service)
            .is_some_and(|need| need.is_needed(now_ms))
    }

    /// Splits the servers in `among` by role; `None` if the service is not split or no software
    /// version has servers of both roles there.
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
        let records: Vec<_> = among.iter().map(|server| server.record()).collect();
        let engines: Vec<VersionedRole<'_>> = among
            .iter()
            .zip(&records)
            .map(|(server, record)| VersionedRole {
                role: roles.get(&server.key).copied().unwrap_or(Role::Decode),
                software_version: record.software_version.as_str(),
            })
            .collect();
        let versions = split_versions(&engines);
        if versions.is_empty() {
            return None;
        }
        let mut split = Split::default();
        for (server, engine) in among.iter().zip(&engines) {
            let is_split = versions.contains(engine.software_version);
            if !is_split || engine.role == Role::Prefill {
                split.prefill_engines.push(Rc::clone(server));
            }
            if !is_split || engine.role == Role::Decode {
                split.decode_engines.push(Rc::clone(server));
            }
        }
        split.versions = versions.into_iter().map(str::to_string).collect();
        Some(split)
    }

    /// Whether a server prefills prompts for others now.
    pub fn is_prefill_engine(
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
        let mut cache = self.roles.borrow_mut();
        if let Some(cached) = cache.get(service).filter(|cached| now_ms < cached.until_ms) {
            return Rc::clone(&cached.roles);
        }
        let roles = Rc::new(assign_server_roles(&servers.borrow().in_service(service)));
        let cached = CachedRoles {
            roles: Rc::clone(&roles),
            until_ms: now_ms + CACHE_LIFE_MS,
        };
        cache.insert(service.to_string(), cached);
        roles
    }
}

fn assign_server_roles(servers: &[Rc<Server>]) -> HashMap<ServerKey, Role> {
    let records: Vec<_> = servers.iter().map(|server| server.record()).collect();
    let engines: Vec<Engine<'_>> = servers
        .iter()
        .zip(&records)
        .map(|(server, record)| Engine {
            address: &server.address_text,
            zone: &record.zone,
            software_version: record.software_version.as_str(),
        })
        .collect();
    let keys = servers.iter().map(|server| server.key);
    keys.zip(assign_roles(&engines)).collect()
}
