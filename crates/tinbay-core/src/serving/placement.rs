//! Chooses the server for a request that needs an adapter.
//!
//! All boxes rank the servers alike for each adapter (rendezvous hashing), so that they load it at
//! the same servers. The box that holds the claim on the first server decides over how many servers
//! of that ranking the adapter is spread; a request goes to the server with the lowest cost.

/// Whether and in what state a server holds an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Loaded and able to serve.
    Ready,
    /// Being loaded.
    Loading,
    /// Not held.
    Absent,
    /// Held in an older version that must not serve any more.
    Outdated,
}

/// A server at which a request may run; candidates are given in the adapter's rendezvous order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// State of the adapter at the server.
    pub presence: Presence,
    /// How busy the server is, from the requests against its slots, the time to the first byte
    /// against the objective, and the network distance.
    pub load: f64,
    /// Whether it can load an adapter: its holder can send orders, and a slot is free or can be
    /// freed.
    pub takes_loads: bool,
    /// Expected time of a load at the server, behind those already requested, as a fraction of the
    /// objective.
    pub load_wait: f64,
}

/// What to do with a request. Servers are given by their index among the candidates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// Send it to a server, and have another server load the adapter if one is named.
    Send {
        /// Index of the server.
        to: usize,
        /// Index of the server that should load one more copy.
        copy: Option<usize>,
    },
    /// Wait until a server has loaded the adapter.
    Load {
        /// Index of the server.
        at: usize,
    },
    /// No server can serve the request.
    Nowhere,
}

/// Cost of waiting for an adapter that is being loaded, in units of load: about half of a fetch of
/// 250 ms from the weight store, against objectives of 600 to 1,000 ms.
const LOADING_COST: f64 = 0.25;

/// Cost of the adapter slot that a load takes from other adapters, in units of load, besides the
/// time of the load.
const SLOT_COST: f64 = 0.2;

/// Amount by which a server must be less loaded than the previous one in the ranking for the
/// adapter to be loaded there instead.
const RANK_COST: f64 = 0.06;

/// Cost of an outdated version in units of load: the new version is loaded only when requests on
/// the old one are done.
const OUTDATED_COST: f64 = 0.3;

/// Chooses among candidates in the adapter's rendezvous order, when it is spread over `copies`
/// servers.
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
    let rank_cost = RANK_COST * position as f64;
    let cost = match candidate.presence {
        Presence::Ready => candidate.load,
        Presence::Loading => candidate.load + LOADING_COST,
        _ if !candidate.takes_loads => return None,
        Presence::Absent => candidate.load + candidate.load_wait + SLOT_COST + rank_cost,
        Presence::Outdated => {
            candidate.load + candidate.load_wait + SLOT_COST + OUTDATED_COST + rank_cost
        }
    };
    Some((position, cost))
}

/// Returns the next server that should load a copy: one at a time, and only while fewer servers
/// hold the adapter than it is spread over. That its server is busy with other adapters is no
/// reason for a copy: such copies evict adapters in use, and many of them serve no request.
fn copy_for(candidates: &[Candidate], copies: usize) -> Option<usize> {
    let is_loading = |candidate: &Candidate| candidate.presence == Presence::Loading;
    let is_ready = |candidate: &&Candidate| candidate.presence == Presence::Ready;
    let has_enough = candidates.iter().filter(is_ready).count() >= copies;
    if has_enough || candidates.iter().any(is_loading) {
        return None;
    }
    candidates
        .iter()
        .position(|candidate| candidate.presence == Presence::Absent && candidate.takes_loads)
}
