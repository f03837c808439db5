//! Selects the boxes that do a job for others, by the capacity that each one reports.
//!
//! Boxes of one fleet may differ twentyfold in what they can send. Jobs done for others (reading
//! the store, keeping the limits of client accounts) go to the strong ones; which of these does a
//! job is selected by rendezvous hashing, so that all boxes arrive at the same one without
//! communication.

use crate::rendezvous;

/// Fraction of the largest capacity from which a box counts as strong: boxes of one machine type
/// report similar capacities, and types differ by a factor of ten and more.
const STRONG_FRACTION: f64 = 0.5;

/// A box and its reported capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RankedBox<'a> {
    /// Id of the box.
    pub id: &'a str,
    /// Capacity for work on behalf of others, in a unit that is only compared between boxes.
    pub capacity: u64,
}

/// Selects the `count` boxes that do a job, best first; strong boxes come before all others.
///
/// A weak box that relays the store would use most of a slow link for it, and configuration changes
/// would reach the other boxes late.
pub fn select_boxes<'a>(job: &str, boxes: &[RankedBox<'a>], count: usize) -> Vec<&'a str> {
    let largest = boxes.iter().map(|candidate| candidate.capacity).max();
    let least_strong = (largest.unwrap_or_default() as f64 * STRONG_FRACTION) as u64;
    let is_strong = |candidate: &&RankedBox<'a>| candidate.capacity >= least_strong;
    let id_of = |candidate: &RankedBox<'a>| candidate.id;
    let strong = boxes.iter().filter(is_strong).map(id_of);
    let mut selected = rendezvous::rank(job, strong, count);
    if selected.len() < count {
        let weak = boxes
            .iter()
            .filter(|candidate| !is_strong(candidate))
            .map(id_of);
        selected.extend(rendezvous::rank(job, weak, count - selected.len()));
    }
    selected
}
