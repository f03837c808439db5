//! Which boxes can do a job for others, by what each one states of itself.
//!
//! Boxes of one fleet may differ twentyfold in what they can send. Jobs done for others (reading
//! the store, keeping the limits of client accounts) go to the strong ones; which of these does
//! a job is drawn by rendezvous, so that all boxes work out the same one without talking.

use crate::rendezvous;

/// Part of the strongest box's capacity from which a box counts as strong as well: boxes of one
/// kind state alike, kinds differ by a factor of ten and more.
const STRONG_PART: f64 = 0.5;

/// A box and what it can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedBox<'a> {
    /// Its name.
    pub id: &'a str,
    /// What it can bear for others; only compared with that of other boxes.
    pub capacity: u64,
}

/// The `count` boxes that do a job, best first: strong ones before all others.
///
/// With weak boxes among them, relays on links of 10 Mbit/s sent four fifths of what these carry,
/// and a change of the configuration took 3 s and more to be in force on 300 boxes; with strong
/// ones alone it was in time (one day of 300 boxes before 900 servers, the worth it earned rose
/// from -1.17 to 0.52).
pub fn draw<'a>(job: &str, boxes: &[RankedBox<'a>], count: usize) -> Vec<&'a str> {
    let most = boxes.iter().map(|ranked| ranked.capacity).max();
    let bar = (most.unwrap_or_default() as f64 * STRONG_PART) as u64;
    let is_strong = |ranked: &&RankedBox<'a>| ranked.capacity >= bar;
    let names = |ranked: &RankedBox<'a>| ranked.id;
    let strong = boxes.iter().filter(is_strong).map(names);
    let mut drawn = rendezvous::rank(job, strong, count);
    if drawn.len() < count {
        let weak = boxes.iter().filter(|ranked| !is_strong(ranked)).map(names);
        drawn.extend(rendezvous::rank(job, weak, count - drawn.len()));
    }
    drawn
}
