//! Waits until a server holds the adapter of a request.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::contents::Want;
use tinbay_core::units::Millis;

use super::choice::{self, Choice};
use super::question::Question;
use super::refusal::{NotRunReason, Refusal};
use crate::events::{self, part};
use crate::node::Node;
use crate::servers::Server;

/// Part of its time that a request waits for an adapter before its caller is told to come
/// back; the rest is left for another try.
const PATIENCE: f64 = 0.45;

/// Longest pause between looks; a change at the server ends it.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// When a caller comes back whose adapter was not loaded in time.
const RETRY_AFTER_MS: Millis = 500;

/// When a caller comes back that should use another box.
const RETRY_ELSEWHERE_MS: Millis = 20;

/// A want that ends when the request stops waiting.
struct Waiting {
    node: Rc<Node>,
    server: Rc<Server>,
    want: Want,
}

impl Waiting {
    fn begin(node: &Rc<Node>, server: &Rc<Server>, want: Want) -> Self {
        let is_first = node.demand.borrow_mut().begin(server.key, &want);
        if is_first {
            choice::notify_holder(node, server);
        }
        Self {
            node: Rc::clone(node),
            server: Rc::clone(server),
            want,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let now_ms = self.node.now_ms();
        let mut demand = self.node.demand.borrow_mut();
        demand.end(self.server.key, &self.want, now_ms);
    }
}

/// The server that should run a request, once it holds what the request needs.
///
/// # Errors
/// When no server will in time.
pub async fn find_server(
    node: &Rc<Node>,
    question: &Question,
    tried: &[String],
) -> Result<Rc<Server>, Refusal> {
    let time_ms = (question.time_up_ms - question.arrived_ms) as f64;
    let patient_until_ms = question.arrived_ms + (time_ms * PATIENCE) as Millis;
    let mut waiting: Option<Waiting> = None;
    loop {
        let home = match choice::choose(node, question, tried) {
            Choice::Send(server) => {
                note_use(node, question, &server);
                return Ok(server);
            }
            Choice::Wait(home) => home,
            Choice::Nowhere => return Err(Refusal::NoServer),
        };
        if node.now_ms() >= patient_until_ms {
            return Err(Refusal::NotRun {
                reason: NotRunReason::AdapterNotLoaded,
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
        if node.is_leaving.get() {
            return Err(Refusal::NotRun {
                reason: NotRunReason::BoxLeaving,
                retry_after_ms: RETRY_ELSEWHERE_MS,
            });
        }
        if waiting.is_none() {
            note_asked(node, question);
        }
        if waiting
            .as_ref()
            .is_none_or(|waiting| waiting.server.key != home.key)
        {
            log_wait(node, question, &home);
            waiting = Some(Waiting::begin(node, &home, want(node, question)));
        }
        let _ = tokio::time::timeout(LOOK_PAUSE, home.changed.notified()).await;
    }
}

#[derive(Serialize)]
struct WaitEvent<'a> {
    request: &'a str,
    model: Option<&'a str>,
    version: Option<u64>,
    server: &'a str,
    holder: Option<&'a str>,
    holder_can_order: bool,
    age_ms: Millis,
}

fn log_wait(node: &Node, question: &Question, home: &Server) {
    let holder = node.holder_of(home);
    let event = WaitEvent {
        request: &question.id,
        model: question.model.as_deref(),
        version: question.named_version(node),
        server: &home.record().id,
        holder: holder.as_deref(),
        holder_can_order: node.has_live_holder(home),
        age_ms: node.now_ms() - question.arrived_ms,
    };
    events::emit(part::FRONT, Level::Info, "wait", &event);
}

fn want(node: &Node, question: &Question) -> Want {
    let adapter = question.model.as_deref().unwrap_or_default();
    Want::of_one(adapter, question.named_version(node))
}

fn note_use(node: &Node, question: &Question, server: &Server) {
    if let Some(key) = question.model_key {
        let mut demand = node.demand.borrow_mut();
        demand.note_use(server.key, key);
        demand.forget_asked(key);
    }
}

fn note_asked(node: &Node, question: &Question) {
    if let Some(key) = question.model_key {
        let now_ms = node.now_ms();
        node.demand.borrow_mut().note_asked(key, now_ms);
    }
}
