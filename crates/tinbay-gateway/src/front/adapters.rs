//! Waits until a server holds the adapter of a request.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::wants::Want;
use tinbay_core::units::Millis;

use super::choice::{self, Asked, Choice};
use super::question::Question;
use super::refusal::{NotRunReason, Refusal};
use crate::events::{self, part};
use crate::node::Node;
use crate::servers::Server;

/// Part of its time that a request waits for an adapter before its caller is told to come
/// back; the rest is left for another try.
const PATIENCE: f64 = 0.45;

/// Longest pause between looks; the status from the server's holder ends it.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Pause after which a holder is asked again, as messages may be lost.
const ASK_AGAIN_MS: Millis = 100;

/// Longest wait for a server's status where the request could be sent without it.
const ANSWER_WAIT: Duration = Duration::from_millis(20);

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
    let mut asked = Asked::default();
    loop {
        match choice::choose(node, question, tried, &asked) {
            Choice::Send { server, copy } => {
                if let Some(copy) = copy {
                    node.request_load(&copy, want(node, question, true));
                }
                let is_refreshed = asked.status_requests.contains_key(&server.key);
                if question.model_key.is_none() || is_refreshed || !node.should_ask(&server) {
                    return Ok(server);
                }
                refresh_status(node, &server, &mut asked).await;
            }
            Choice::Load(server) => {
                let now_ms = node.now_ms();
                check_patience(node, &patience, now_ms)?;
                if asked.loads.is_empty() {
                    log_wait(node, question, &server);
                }
                let left = Duration::from_millis(patience.until_ms - now_ms);
                wait_for_load(node, question, &server, LOOK_PAUSE.min(left), &mut asked).await;
            }
            Choice::Nowhere => return Err(Refusal::NoServer),
        }
    }
}

/// Asks the server's holder for its status, and waits a moment for the answer.
async fn refresh_status(node: &Node, server: &Server, asked: &mut Asked) {
    let status_came = server.status_came.notified();
    node.request_status(server);
    asked.status_requests.insert(server.key, node.now_ms());
    let _ = tokio::time::timeout(ANSWER_WAIT, status_came).await;
}

fn check_patience(node: &Node, patience: &Patience, now_ms: Millis) -> Result<(), Refusal> {
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
    Ok(())
}

/// Has the server's holder load the adapter, unless it was asked lately, and waits until its status
/// comes or the adapter can serve somewhere.
async fn wait_for_load(
    node: &Node,
    question: &Question,
    server: &Server,
    pause: Duration,
    asked: &mut Asked,
) {
    let adapter = node.waiters.join(question.model_key.unwrap_or_default());
    let adapter_ready = adapter.notified();
    let status_came = server.status_came.notified();
    let now_ms = node.now_ms();
    let is_over = |asked_ms: &Millis| now_ms >= asked_ms + ASK_AGAIN_MS;
    if asked.loads.get(&server.key).is_none_or(is_over) {
        node.request_load(server, want(node, question, false));
        asked.loads.insert(server.key, now_ms);
    }
    tokio::select! {
        () = adapter_ready => {}
        () = status_came => {}
        () = tokio::time::sleep(pause) => {}
    }
}

fn want(node: &Node, question: &Question, is_copy: bool) -> Want {
    Want {
        adapter: question.model.clone().unwrap_or_default(),
        version: question.named_version(node),
        is_copy,
    }
}

#[derive(Serialize)]
struct WaitEvent<'a> {
    request: &'a str,
    model: Option<&'a str>,
    version: Option<u64>,
    server: &'a str,
    holder: Option<&'a str>,
    has_holder: bool,
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
        has_holder: node.has_holder(home),
        age_ms: node.now_ms() - question.arrived_ms,
    };
    events::emit(part::FRONT, Level::Info, "wait", &event);
}
