//! Which engines of a service read for the others.
//!
//! All boxes draw the same ones from what they know alike, the servers and their availability zones, so
//! that nobody decides for others and nothing is told. A server that comes or goes moves the border by
//! one server of its zone.

use std::collections::BTreeMap;

use crate::rendezvous;

/// Part of a zone's engines that read for the others. Too few are worse than none, as all prompts wait
/// for them; with more than half too little room is left for running streams.
const READERS_PART: f64 = 0.5;

/// Least engines of a zone of which some read for the others.
const LEAST_ENGINES: usize = 3;

/// Name by which readers are drawn.
const DRAW: &str = "readers";

/// An engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Engine<'a> {
    /// Where it listens, as text.
    pub address: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
}

/// Positions of the engines that read for the others, in no order.
pub fn draw_readers(engines: &[Engine<'_>]) -> Vec<usize> {
    let mut by_zone: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    for (position, engine) in engines.iter().enumerate() {
        let score = rendezvous::score(DRAW, engine.address);
        let zone = by_zone.entry(engine.zone).or_default();
        zone.push((score, position));
    }
    by_zone.into_values().flat_map(readers_of_zone).collect()
}

fn readers_of_zone(mut engines: Vec<(u64, usize)>) -> Vec<usize> {
    if engines.len() < LEAST_ENGINES {
        return Vec::new();
    }
    engines.sort_unstable();
    let readers = (engines.len() as f64 * READERS_PART).round() as usize;
    engines.truncate(readers);
    engines.into_iter().map(|(_, position)| position).collect()
}
