//! Assigns the engines of a service the roles of prefill and decode engines.
//!
//! All boxes assign the same roles from what they all know, the servers and their availability
//! zones, so that no coordination is needed. When a server joins or leaves, at most one other
//! server of its zone changes its role.

use std::collections::BTreeMap;

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
}

/// Assigns a role to each engine, in the order in which they are given.
pub fn assign_roles(engines: &[Engine<'_>]) -> Vec<Role> {
    let mut by_zone: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    for (position, engine) in engines.iter().enumerate() {
        let score = rendezvous::score(RANKING_KEY, engine.address);
        let zone = by_zone.entry(engine.zone).or_default();
        zone.push((score, position));
    }
    let mut roles = vec![Role::Decode; engines.len()];
    for mut zone in by_zone.into_values() {
        zone.sort_unstable();
        for (rank, (_, position)) in zone.iter().enumerate() {
            roles[*position] = role_of(rank, zone.len());
        }
    }
    roles
}

/// The role of the engine of this rank among the `engines` of its zone.
fn role_of(rank: usize, engines: usize) -> Role {
    let prefill_engines = (engines as f64 * PREFILL_FRACTION).round() as usize;
    if engines >= MIN_ENGINES && rank < prefill_engines {
        Role::Prefill
    } else {
        Role::Decode
    }
}
