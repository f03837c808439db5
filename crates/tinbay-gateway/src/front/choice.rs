//! Chooses the server for a try.

use std::collections::HashMap;
use std::rc::Rc;

use rand::RngExt;
use tinbay_core::rendezvous;
use tinbay_core::serving::contents::{AdapterKey, HeldState, adapter_key};
use tinbay_core::serving::homes::{Candidate, Pick, Presence, pick};
use tinbay_core::serving::servers::ServerKey;
use tinbay_core::units::Millis;

use super::question::Question;
use crate::node::Node;
use crate::servers::Server;

/// Load that a server of another zone must have less to be chosen: bytes between zones
/// cost, and the way is longer.
const OTHER_ZONE_LOAD: f64 = 0.15;

/// Servers at the head of an adapter's order that are always looked at.
const USUAL_CANDIDATES: usize = 6;

/// Servers that are looked at while all before them are crowded.
const MOST_CANDIDATES: usize = 24;

/// Load above which a server is crowded.
const CROWDED_LOAD: f64 = 0.75;

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

/// When the holders of servers were asked on behalf of one request.
pub type Asked = HashMap<ServerKey, Millis>;

/// Where a request should run, among servers not tried yet.
pub fn choose(node: &Node, question: &Question, tried: &[String], asked: &Asked) -> Choice {
    let mut ready = node.servers.borrow().ready(&question.service);
    ready.retain(|server| !tried.contains(&server.record().id));
    match question.model.as_deref() {
        Some(model) if model.contains('/') => choose_for_adapter(node, model, &ready, asked),
        Some(model) => choose_for_model(node, model, &ready),
        None => least_loaded(node, &ready).map_or(Choice::Nowhere, send),
    }
}

fn send(server: Rc<Server>) -> Choice {
    Choice::Send { server, copy: None }
}

fn choose_for_model(node: &Node, model: &str, ready: &[Rc<Server>]) -> Choice {
    let holds = |server: &&Rc<Server>| server.record().models.iter().any(|held| held == model);
    let holding: Vec<Rc<Server>> = ready.iter().filter(holds).cloned().collect();
    if let Some(server) = least_loaded(node, &holding) {
        return send(server);
    }
    let home = in_order(model, ready).into_iter().next();
    home.map_or(Choice::Nowhere, Choice::Load)
}

fn least_loaded(node: &Node, servers: &[Rc<Server>]) -> Option<Rc<Server>> {
    servers
        .iter()
        .map(|server| (load(node, server), server))
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

/// What one request needs to know of the servers in its adapter's order.
struct Survey {
    servers: Vec<Rc<Server>>,
    candidates: Vec<Candidate>,
    is_older: Vec<bool>,
}

impl Survey {
    fn make(node: &Node, adapter: &str, ready: &[Rc<Server>], asked: &Asked) -> Self {
        let key = adapter_key(adapter);
        let version = node.named_version(adapter).unwrap_or(0);
        let may_serve_older = node.may_serve_older(adapter);
        let mut survey = Self {
            servers: Vec::new(),
            candidates: Vec::new(),
            is_older: Vec::new(),
        };
        let mut is_any_open = false;
        for server in in_order(adapter, ready) {
            if survey.servers.len() >= USUAL_CANDIDATES && is_any_open {
                break;
            }
            let mut presence = presence(&server, key, version);
            let is_older = presence == Presence::Outdated && may_serve_older;
            if is_older {
                presence = Presence::Ready;
            }
            if presence == Presence::Absent && asked.contains_key(&server.key) {
                presence = Presence::Coming;
            }
            let candidate = Candidate {
                presence,
                load: load(node, &server),
                takes_loads: node.takes_loads(&server),
            };
            is_any_open |= candidate.load < CROWDED_LOAD && candidate.takes_loads;
            survey.candidates.push(candidate);
            survey.is_older.push(is_older);
            survey.servers.push(server);
        }
        survey
    }

    /// Where the new version should be loaded while an older one serves.
    fn place_for_newer(&self) -> Option<usize> {
        let is_newer_there =
            self.candidates
                .iter()
                .zip(&self.is_older)
                .any(|(candidate, is_older)| match candidate.presence {
                    Presence::Ready => !is_older,
                    Presence::Coming => true,
                    Presence::Absent | Presence::Outdated => false,
                });
        if is_newer_there {
            return None;
        }
        let takes_it =
            |candidate: &Candidate| candidate.presence == Presence::Absent && candidate.takes_loads;
        self.candidates.iter().position(takes_it)
    }

    fn server(&self, position: usize) -> Rc<Server> {
        Rc::clone(&self.servers[position])
    }
}

fn choose_for_adapter(node: &Node, adapter: &str, ready: &[Rc<Server>], asked: &Asked) -> Choice {
    let survey = Survey::make(node, adapter, ready, asked);
    match pick(&survey.candidates) {
        Pick::Send { to, copy } => {
            let newer = || survey.place_for_newer();
            let copy = if survey.is_older[to] { newer() } else { copy };
            Choice::Send {
                server: survey.server(to),
                copy: copy.map(|position| survey.server(position)),
            }
        }
        Pick::Load { at } => Choice::Load(survey.server(at)),
        // Places become free within moments: the holder of the first is asked again.
        Pick::Nowhere => match survey.servers.first() {
            Some(first) => Choice::Load(Rc::clone(first)),
            None => Choice::Nowhere,
        },
    }
}

fn presence(server: &Server, key: AdapterKey, version: u64) -> Presence {
    match server.adapter(key) {
        None => Presence::Absent,
        Some(entry) if entry.state == HeldState::Loading => Presence::Coming,
        Some(entry) if entry.version >= version => Presence::Ready,
        Some(_) => Presence::Outdated,
    }
}

/// How busy a server is, with mistrust and distance added.
fn load(node: &Node, server: &Server) -> f64 {
    let now_ms = node.now_ms();
    let distance = if server.record().zone == node.settings.borrow().zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    let tie: f64 = rand::rng().random_range(0.0..TIE_LOAD);
    node.busyness(server) + server.mistrust(now_ms) + distance + tie
}
