//! Selection of the boxes that keep the record of a stream.

use super::AttemptDigest;
use crate::rendezvous;

/// Boxes that keep a record. Two in different availability zones, so that the record outlasts a
/// failed box or zone.
pub const HOMES: usize = 2;

/// Boxes that are asked for a record. Some more than keep it, as boxes differ for a while in which
/// of the others they take to be up.
pub const ASKED_HOMES: usize = 4;

/// A box that may keep records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeBox<'a> {
    /// Id of the box.
    pub id: &'a str,
    /// Availability zone of the box.
    pub zone: &'a str,
}

/// Selects up to `count` homes of an attempt's record by rendezvous hashing. The first two are in
/// different zones where there are several. If one of them fails, the other one stays a home.
pub fn select_homes<'a>(
    attempt: AttemptDigest,
    boxes: &[HomeBox<'a>],
    count: usize,
) -> Vec<&'a str> {
    let mut scored: Vec<(u64, HomeBox<'a>)> = boxes
        .iter()
        .map(|candidate| (rendezvous::score_of(attempt, candidate.id), *candidate))
        .collect();
    let rank = |(score, candidate): &(u64, HomeBox<'a>)| (*score, candidate.id);
    let Some(first) = scored.iter().copied().max_by_key(rank) else {
        return Vec::new();
    };
    let other_zone = scored.iter().copied();
    let second = other_zone
        .filter(|(_, candidate)| candidate.zone != first.1.zone)
        .max_by_key(rank);
    let preferred = [Some(first), second].into_iter().flatten();
    let mut homes: Vec<&'a str> = preferred.map(|(_, candidate)| candidate.id).collect();
    scored.retain(|(_, candidate)| !homes.contains(&candidate.id));
    let left = count.saturating_sub(homes.len()).min(scored.len());
    if left > 0 {
        scored.select_nth_unstable_by(left - 1, |a, b| rank(b).cmp(&rank(a)));
        scored.truncate(left);
        scored.sort_unstable_by(|a, b| rank(b).cmp(&rank(a)));
        homes.extend(scored.into_iter().map(|(_, candidate)| candidate.id));
    }
    homes.truncate(count);
    homes
}
