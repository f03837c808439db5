//! Chooses the server that goes on with a run.

use std::rc::Rc;

use tinbay_core::serving::contents::{AdapterKey, HeldState};

use crate::front::choice::{self, Asked, Choice, Survey};
use crate::front::question::Question;
use crate::node::Node;
use crate::servers::Server;

/// Where a run should go on.
pub enum Target {
    /// There.
    At {
        /// The server.
        server: Rc<Server>,
        /// A server that should load the adapter as well.
        copy: Option<Rc<Server>>,
    },
    /// There, once it holds the adapter.
    Later(Rc<Server>),
    /// Nowhere now.
    Nowhere,
}

/// The server that should go on with a run; `version` is that of its adapter at the source.
pub fn choose(node: &Node, question: &Question, asked: &Asked, version: u64) -> Target {
    let now_ms = node.now_ms();
    let ready = node.servers.borrow().ready(&question.service);
    let split = node
        .splits
        .split(&node.servers, &question.service, &ready, now_ms);
    let Some(split) = split else {
        return Target::Nowhere;
    };
    if adapter_of(question).is_none() {
        return choose_for_model(node, question, &split.homes);
    }
    let homes = Survey::make(node, question, &split.homes, asked);
    match homes.to_choice(homes.pick()) {
        Choice::Send { server, copy } => {
            let is_there = is_fit(node, &server) && holds(node, question, &server, version);
            match copy {
                _ if is_there => Target::At { server, copy },
                Some(copy) => Target::Later(copy),
                None => Target::Nowhere,
            }
        }
        Choice::Load(server) => Target::Later(server),
        Choice::Ask(_) | Choice::Nowhere => Target::Nowhere,
    }
}

fn choose_for_model(node: &Node, question: &Question, homes: &[Rc<Server>]) -> Target {
    let model = question.model.as_deref().unwrap_or_default();
    let holding = choice::holding(model, homes);
    let server = choice::least_loaded(node, &holding, question.route.objective_ms);
    match server.filter(|server| is_fit(node, server)) {
        Some(server) => Target::At { server, copy: None },
        None => Target::Nowhere,
    }
}

/// Whether a server has a place for a run, and takes it without leave.
fn is_fit(node: &Node, server: &Server) -> bool {
    server.limit_per_s().is_none() && node.running(server) < server.record().slots
}

fn holds(node: &Node, question: &Question, server: &Server, version: u64) -> bool {
    let Some(key) = adapter_of(question) else {
        return true;
    };
    node.entry(server, key)
        .is_some_and(|entry| entry.state == HeldState::Ready && entry.version == version)
}

/// The key of a request's adapter; none where it names a base model alone.
pub fn adapter_of(question: &Question) -> Option<AdapterKey> {
    let model = question.model.as_deref()?;
    model.contains('/').then_some(question.model_key).flatten()
}
