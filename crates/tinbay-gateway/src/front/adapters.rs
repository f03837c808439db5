//! Waits until a server holds the adapter of a request.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::contents::{AdapterKey, adapter_key};
use tinbay_core::units::Millis;

use super::choice::{self, Choice};
use super::question::Question;
use super::refusal::{NotRunReason, Refusal};
use crate::events::{self, part};
use crate::node::Node;
use crate::servers::{Server, ServerKey};

/// Part of its time that a request waits for an adapter before its caller is told to come
/// back; the rest is left for another try.
const PATIENCE: f64 = 0.45;

/// Longest pause between looks; a change at the server ends it.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Part of the time left after which a caller should come back; callers wait no longer than a
/// third.
const RETRY_AFTER_PART: f64 = 0.32;

/// When a caller comes back that should use another box.
const RETRY_ELSEWHERE_MS: Millis = 20;

/// How long a request waits for its adapter.
struct Patience {
    until_ms: Millis,
    time_up_ms: Millis,
}

impl Patience {
    fn of(question: &Question) -> Self {
        let time_ms = (question.time_up_ms - question.arrived_ms) as f64;
        Self {
            until_ms: question.arrived_ms + (time_ms * PATIENCE) as Millis,
            time_up_ms: question.time_up_ms,
        }
    }

    fn retry_after_ms(&self, now_ms: Millis) -> Millis {
        let left_ms = self.time_up_ms.saturating_sub(now_ms) as f64;
        (left_ms * RETRY_AFTER_PART) as Millis
    }
}

/// A want that ends when the request stops waiting.
struct Waiting {
    node: Rc<Node>,
    home: ServerKey,
    adapter: AdapterKey,
}

impl Waiting {
    fn begin(node: &Rc<Node>, question: &Question, home: &Server, is_first: bool) -> Self {
        let adapter = question.model.as_deref().unwrap_or_default();
        let version = question.named_version(node);
        let now_ms = node.now_ms();
        let mut asking = node.asking.borrow_mut();
        let is_news = asking.begin(home.key, adapter, version, is_first, now_ms);
        drop(asking);
        if is_news {
            choice::notify_holder(node, home);
        }
        Self {
            node: Rc::clone(node),
            home: home.key,
            adapter: adapter_key(adapter),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.asking.borrow_mut().end(self.adapter);
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
    let patience = Patience::of(question);
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
        let now_ms = node.now_ms();
        if now_ms >= patience.until_ms {
            return Err(Refusal::NotRun {
                reason: NotRunReason::AdapterNotLoaded,
                retry_after_ms: patience.retry_after_ms(now_ms),
            });
        }
        if node.is_leaving.get() {
            return Err(Refusal::NotRun {
                reason: NotRunReason::BoxLeaving,
                retry_after_ms: RETRY_ELSEWHERE_MS,
            });
        }
        if waiting
            .as_ref()
            .is_none_or(|waiting| waiting.home != home.key)
        {
            log_wait(node, question, &home);
            let is_first = waiting.is_none();
            drop(waiting);
            waiting = Some(Waiting::begin(node, question, &home, is_first));
        }
        let told = node.waiters.join(question.model_key.unwrap_or_default());
        let pause = LOOK_PAUSE.min(Duration::from_millis(patience.until_ms - now_ms));
        let _ = tokio::time::timeout(pause, told.notified()).await;
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

fn note_use(node: &Node, question: &Question, server: &Server) {
    if let Some(key) = question.model_key {
        node.uses.borrow_mut().note(server.key, key);
        node.asking.borrow_mut().forget(key);
    }
}
