//! Chooses the boxes to which a partitioned box forwards requests.

use crate::rendezvous;

/// Boxes of the own zone, and as many of all others, among which a box chooses. It keeps
/// connections to these, so the number stays small in a large fleet.
const MAX_PER_GROUP: usize = 4;

/// Boxes to which one request may be offered.
const MAX_TARGETS: usize = 3;

/// A box that may be able to take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Id of the box.
    pub id: &'a str,
    /// Whether it is in the zone of the forwarding box.
    pub is_same_zone: bool,
    /// Capacity for work on behalf of others, in a unit that is only compared between boxes.
    pub capacity: u64,
    /// Whether it recently declined to take a request.
    pub has_declined: bool,
}

/// Chooses the boxes to which `own_id` offers a request, the first one first. `draw` returns random
/// numbers between 0 and 1.
///
/// Boxes of the own zone are preferred, as traffic between zones costs money, unless most of them
/// declined: the few that are left could not bear the requests of the whole zone.
pub fn choose_targets<'a>(
    own_id: &str,
    candidates: &[Candidate<'a>],
    mut draw: impl FnMut() -> f64,
) -> Vec<&'a str> {
    let (same_zone, other_zones): (Vec<Candidate<'a>>, Vec<Candidate<'a>>) = candidates
        .iter()
        .partition(|candidate| candidate.is_same_zone);
    let same_zone = nearest(own_id, &same_zone);
    let other_zones = nearest(own_id, &other_zones);
    let accepting = same_zone.iter().filter(|candidate| !candidate.has_declined);
    let prefers_zone = accepting.count() * 2 > same_zone.len();
    let mut ranked: Vec<(bool, f64, &'a str)> = same_zone
        .iter()
        .chain(&other_zones)
        .filter(|candidate| !candidate.has_declined)
        .map(|candidate| {
            let is_second_choice = prefers_zone && !candidate.is_same_zone;
            // The least of exponentially distributed times falls to each box in proportion to its
            // rate.
            let time = -draw().max(f64::MIN_POSITIVE).ln() / candidate.capacity.max(1) as f64;
            (is_second_choice, time, candidate.id)
        })
        .collect();
    ranked.sort_by(|left, right| left.0.cmp(&right.0).then(left.1.total_cmp(&right.1)));
    ranked.truncate(MAX_TARGETS);
    ranked.into_iter().map(|(_, _, id)| id).collect()
}

/// The candidates that rank first for `own_id`; others rank first for other boxes.
fn nearest<'a>(own_id: &str, candidates: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let ids = candidates.iter().map(|candidate| candidate.id);
    let ranked = rendezvous::rank(own_id, ids, MAX_PER_GROUP);
    let is_ranked = |candidate: &&Candidate<'a>| ranked.contains(&candidate.id);
    candidates.iter().filter(is_ranked).copied().collect()
}
