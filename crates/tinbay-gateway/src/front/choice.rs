//! Chooses the server for a try.

use std::collections::HashMap;
use std::rc::Rc;

use rand::RngExt;
use tinbay_core::rendezvous;
use tinbay_core::serving::contents::{HeldState, adapter_key};
use tinbay_core::serving::placement::{Candidate, Pick, Presence, pick};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use super::apart;
use super::question::Question;
use crate::node::Node;
use crate::servers::Server;
use crate::servers::view::ViewEntry;

/// Load that a server of another zone must have less to be chosen: bytes between zones
/// cost, and the way is longer.
const OTHER_ZONE_LOAD: f64 = 0.15;

/// Servers of an adapter's order that are looked at.
const MOST_CANDIDATES: usize = 48;

/// Servers of an adapter's order that are looked at before it is loaded once more: it may have
/// gone to the second or third while the places of the first were all in use. To ask one costs a
/// millisecond, a load some hundred.
const MOST_LOOKED_AT: usize = 3;

/// Servers that are looked at beyond those over which an adapter is spread, where some do not
/// count. While all servers are crowded a request asked 14 holders one after the other, and their
/// answers were half of all bytes between zones, counted by kind on a day of high load.
const MOST_PASSED_OVER: usize = 4;

/// Load above which a server does not count among those over which an adapter is spread: other
/// adapters may have crowded it, and the next server of the order is looked at as well.
const CROWDED_LOAD: f64 = 0.8;

/// Expected time of a load, as a part of the objective, at which a server does not count among
/// those over which an adapter is spread: another one would load it in time.
const CLOGGED_WAIT: f64 = 1.0;

/// Mistrust at which a server does not count among those over which an adapter is spread.
const MISTRUSTED: f64 = 1.5;

/// Servers without room in their limits after which a request looks at none that has a limit: to ask for
/// room takes some milliseconds each time.
const MOST_AT_LIMITS: u32 = 3;

/// Pause after which a holder is asked for a load again, as messages may be lost.
const ASK_AGAIN_MS: Millis = 200;

/// Time beyond twice the expected one after which a load is overdue.
const OVERDUE_MS: Millis = 300;

/// Loads that are alike within this are chosen among at random.
const TIE_LOAD: f64 = 0.02;

/// What is to be done with a request next.
pub enum Choice {
    /// Send it there.
    Send {
        /// The server.
        server: Rc<Server>,
        /// A server that should load the adapter as well.
        copy: Option<Rc<Server>>,
    },
    /// Wait until the server holds what it needs.
    Load(Rc<Server>),
    /// No server is left.
    Nowhere,
}

/// What the holders of servers were asked on behalf of one request, and when.
#[derive(Debug, Default)]
pub struct Asked {
    /// To load what it needs.
    pub loads: HashMap<ServerKey, LoadAsked>,
    /// How their servers stand.
    pub status_requests: HashMap<ServerKey, Millis>,
}

/// When one holder was asked to load what a request needs.
#[derive(Debug, Clone, Copy)]
pub struct LoadAsked {
    /// First.
    pub first_ms: Millis,
    /// Last.
    pub last_ms: Millis,
    /// When the load is expected to be done, once the holder has told.
    pub expected_ms: Option<Millis>,
}

impl Asked {
    /// Notes how long a load takes at a server, where its holder was asked for one before.
    pub fn note_wait(&mut self, server: ServerKey, wait_ms: f64) {
        if let Some(asked) = self.loads.get_mut(&server) {
            let expected_ms = asked.first_ms + wait_ms as Millis;
            asked.expected_ms.get_or_insert(expected_ms);
        }
    }

    /// When a load that was asked for is expected to be done, once the holder has told.
    pub fn expected_ms(&self, server: ServerKey) -> Option<Millis> {
        self.loads.get(&server)?.expected_ms
    }

    /// Whether a load that was asked for is on its way; one that is long overdue is not: the
    /// server may not take orders, and another one may as well load the adapter.
    pub fn is_coming(&self, server: ServerKey, now_ms: Millis) -> bool {
        let Some(asked) = self.loads.get(&server) else {
            return false;
        };
        let expected_ms = asked.expected_ms.unwrap_or(asked.first_ms);
        now_ms < expected_ms + (expected_ms - asked.first_ms) + OVERDUE_MS
    }

    /// Whether a holder is to be asked for a load now, the first time or again; notes that it is.
    pub fn takes_load_request(&mut self, server: ServerKey, now_ms: Millis) -> bool {
        let Some(asked) = self.loads.get_mut(&server) else {
            let asked = LoadAsked {
                first_ms: now_ms,
                last_ms: now_ms,
                expected_ms: None,
            };
            self.loads.insert(server, asked);
            return true;
        };
        let is_over = now_ms >= asked.last_ms + ASK_AGAIN_MS;
        if is_over {
            asked.last_ms = now_ms;
        }
        is_over
    }
}

/// Where a request should run, among servers not tried yet.
pub fn choose(node: &Node, question: &Question, tried: &[String], asked: &Asked) -> Choice {
    let mut ready = node.servers.borrow().ready(&question.service);
    let is_asked_enough = question.at_limits.get() >= MOST_AT_LIMITS;
    ready.retain(|server| {
        let is_passed_over = is_asked_enough && server.limit_per_s().is_some();
        let has_room = !question.room.is_full(server.key);
        !is_passed_over && has_room && !tried.contains(&server.record().id)
    });
    let objective_ms = question.route.objective_ms;
    let now_ms = node.now_ms();
    let split = || {
        let service = &question.service;
        node.splits.split(&node.servers, service, &ready, now_ms)
    };
    match question.model.as_deref() {
        Some(model) if model.contains('/') => match split() {
            Some(split) => apart::choose_for_adapter(node, question, &split, asked),
            None => {
                let survey = Survey::make(node, question, &ready, asked);
                survey.to_choice(survey.pick())
            }
        },
        Some(model) => match split() {
            Some(split) => {
                let home = least_loaded(node, &holding(model, &split.homes), objective_ms);
                let reader = least_loaded(node, &holding(model, &split.readers), objective_ms);
                match apart::choose_for_model(node, question, home, reader) {
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
    if let Some(server) = least_loaded(node, &holding(model, ready), objective_ms) {
        return send(server);
    }
    let home = in_order(model, ready).into_iter().next();
    home.map_or(Choice::Nowhere, Choice::Load)
}

/// Servers that hold a base model.
pub(super) fn holding(model: &str, servers: &[Rc<Server>]) -> Vec<Rc<Server>> {
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

/// The first servers in the adapter's own order, which all boxes work out alike.
fn in_order(adapter: &str, ready: &[Rc<Server>]) -> Vec<Rc<Server>> {
    let mut scored: Vec<(u64, &Rc<Server>)> = ready
        .iter()
        .map(|server| (rendezvous::score(adapter, &server.address_text), server))
        .collect();
    scored.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
    scored.truncate(MOST_CANDIDATES);
    let servers = scored.into_iter().map(|(_, server)| Rc::clone(server));
    servers.collect()
}

/// What one request needs to know of the servers that should hold its adapter.
pub(super) struct Survey {
    servers: Vec<Rc<Server>>,
    candidates: Vec<Candidate>,
    is_older: Vec<bool>,
    /// Servers over which the adapter is spread.
    copies: usize,
    /// Whether the service has servers that name no limit.
    has_unlimited: bool,
}

impl Survey {
    /// Looks at the servers that should hold a request's adapter, among those given.
    pub fn make(node: &Node, question: &Question, ready: &[Rc<Server>], asked: &Asked) -> Self {
        let adapter = question.model.as_deref().unwrap_or_default();
        let mut survey = Self {
            servers: Vec::new(),
            candidates: Vec::new(),
            is_older: Vec::new(),
            copies: 1,
            has_unlimited: ready.iter().any(|server| server.limit_per_s().is_none()),
        };
        let mut counted = 0;
        let mut is_home_found = false;
        for server in in_order(adapter, ready) {
            let is_looked_for = survey.servers.len() < MOST_LOOKED_AT && !survey.is_found();
            let is_done = counted >= survey.copies && !is_looked_for;
            if is_done || survey.servers.len() >= survey.copies + MOST_PASSED_OVER {
                break;
            }
            let entry = node.entry(&server, adapter_key(adapter));
            survey.add(node, question, &server, entry, asked);
            let Some(added) = survey.candidates.last() else {
                continue;
            };
            let is_home = node.is_answered_for(&server) && (entry.is_some() || added.takes_loads);
            if is_home && !is_home_found {
                is_home_found = true;
                survey.copies = entry.map_or(1, |entry| entry.copies.max(1));
            }
            let is_outdated = added.presence == Presence::Outdated || survey.is_last_older();
            let is_crowded = added.load >= CROWDED_LOAD;
            let is_mistrusted = node.mistrust(&server) >= MISTRUSTED;
            let is_clogged = entry.is_none() && added.load_wait >= CLOGGED_WAIT;
            if is_home && !is_outdated && !is_crowded && !is_mistrusted && !is_clogged {
                counted += 1;
            }
        }
        survey.keep_to_asked(asked, node.now_ms());
        survey.prefer_reader(node, question);
        survey
    }

    /// Among several servers that hold the adapter, requests that share the parts before their
    /// own go to the same one, which reads these once: it counts as less busy by that time.
    fn prefer_reader(&mut self, node: &Node, question: &Question) {
        let Some(shared) = question.prompt.shared_prefix() else {
            return;
        };
        let servers = self.servers.iter().zip(&self.candidates).enumerate();
        let reader = servers
            .filter(|(_, (_, candidate))| candidate.presence == Presence::Ready)
            .max_by_key(|(_, (server, _))| rendezvous::score_of(shared.key, &server.address_text))
            .map(|(position, _)| position);
        if let Some(reader) = reader {
            let saved_ms = node.reading_ms(&question.service, shared.tokens);
            let objective_ms = question.route.objective_ms.max(1) as f64;
            self.candidates[reader].load -= saved_ms / objective_ms;
        }
    }

    /// A request that had one server asked to load its adapter has no other one load it too.
    fn keep_to_asked(&mut self, asked: &Asked, now_ms: Millis) {
        let is_asked = |server: &Rc<Server>| asked.is_coming(server.key, now_ms);
        let is_coming = self
            .servers
            .iter()
            .zip(&self.candidates)
            .any(|(server, candidate)| {
                is_asked(server) && candidate.presence == Presence::Loading && candidate.takes_loads
            });
        if !is_coming {
            return;
        }
        for (server, candidate) in self.servers.iter().zip(&mut self.candidates) {
            candidate.takes_loads &= is_asked(server);
        }
    }

    fn add(
        &mut self,
        node: &Node,
        question: &Question,
        server: &Rc<Server>,
        entry: Option<ViewEntry>,
        asked: &Asked,
    ) {
        let adapter = question.model.as_deref().unwrap_or_default();
        let version = node.named_version(adapter).unwrap_or(0);
        let mut presence = presence(entry, version);
        let held_version = entry.map_or(0, |entry| entry.version);
        let is_older =
            presence == Presence::Outdated && node.may_serve_older(adapter, held_version);
        if is_older {
            presence = Presence::Ready;
        }
        if presence == Presence::Absent {
            presence = self.presumed(node, server, asked);
        }
        self.candidates.push(Candidate {
            presence,
            load: load(node, server, question.route.objective_ms),
            takes_loads: node.takes_loads(server) && !self.spares(server),
            load_wait: node.load_wait_ms(server) / question.route.objective_ms.max(1) as f64,
        });
        self.is_older.push(is_older);
        self.servers.push(Rc::clone(server));
    }

    /// Whether a server is given nothing more to hold: one in need serves what it holds as far as its
    /// limit allows, and what it would load next asks for more than that.
    fn spares(&self, server: &Server) -> bool {
        self.has_unlimited && server.limit_per_s().is_some()
    }

    /// What to make of a server that is not known to hold the adapter. One that was asked will
    /// load it; one of several over which it is spread, of which nothing is known, is presumed
    /// to hold it, as its holder is asked before anything is sent.
    fn presumed(&self, node: &Node, server: &Server, asked: &Asked) -> Presence {
        if asked.is_coming(server.key, node.now_ms()) {
            return Presence::Loading;
        }
        let is_first = self.servers.is_empty();
        let is_refreshed = asked.status_requests.contains_key(&server.key);
        if !is_first && !is_refreshed && node.should_ask(server) {
            return Presence::Ready;
        }
        Presence::Absent
    }

    /// Whether a server serves the adapter, or will.
    fn is_found(&self) -> bool {
        let is_there = |candidate: &Candidate| {
            matches!(candidate.presence, Presence::Ready | Presence::Loading)
        };
        self.candidates.iter().any(is_there)
    }

    fn is_last_older(&self) -> bool {
        self.is_older.last().copied().unwrap_or_default()
    }

    /// Where the new version should be loaded while an older one serves.
    fn place_for_newer(&self) -> Option<usize> {
        let is_newer_there =
            self.candidates
                .iter()
                .zip(&self.is_older)
                .any(|(candidate, is_older)| match candidate.presence {
                    Presence::Ready => !is_older,
                    Presence::Loading => true,
                    Presence::Absent | Presence::Outdated => false,
                });
        if is_newer_there {
            return None;
        }
        let takes_it =
            |candidate: &Candidate| candidate.presence == Presence::Absent && candidate.takes_loads;
        self.candidates.iter().position(takes_it)
    }

    /// A server of the survey.
    pub fn server(&self, position: usize) -> Rc<Server> {
        Rc::clone(&self.servers[position])
    }

    /// The best of its servers.
    pub fn pick(&self) -> Pick {
        pick(&self.candidates, self.copies)
    }

    /// What a pick among its servers comes to.
    pub fn to_choice(&self, pick: Pick) -> Choice {
        match pick {
            Pick::Send { to, copy } => {
                let newer = || self.place_for_newer();
                let copy = if self.is_older[to] { newer() } else { copy };
                Choice::Send {
                    server: self.server(to),
                    copy: copy.map(|position| self.server(position)),
                }
            }
            Pick::Load { at } => Choice::Load(self.server(at)),
            // Places become free within moments: the holder of the first is asked again.
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

/// How busy a server is, with mistrust and distance added.
fn load(node: &Node, server: &Server, objective_ms: Millis) -> f64 {
    let distance = if server.record().zone == node.settings.borrow().zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    let tie: f64 = rand::rng().random_range(0.0..TIE_LOAD);
    node.load(server, objective_ms) + node.mistrust(server) + distance + tie
}
