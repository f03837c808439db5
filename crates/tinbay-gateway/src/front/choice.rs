//! Chooses the server for a try.

use std::rc::Rc;

use rand::RngExt;
use tinbay_core::rendezvous;
use tinbay_core::serving::contents::{AdapterKey, HeldState, Want, adapter_key};

use super::question::Question;
use crate::node::Node;
use crate::servers::Server;

/// Load that a server of another zone must have less to be chosen: bytes between zones
/// cost, and the way is longer.
const OTHER_ZONE_LOAD: f64 = 0.15;

/// Load of all servers that hold an adapter above which one more should hold it.
const SPREAD_LOAD: f64 = 0.8;

/// Requests at an engine that tell the same: prompts are read between the tokens of the
/// others, so that streams stall long before all places are taken.
const SPREAD_FLIGHTS: usize = 26;

/// Requests of an adapter, over all boxes, that its servers should have each before one more
/// gets it: a copy costs a load, and only the copy of an adapter that makes the crowd helps.
const REQUESTS_A_COPY: f64 = 12.0;

/// Part of a request that a copy earns where its servers are crowded but answer in time.
const LEAST_LATENESS: f64 = 0.15;

/// Most that one earns where they answer late.
const MOST_LATENESS: f64 = 2.0;

/// Requests added to those of an adapter whose new version is not loaded yet: they all will
/// wait for it.
const NEW_VERSION_REQUESTS: f64 = 10.0;

/// Usual time to the head there, as a part of the objective, that tells the same: long
/// before its places are taken an engine may have no time left to read prompts.
const SPREAD_DELAY: f64 = 0.6;

/// What is to be done with a request next.
pub enum Choice {
    /// Send it there.
    Send(Rc<Server>),
    /// Wait until the server holds the adapter.
    Wait(Rc<Server>),
    /// No server is left.
    Nowhere,
}

/// Where a request should run, among servers not tried yet.
pub fn choose(node: &Node, question: &Question, tried: &[String]) -> Choice {
    let mut ready = node.servers.borrow().ready(&question.service);
    ready.retain(|server| !tried.contains(&server.record().id));
    match question.model.as_deref() {
        Some(model) if model.contains('/') => choose_for_adapter(node, model, &ready),
        Some(model) => choose_for_model(node, model, &ready),
        None => least_loaded(node, &ready).map_or(Choice::Nowhere, Choice::Send),
    }
}

fn choose_for_model(node: &Node, model: &str, ready: &[Rc<Server>]) -> Choice {
    let holds = |server: &&Rc<Server>| server.record().models.iter().any(|held| held == model);
    let holding: Vec<Rc<Server>> = ready.iter().filter(holds).cloned().collect();
    if let Some(server) = least_loaded(node, &holding) {
        return Choice::Send(server);
    }
    home(node, model, ready).map_or(Choice::Nowhere, Choice::Wait)
}

fn least_loaded(node: &Node, servers: &[Rc<Server>]) -> Option<Rc<Server>> {
    servers
        .iter()
        .map(|server| (load(node, server), server))
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, server)| Rc::clone(server))
}

fn choose_for_adapter(node: &Node, adapter: &str, ready: &[Rc<Server>]) -> Choice {
    let key = adapter_key(adapter);
    let version = node.named_version(adapter);
    let (current, others): (Vec<Rc<Server>>, Vec<Rc<Server>>) = ready
        .iter()
        .cloned()
        .partition(|server| serves(node, server, key, version));
    let (older, others): (Vec<Rc<Server>>, Vec<Rc<Server>>) = others
        .into_iter()
        .partition(|server| serves(node, server, key, None));
    let may_serve_older = !older.is_empty() && node.may_serve_older(adapter);
    let mut serving = current.clone();
    if may_serve_older {
        serving.extend(older.iter().cloned());
    }
    let Some(server) = least_loaded(node, &serving) else {
        // Older versions are left to run out; a server beside them loads the new one.
        let places = if others.is_empty() { &older } else { &others };
        return home(node, adapter, places).map_or(Choice::Nowhere, Choice::Wait);
    };
    // Other boxes have as many, as callers choose boxes at random.
    let requests = requests_a_server(key, &serving);
    let is_enough = requests * node.box_count() as f64 >= REQUESTS_A_COPY;
    let wants_newer = may_serve_older && current.len() < older.len();
    if wants_newer && (current.is_empty() || is_enough) {
        ask_for_copy(node, adapter, requests + NEW_VERSION_REQUESTS, &others);
    } else if is_crowded(node, &server) && is_enough {
        let lateness = server
            .delay(node.now_ms())
            .clamp(LEAST_LATENESS, MOST_LATENESS);
        ask_for_copy(node, adapter, requests * lateness, &others);
    }
    Choice::Send(server)
}

/// Requests of an adapter from this box at each of its servers.
fn requests_a_server(key: AdapterKey, holding: &[Rc<Server>]) -> f64 {
    let flights = holding.iter().map(|server| server.adapter_flights(key));
    flights.sum::<usize>() as f64 / holding.len().max(1) as f64
}

fn serves(node: &Node, server: &Server, key: AdapterKey, version: Option<u64>) -> bool {
    match server.adapter(key, node.now_ms()) {
        Some(entry) => entry.state == HeldState::Ready && entry.version >= version.unwrap_or(0),
        None => false,
    }
}

/// The first server in the adapter's own order whose holder can order and does not call it
/// overloaded, which all boxes work out alike; its holder chooses among the servers it holds.
fn home(node: &Node, adapter: &str, servers: &[Rc<Server>]) -> Option<Rc<Server>> {
    let score = |server: &&Rc<Server>| rendezvous::score(adapter, &server.address_text);
    let live = || servers.iter().filter(|server| node.has_live_holder(server));
    let free = live()
        .filter(|server| !server.is_overloaded())
        .max_by_key(score);
    let first = free
        .or_else(|| live().max_by_key(score))
        .or_else(|| servers.iter().max_by_key(score));
    first.cloned()
}

/// Has one more server load an adapter whose servers are busy; nobody waits for it.
fn ask_for_copy(node: &Node, adapter: &str, requests: f64, others: &[Rc<Server>]) {
    let key = adapter_key(adapter);
    let now_ms = node.now_ms();
    let is_coming = |server: &Rc<Server>| server.adapter(key, now_ms).is_some();
    if others.iter().any(is_coming) {
        return;
    }
    let Some(server) = home(node, adapter, others) else {
        return;
    };
    let want = Want::of_copy(adapter, node.named_version(adapter), requests);
    node.asking
        .borrow_mut()
        .ask_for_copy(server.key, want, now_ms);
    notify_holder(node, &server);
}

/// Has the holder of a server look at what is wanted there.
pub fn notify_holder(node: &Node, server: &Server) {
    match node.holder_of(server) {
        Some(holder) if holder == node.settings.borrow().box_id => server.order_due.notify_one(),
        Some(holder) => node.tell_box(&holder),
        None => {}
    }
}

/// How busy a server is, with mistrust and distance added.
fn load(node: &Node, server: &Server) -> f64 {
    let record = server.record();
    let distance = if record.zone == node.settings.borrow().zone {
        0.0
    } else {
        OTHER_ZONE_LOAD
    };
    let tie: f64 = rand::rng().random_range(0.0..0.02);
    fullness(server) + server.delay(node.now_ms()) + server.mistrust(node.now_ms()) + distance + tie
}

fn is_crowded(node: &Node, server: &Server) -> bool {
    fullness(server) > SPREAD_LOAD
        || server.flights() > SPREAD_FLIGHTS
        || server.delay(node.now_ms()) > SPREAD_DELAY
}

/// Requests of all boxes at a server against those it works on at once.
fn fullness(server: &Server) -> f64 {
    let slots = server.record().slots.max(1) as f64;
    server.flights() as f64 / slots
}
