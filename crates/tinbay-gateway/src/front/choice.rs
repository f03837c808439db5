//! Chooses the server for an attempt.

use std::collections::HashMap;
use std::rc::Rc;

use rand::RngExt;
use tinbay_core::rendezvous;
use tinbay_core::serving::contents::{HeldState, adapter_key};
use tinbay_core::serving::placement::{Candidate, Pick, Presence, pick};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use super::inbound::InboundRequest;
use super::prefill_choice;
use crate::node::Node;
use crate::resumption::eligibility::retain_eligible;
use crate::servers::Server;
use crate::servers::view::ViewEntry;
use crate::slots;

/// Load added to servers of another zone, as traffic between zones costs money and has a higher
/// latency.
const OTHER_ZONE_LOAD: f64 = 0.15;

/// Load added to servers that can't be reached now, and to brittle ones that probably have no free
/// slot.
const UNUSABLE_LOAD: f64 = 2.0;

/// Load added to brittle servers whose slots this box leases out, as its own requests get them
/// without a message.
const OWN_HOME_LOAD: f64 = -0.1;

/// Length at which an adapter's rendezvous order is cut.
const MAX_CANDIDATES: usize = 48;

/// Servers of an adapter's order that are checked before the adapter is loaded once more. It may
/// have been loaded on the second or third while the first had no free adapter slot. Asking a
/// holder takes about 1 ms, a load some hundred.
const MIN_CHECKED: usize = 3;

/// Servers that are checked in addition to the adapter's copies when some do not count as such.
/// Without this limit, a request asks the holders of many servers in turn while all of them are
/// crowded, and the answers make up half of the traffic between zones.
const MAX_EXTRA_CHECKED: usize = 4;

/// Load at which a server no longer counts as one of the adapter's copies: other adapters may have
/// crowded it, so the next server of the order is considered as well.
const CROWDED_LOAD: f64 = 0.8;

/// Expected load time, relative to the objective, at which a server without the adapter does not
/// count as one of its copies: another server would load it in time.
const SLOW_LOAD_RATIO: f64 = 1.0;

/// Failure penalty at which a server does not count as one of the adapter's copies.
const EXCLUDING_PENALTY: f64 = 1.5;

/// Number of servers found at their rate limit after which a request considers only servers without
/// one, as asking for a permit takes some milliseconds each time.
const MAX_SERVERS_AT_LIMIT: u32 = 3;

/// Interval after which a load request is repeated, as messages may be lost.
const LOAD_REQUEST_INTERVAL_MS: Millis = 200;

/// Grace period after twice the expected load time, after which a load is overdue.
const OVERDUE_GRACE_MS: Millis = 300;

/// Range of the random load that breaks ties between about equally loaded servers.
const TIE_LOAD: f64 = 0.02;

/// What to do with a request next.
pub enum Choice {
    /// Send it to a server.
    Send {
        /// The server to send to.
        server: Rc<Server>,
        /// Another server that should load the adapter too.
        copy: Option<Rc<Server>>,
    },
    /// Have the server load the adapter, and wait.
    Load(Rc<Server>),
    /// No untried server accepts requests.
    Nowhere,
}

/// What one request has asked of servers' holders, the boxes that manage them.
#[derive(Debug, Default)]
pub struct HolderRequests {
    /// Load requests by server.
    pub loads: HashMap<ServerKey, LoadRequestTimes>,
    /// Times of the status requests by server.
    pub status_requests: HashMap<ServerKey, Millis>,
}

/// Times of the load requests to one holder.
#[derive(Debug, Clone, Copy)]
pub struct LoadRequestTimes {
    /// When the load was first requested.
    pub first_ms: Millis,
    /// When the load was last requested.
    pub last_ms: Millis,
    /// When the load should be complete; `None` until the holder has reported.
    pub expected_ms: Option<Millis>,
}

impl HolderRequests {
    /// Records how long a load takes on a server, if one was requested. The first estimate counts:
    /// later ones are for loads requested then.
    pub fn record_expected_wait(&mut self, server: ServerKey, wait_ms: f64) {
        if let Some(times) = self.loads.get_mut(&server) {
            let expected_ms = times.first_ms + wait_ms as Millis;
            times.expected_ms.get_or_insert(expected_ms);
        }
    }

    /// When a requested load should be complete; `None` until the holder has reported.
    pub fn expected_ms(&self, server: ServerKey) -> Option<Millis> {
        self.loads.get(&server)?.expected_ms
    }

    /// Whether a requested load is still expected. Once it is long overdue, the server may not be
    /// taking orders, and another one may load the adapter instead.
    pub fn is_load_expected(&self, server: ServerKey, now_ms: Millis) -> bool {
        let Some(times) = self.loads.get(&server) else {
            return false;
        };
        let expected_ms = times.expected_ms.unwrap_or(times.first_ms);
        now_ms < expected_ms + (expected_ms - times.first_ms) + OVERDUE_GRACE_MS
    }

    /// Whether to request a load now, for the first time or again; if so, records the request.
    pub fn try_begin_load_request(&mut self, server: ServerKey, now_ms: Millis) -> bool {
        let Some(times) = self.loads.get_mut(&server) else {
            let times = LoadRequestTimes {
                first_ms: now_ms,
                last_ms: now_ms,
                expected_ms: None,
            };
            self.loads.insert(server, times);
            return true;
        };
        let is_due = now_ms >= times.last_ms + LOAD_REQUEST_INTERVAL_MS;
        if is_due {
            times.last_ms = now_ms;
        }
        is_due
    }
}

/// Chooses where a request should run among the servers not in `tried`.
pub fn choose(
    node: &Node,
    inbound: &InboundRequest,
    tried: &[String],
    holder_requests: &HolderRequests,
) -> Choice {
    let mut ready = node.servers.borrow().ready(&inbound.service);
    let skips_limited = inbound.at_limits.get() >= MAX_SERVERS_AT_LIMIT;
    ready.retain(|server| {
        let is_passed_over = skips_limited && server.limit_per_s().is_some();
        let may_be_admitted = !inbound.admission.is_full(server.key);
        !is_passed_over && may_be_admitted && !tried.contains(&server.record().id)
    });
    retain_eligible(node, inbound, &mut ready);
    let objective_ms = inbound.route.objective_ms;
    let now_ms = node.now_ms();
    let split = || {
        let service = &inbound.service;
        node.splits.split(&node.servers, service, &ready, now_ms)
    };
    match inbound.model.as_deref() {
        Some(model) if model.contains('/') => match split() {
            Some(split) => {
                prefill_choice::choose_for_adapter(node, inbound, &split, holder_requests)
            }
            None => {
                let candidates = CandidateSet::collect(node, inbound, &ready, holder_requests);
                candidates.to_choice(candidates.pick())
            }
        },
        Some(model) => match split() {
            Some(split) => {
                let decode_engine = least_loaded(
                    node,
                    &servers_with_model(model, &split.decode_engines),
                    objective_ms,
                );
                let prefill_engine = least_loaded(
                    node,
                    &servers_with_model(model, &split.prefill_engines),
                    objective_ms,
                );
                match prefill_choice::choose_for_model(node, inbound, decode_engine, prefill_engine)
                {
                    Some(server) => send(server),
                    None => choose_for_model(node, model, &ready, objective_ms),
                }
            }
            None => choose_for_model(node, model, &ready, objective_ms),
        },
        None => least_loaded(node, &ready, objective_ms).map_or(Choice::Nowhere, send),
    }
}

fn send(server: Rc<Server>) -> Choice {
    Choice::Send { server, copy: None }
}

fn choose_for_model(
    node: &Node,
    model: &str,
    ready: &[Rc<Server>],
    objective_ms: Millis,
) -> Choice {
    if let Some(server) = least_loaded(node, &servers_with_model(model, ready), objective_ms) {
        return send(server);
    }
    let first = rendezvous_order(model, ready).into_iter().next();
    first.map_or(Choice::Nowhere, Choice::Load)
}

/// The servers that hold a base model.
pub(super) fn servers_with_model(model: &str, servers: &[Rc<Server>]) -> Vec<Rc<Server>> {
    let holds = |server: &&Rc<Server>| server.record().models.iter().any(|held| held == model);
    servers.iter().filter(holds).cloned().collect()
}

pub(super) fn least_loaded(
    node: &Node,
    servers: &[Rc<Server>],
    objective_ms: Millis,
) -> Option<Rc<Server>> {
    servers
        .iter()
        .map(|server| (load(node, server, objective_ms), server))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, server)| Rc::clone(server))
}

/// The first servers in the adapter's rendezvous order, which is the same on all boxes.
fn rendezvous_order(adapter: &str, ready: &[Rc<Server>]) -> Vec<Rc<Server>> {
    let mut scored: Vec<(u64, &Rc<Server>)> = ready
        .iter()
        .map(|server| (rendezvous::score(adapter, &server.address_text), server))
        .collect();
    scored.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.truncate(MAX_CANDIDATES);
    let servers = scored.into_iter().map(|(_, server)| Rc::clone(server));
    servers.collect()
}

/// The servers considered for a request's adapter, the first ones of its rendezvous order, and the
/// data on which the choice among them depends.
pub(super) struct CandidateSet {
    servers: Vec<Rc<Server>>,
    candidates: Vec<Candidate>,
    /// By candidate, whether it serves an older version than the current one.
    is_older: Vec<bool>,
    /// Number of servers that should hold the adapter.
    copies: usize,
    /// Whether the service has servers without a rate limit.
    has_unlimited: bool,
}

impl CandidateSet {
    /// Collects the candidates for a request's adapter from `ready`.
    pub fn collect(
        node: &Node,
        inbound: &InboundRequest,
        ready: &[Rc<Server>],
        holder_requests: &HolderRequests,
    ) -> Self {
        let adapter = inbound.model.as_deref().unwrap_or_default();
        let mut set = Self {
            servers: Vec::new(),
            candidates: Vec::new(),
            is_older: Vec::new(),
            copies: 1,
            has_unlimited: ready.iter().any(|server| server.limit_per_s().is_none()),
        };
        let mut counted_copies = 0;
        let mut unreadable = 0;
        let mut is_first_found = false;
        for server in rendezvous_order(adapter, ready) {
            let must_check_more = set.servers.len() < MIN_CHECKED && !set.has_adapter();
            let is_complete = counted_copies >= set.copies && !must_check_more;
            let checked = set.servers.len() - unreadable;
            if is_complete || checked >= set.copies + MAX_EXTRA_CHECKED {
                break;
            }
            let entry = node.entry(&server, adapter_key(adapter));
            set.add(node, inbound, &server, entry, holder_requests);
            let Some(added) = set.candidates.last() else {
                continue;
            };
            // Without a report there is nothing to ask its holder for.
            if entry.is_none() && !node.has_readable_contents(&server) {
                unreadable += 1;
            }
            let is_eligible =
                node.has_responsive_holder(&server) && (entry.is_some() || added.takes_loads);
            if is_eligible && !is_first_found {
                is_first_found = true;
                set.copies = entry.map_or(1, |entry| entry.copies.max(1));
            }
            let is_outdated = added.presence == Presence::Outdated || set.is_last_older();
            let is_crowded = added.load >= CROWDED_LOAD;
            let is_penalized = node.failure_penalty(&server) >= EXCLUDING_PENALTY;
            let loads_late = entry.is_none() && added.load_wait >= SLOW_LOAD_RATIO;
            if is_eligible && !is_outdated && !is_crowded && !is_penalized && !loads_late {
                counted_copies += 1;
            }
        }
        set.restrict_loads_to_requested(holder_requests, node.now_ms());
        set.prefer_prefix_cache(node, inbound);
        set
    }

    /// Steers requests with a common prompt prefix to the same one of the servers that hold the
    /// adapter, by lowering that server's load by the prefill time that its prefix cache saves.
    fn prefer_prefix_cache(&mut self, node: &Node, inbound: &InboundRequest) {
        let Some(shared) = inbound.prompt.shared_prefix() else {
            return;
        };
        let servers = self.servers.iter().zip(&self.candidates).enumerate();
        let cached_at = servers
            .filter(|(_, (_, candidate))| candidate.presence == Presence::Ready)
            .max_by_key(|(_, (server, _))| rendezvous::score_of(shared.key, &server.address_text))
            .map(|(position, _)| position);
        if let Some(cached_at) = cached_at {
            let saved_ms = node.prefill_ms(&inbound.service, shared.tokens);
            let objective_ms = inbound.route.objective_ms.max(1) as f64;
            self.candidates[cached_at].load -= saved_ms / objective_ms;
        }
    }

    /// While a load that the request asked for is expected, lets no other server load the adapter
    /// for the same request.
    fn restrict_loads_to_requested(&mut self, holder_requests: &HolderRequests, now_ms: Millis) {
        let is_requested =
            |server: &Rc<Server>| holder_requests.is_load_expected(server.key, now_ms);
        let is_loading = self
            .servers
            .iter()
            .zip(&self.candidates)
            .any(|(server, candidate)| {
                is_requested(server)
                    && candidate.presence == Presence::Loading
                    && candidate.takes_loads
            });
        if !is_loading {
            return;
        }
        for (server, candidate) in self.servers.iter().zip(&mut self.candidates) {
            candidate.takes_loads &= is_requested(server);
        }
    }

    fn add(
        &mut self,
        node: &Node,
        inbound: &InboundRequest,
        server: &Rc<Server>,
        entry: Option<ViewEntry>,
        holder_requests: &HolderRequests,
    ) {
        let adapter = inbound.model.as_deref().unwrap_or_default();
        let version = node.named_version(adapter).unwrap_or(0);
        let mut presence = presence(entry, version);
        let held_version = entry.map_or(0, |entry| entry.version);
        let is_older =
            presence == Presence::Outdated && node.may_serve_older(adapter, held_version);
        if is_older {
            presence = Presence::Ready;
        }
        if presence == Presence::Absent {
            presence = self.presumed_presence(node, server, holder_requests);
        }
        self.candidates.push(Candidate {
            presence,
            load: load(node, server, inbound.route.objective_ms),
            takes_loads: node.takes_loads(server) && !self.excludes_loads(server),
            load_wait: node.load_wait_ms(server) / inbound.route.objective_ms.max(1) as f64,
        });
        self.is_older.push(is_older);
        self.servers.push(Rc::clone(server));
    }

    /// Whether a server should load no more adapters. An overloaded server, one that announces a
    /// rate limit, serves what it holds within that limit; another adapter would bring it more
    /// requests.
    fn excludes_loads(&self, server: &Server) -> bool {
        self.has_unlimited && server.limit_per_s().is_some()
    }

    /// The presumed state of the adapter on a server not known to hold it. A server that was asked
    /// to load it will do so. A server other than the first of the order whose status is unknown is
    /// presumed to hold it, as its holder is asked before anything is sent.
    fn presumed_presence(
        &self,
        node: &Node,
        server: &Server,
        holder_requests: &HolderRequests,
    ) -> Presence {
        if holder_requests.is_load_expected(server.key, node.now_ms()) {
            return Presence::Loading;
        }
        let is_first = self.servers.is_empty();
        let is_refreshed = holder_requests.status_requests.contains_key(&server.key);
        if !is_first && !is_refreshed && node.should_request_status(server) {
            return Presence::Ready;
        }
        Presence::Absent
    }

    /// Whether a candidate holds the adapter or is loading it.
    fn has_adapter(&self) -> bool {
        let has_it = |candidate: &Candidate| {
            matches!(candidate.presence, Presence::Ready | Presence::Loading)
        };
        self.candidates.iter().any(has_it)
    }

    fn is_last_older(&self) -> bool {
        self.is_older.last().copied().unwrap_or_default()
    }

    /// The candidate that should load the current version while an older one is served; `None` if
    /// the current version is held or being loaded already.
    fn candidate_for_newer(&self) -> Option<usize> {
        let is_newer_held =
            self.candidates
                .iter()
                .zip(&self.is_older)
                .any(|(candidate, is_older)| match candidate.presence {
                    Presence::Ready => !is_older,
                    Presence::Loading => true,
                    Presence::Absent | Presence::Outdated => false,
                });
        if is_newer_held {
            return None;
        }
        let may_load =
            |candidate: &Candidate| candidate.presence == Presence::Absent && candidate.takes_loads;
        self.candidates.iter().position(may_load)
    }

    /// The server of a candidate, by its position.
    pub fn server(&self, position: usize) -> Rc<Server> {
        Rc::clone(&self.servers[position])
    }

    /// Picks the best candidate.
    pub fn pick(&self) -> Pick {
        pick(&self.candidates, self.copies)
    }

    /// Translates a pick of a candidate into a choice of a server.
    pub fn to_choice(&self, pick: Pick) -> Choice {
        match pick {
            Pick::Send { to, copy } => {
                let newer = || self.candidate_for_newer();
                let copy = if self.is_older[to] { newer() } else { copy };
                Choice::Send {
                    server: self.server(to),
                    copy: copy.map(|position| self.server(position)),
                }
            }
            Pick::Load { at } => Choice::Load(self.server(at)),
            // Adapter slots soon become free, so the first server's holder is asked again.
            Pick::Nowhere => match self.servers.first() {
                Some(first) => Choice::Load(Rc::clone(first)),
                None => Choice::Nowhere,
            },
        }
    }
}

fn presence(entry: Option<ViewEntry>, version: u64) -> Presence {
    match entry {
        None => Presence::Absent,
        Some(entry) if entry.state == HeldState::Loading => Presence::Loading,
        Some(entry) if entry.version >= version => Presence::Ready,
        Some(_) => Presence::Outdated,
    }
}

/// The load of a server with penalties for failures, another zone and for being unusable now, and a
/// random tie-breaker.
fn load(node: &Node, server: &Server, objective_ms: Millis) -> f64 {
    let zone_load = if server.record().zone == node.settings.borrow().zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    let is_usable = server.may_have_slot(node.now_ms()) && !server.pool.link().is_down();
    let unusable_load = if is_usable { 0.0 } else { UNUSABLE_LOAD };
    let home_load = if slots::leases_out(node, server) {
        OWN_HOME_LOAD
    } else {
        0.0
    };
    let tie: f64 = rand::rng().random_range(0.0..TIE_LOAD);
    let penalties = node.failure_penalty(server) + zone_load + unusable_load;
    node.load(server, objective_ms) + penalties + home_load + tie
}
