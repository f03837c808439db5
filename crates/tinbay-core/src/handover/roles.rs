//! Assigns the engines of a service the roles of prefill and decode engines.
//!
//! All boxes assign the same roles from what they all know, the servers, their availability zones
//! and software versions, so that no coordination is needed. When a server joins or leaves, at most
//! one other server of its zone and version changes its role, unless the zone begins or ceases to
//! have separate roles.
//!
//! One version cannot continue what another one began, so that the engines of each version prefill
//! for themselves.

use std::collections::{BTreeMap, BTreeSet};

use crate::rendezvous;

/// Fraction of a zone's engines that prefill for the others. With too few of them all prompts wait,
/// which is worse than no handover; with more of them too little capacity is left for decoding.
const PREFILL_FRACTION: f64 = 0.45;

/// Least number of engines in a zone with separate roles.
const MIN_ENGINES: usize = 3;

/// Largest fraction of all adapter slots that the adapters of a service may take where roles are
/// separate: each adapter has to be held at two engines. Where slots are short, loading twice costs
/// more than streams gain.
const MAX_SLOTS_FRACTION: f64 = 0.5;

/// Whether there are enough adapter slots to hold each adapter at two engines.
pub fn has_slots_for_two_copies(adapters: usize, engines: usize, places_an_engine: usize) -> bool {
    let places = engines.saturating_mul(places_an_engine);
    adapters as f64 <= MAX_SLOTS_FRACTION * places as f64
}

/// Key of the rendezvous hash that ranks the engines; another value would change all roles.
const RANKING_KEY: &str = "readers";

/// Role of an engine in its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Prefills prompts, whose runs are then handed over to a decode engine.
    Prefill,
    /// Decodes runs that a prefill engine began.
    Decode,
}

/// An engine to which a role is assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine<'a> {
    /// Address at which it listens, as text.
    pub address: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Version of its software.
    pub software_version: &'a str,
}

/// The role and software version of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionedRole<'a> {
    /// Its role.
    pub role: Role,
    /// Version of its software.
    pub software_version: &'a str,
}

/// Assigns a role to each engine, in the order in which they are given.
pub fn assign_roles(engines: &[Engine<'_>]) -> Vec<Role> {
    let mut zone_sizes: BTreeMap<&str, usize> = BTreeMap::new();
    let mut groups: BTreeMap<(&str, &str), Vec<(u64, usize)>> = BTreeMap::new();
    for (position, engine) in engines.iter().enumerate() {
        let score = rendezvous::score(RANKING_KEY, engine.address);
        let group = (engine.zone, engine.software_version);
        groups.entry(group).or_default().push((score, position));
        *zone_sizes.entry(engine.zone).or_default() += 1;
    }
    let mut roles = vec![Role::Decode; engines.len()];
    for ((zone, _), mut group) in groups {
        if zone_sizes[zone] < MIN_ENGINES {
            continue;
        }
        group.sort_unstable();
        for (_, position) in &group[..prefill_engines(group.len())] {
            roles[*position] = Role::Prefill;
        }
    }
    roles
}

/// Number of prefill engines among the `engines` of one version in a zone; some are left to decode.
fn prefill_engines(engines: usize) -> usize {
    (engines as f64 * PREFILL_FRACTION).round() as usize
}

/// The software versions with engines of both roles. The engines of any other version serve
/// requests from start to end.
pub fn split_versions<'a>(engines: &[VersionedRole<'a>]) -> BTreeSet<&'a str> {
    let versions_with = |role: Role| {
        let engines = engines.iter().filter(move |engine| engine.role == role);
        engines.map(|engine| engine.software_version)
    };
    let decoding: BTreeSet<&str> = versions_with(Role::Decode).collect();
    versions_with(Role::Prefill)
        .filter(|version| decoding.contains(version))
        .collect()
}
