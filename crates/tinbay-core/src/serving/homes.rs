//! Where a request for an adapter should run.
//!
//! All boxes rank the servers alike for each adapter (rendezvous hashing), so that it is looked
//! for and loaded in the same places. The first server's holder says over how many servers of
//! that order the adapter is spread; among these a request takes the least busy.

/// How a server holds an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It can serve.
    Ready,
    /// It is on its way.
    Coming,
    /// It is not there.
    Absent,
    /// An older version is there that must not serve any more.
    Outdated,
}

/// A server where a request may run; candidates come in the adapter's own order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// How it holds the adapter.
    pub presence: Presence,
    /// How busy it is: requests against its places, time to the first byte against the
    /// objective, distance.
    pub load: f64,
    /// Whether it can load an adapter: its holder can order, and a place can be freed.
    pub takes_loads: bool,
    /// Expected time of a load there, behind those that are asked for already, as a part of the
    /// objective.
    pub load_wait: f64,
}

/// What to do with a request; positions are those of the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// Send it to the server, and have one more load the adapter if one is named.
    Send {
        /// The server.
        to: usize,
        /// The server for one more copy.
        copy: Option<usize>,
    },
    /// Wait until the server has loaded the adapter.
    Load {
        /// The server.
        at: usize,
    },
    /// No server can serve it.
    Nowhere,
}

/// Load that a wait for an adapter on its way is worth: about half of a fetch from the weight
/// store, of 250 ms, against objectives of 600 to 1,000 ms.
const COMING_COST: f64 = 0.25;

/// Load that a place is worth: what a load takes from other adapters, besides its time.
const PLACE_COST: f64 = 0.2;

/// Load by which a server must be less busy than the one before it in the order to load the
/// adapter instead of it.
const STEP_COST: f64 = 0.06;

/// Load of an outdated version's server: the new version loads only when its runs are done.
const OUTDATED_COST: f64 = 0.3;

/// Chooses among candidates in the adapter's own order; it is spread over `copies` servers.
pub fn pick(candidates: &[Candidate], copies: usize) -> Pick {
    let costs = candidates.iter().enumerate().filter_map(cost);
    let Some((position, _)) = costs.min_by(|left, right| left.1.total_cmp(&right.1)) else {
        return Pick::Nowhere;
    };
    if candidates[position].presence != Presence::Ready {
        return Pick::Load { at: position };
    }
    Pick::Send {
        to: position,
        copy: copy_for(candidates, copies),
    }
}

fn cost((position, candidate): (usize, &Candidate)) -> Option<(usize, f64)> {
    let steps = STEP_COST * position as f64;
    let cost = match candidate.presence {
        Presence::Ready => candidate.load,
        Presence::Coming => candidate.load + COMING_COST,
        _ if !candidate.takes_loads => return None,
        Presence::Absent => candidate.load + candidate.load_wait + PLACE_COST + steps,
        Presence::Outdated => {
            candidate.load + candidate.load_wait + PLACE_COST + OUTDATED_COST + steps
        }
    };
    Some((position, cost))
}

/// The next server that should hold the adapter as well; one at a time, and only while fewer hold
/// it than it is spread over. That its server is busy with other adapters is no reason: copies
/// made for that took the places of adapters in use, and half of all loads on a day of trouble
/// with 195 boxes (5,600 of 11,200, counted in the logs of orders) then served no request.
fn copy_for(candidates: &[Candidate], copies: usize) -> Option<usize> {
    let is_coming = |candidate: &Candidate| candidate.presence == Presence::Coming;
    let is_ready = |candidate: &&Candidate| candidate.presence == Presence::Ready;
    let is_enough = candidates.iter().filter(is_ready).count() >= copies;
    if is_enough || candidates.iter().any(is_coming) {
        return None;
    }
    candidates
        .iter()
        .position(|candidate| candidate.presence == Presence::Absent && candidate.takes_loads)
}
