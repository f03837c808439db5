//! What each engine of a service does for it, where some read for others.
//!
//! All boxes draw the same ones from what they know alike, the servers and their availability zones, so
//! that nobody decides for others and nothing is told. A server that comes or goes moves the border by
//! one server of its zone.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Part of a zone's engines that read for others, and part where the runs that they begin go on. The
/// rest serve rare adapters from the first token to the last: to hold these at two engines would cost
/// more loads than it saves.
const READERS_PART: f64 = 0.3;
const HOMES_PART: f64 = 0.3;

/// Least engines of a zone of which some read for others.
const LEAST_ENGINES: usize = 3;

/// Name by which roles are drawn.
const DRAW: &str = "readers";

/// What an engine does for its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads prompts, whose runs move on.
    Reader,
    /// Goes on with runs that readers began.
    Home,
    /// Serves requests from the first token to the last.
    Whole,
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
    let mut roles = vec![Role::Whole; engines.len()];
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
    if engines < LEAST_ENGINES {
        return Role::Whole;
    }
    let count = |part: f64| ((engines as f64 * part).round() as usize).max(1);
    let readers = count(READERS_PART);
    if rank < readers {
        Role::Reader
    } else if rank < readers + count(HOMES_PART) {
        Role::Home
    } else {
        Role::Whole
    }
}
