//! What each engine of a service does for it, where some read for others.
//!
//! All boxes draw the same ones from what they know alike, the servers and their availability zones, so
//! that nobody decides for others and nothing is told. A server that comes or goes moves the border by
//! one server of its zone.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Part of a zone's engines that read for the others. Too few are worse than none, as prompts wait for
/// them; more leave too little room for running streams.
const READERS_PART: f64 = 0.35;

/// Least engines of a zone of which some read for others.
const LEAST_ENGINES: usize = 3;

/// Name by which roles are drawn.
const DRAW: &str = "readers";

/// What an engine does for its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts for adapters that are much asked for; their runs move on.
    Reader,
    /// Goes on with such runs, and serves requests for rare adapters whole: to hold these at two
    /// engines would cost more loads than it saves.
    Home,
}

/// An engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine<'a> {
    /// Where it listens, as text.
    pub address: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
}

/// The role of each engine, in the order in which they are given.
pub fn draw_roles(engines: &[Engine<'_>]) -> Vec<Role> {
    let mut by_zone: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    for (position, engine) in engines.iter().enumerate() {
        let score = rendezvous::score(DRAW, engine.address);
        let zone = by_zone.entry(engine.zone).or_default();
        zone.push((score, position));
    }
    let mut roles = vec![Role::Home; engines.len()];
    for mut zone in by_zone.into_values() {
        zone.sort_unstable();
        for (rank, (_, position)) in zone.iter().enumerate() {
            roles[*position] = role_of(rank, zone.len());
        }
    }
    roles
}

/// The role of the engine of that rank among those of its zone.
fn role_of(rank: usize, engines: usize) -> Role {
    let readers = (engines as f64 * READERS_PART).round() as usize;
    if engines >= LEAST_ENGINES && rank < readers {
        Role::Reader
    } else {
        Role::Home
    }
}
