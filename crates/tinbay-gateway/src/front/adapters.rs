//! Waits until a server holds the adapter of a request.

use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::wanted_loads::WantedLoad;
use tinbay_core::units::Millis;

use super::choice::{self, Asked, Choice};
use super::question::Question;
use super::refusal::{NotRunReason, Refusal};
use crate::events::{self, part};
use crate::limits::permits;
use crate::node::Node;
use crate::servers::Server;

/// Longest pause between looks; the status from the server's holder ends it.
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Longest wait for a server's status where the request could be sent without it.
const ANSWER_WAIT: Duration = Duration::from_millis(20);

/// When a caller comes back that should use another box.
const RETRY_ELSEWHERE_MS: Millis = 20;

/// The server that should run a request, once it holds what the request needs.
///
/// # Errors
/// When no server will in time.
pub async fn find_server(
    node: &Rc<Node>,
    question: &Question,
    tried: &[String],
) -> Result<Rc<Server>, Refusal> {
    let mut asked = Asked::default();
    loop {
        match choice::choose(node, question, tried, &asked) {
            Choice::Send { server, copy } => {
                if let Some(copy) = copy {
                    node.request_load(&copy, want(node, question, true));
                }
                if question.model_key.is_none() || !is_to_ask(node, &server, &asked) {
                    return Ok(server);
                }
                refresh_status(node, &server, &mut asked).await;
            }
            Choice::Load(server) => {
                let last_send_ms = last_send_ms(node, question);
                check_prospect(node, &mut asked, &server, last_send_ms)?;
                if asked.loads.is_empty() {
                    log_wait(node, question, &server);
                }
                let left = Duration::from_millis(last_send_ms.saturating_sub(node.now_ms()));
                wait_for_load(node, question, &server, LOOK_PAUSE.min(left), &mut asked).await;
            }
            Choice::Nowhere => {
                let retry_after_ms = permits::caller_retry_after_ms(node, &question.service);
                return Err(Refusal::NoServer { retry_after_ms });
            }
        }
    }
}

/// Whether a server's holder is to be asked how it stands before a request goes there.
pub(super) fn is_to_ask(node: &Node, server: &Server, asked: &Asked) -> bool {
    let is_refreshed = asked.status_requests.contains_key(&server.key);
    !is_refreshed && node.should_ask(server)
}

/// Asks the server's holder for its status, and waits a moment for the answer.
pub(super) async fn refresh_status(node: &Node, server: &Server, asked: &mut Asked) {
    let status_received = server.status_received.notified();
    node.request_status(server);
    asked.status_requests.insert(server.key, node.now_ms());
    let _ = tokio::time::timeout(ANSWER_WAIT, status_received).await;
}

/// Until when a request can be sent so that its first piece still finds the caller. Its own
/// reading alone counts: what else a server has to read is an estimate, and by a wrong one all
/// requests were refused for 13 s on a small fleet while the engines had places.
fn last_send_ms(node: &Node, question: &Question) -> Millis {
    let own_ms = node.reading_ms(&question.service, question.prompt.tokens) as Millis;
    let most_ms = question.route.objective_ms;
    question
        .first_piece_by_ms
        .saturating_sub(own_ms.min(most_ms))
}

/// Refuses a request at once that is known not to be served: its adapter comes too late, or the
/// box is leaving.
fn check_prospect(
    node: &Node,
    asked: &mut Asked,
    server: &Server,
    last_send_ms: Millis,
) -> Result<(), Refusal> {
    if node.is_leaving.get() {
        return Err(Refusal::NotRun {
            reason: NotRunReason::BoxLeaving,
            retry_after_ms: RETRY_ELSEWHERE_MS,
        });
    }
    let now_ms = node.now_ms();
    let wait_ms = node.load_wait_ms(server);
    let asked_ms = asked.loads.get(&server.key).map(|load| load.first_ms);
    if asked_ms.is_some_and(|asked_ms| node.has_status_since(server, asked_ms)) {
        asked.note_wait(server.key, wait_ms);
    }
    let expected_ms = asked.expected_ms(server.key).unwrap_or(now_ms);
    let ready_ms = expected_ms.max(now_ms);
    if ready_ms < last_send_ms {
        return Ok(());
    }
    Err(Refusal::NotRun {
        reason: NotRunReason::AdapterNotLoaded,
        retry_after_ms: wait_ms as Millis,
    })
}

/// Has the server's holder load the adapter, unless it was asked lately, and waits until its status
/// comes or the adapter can serve somewhere.
pub(super) async fn wait_for_load(
    node: &Node,
    question: &Question,
    server: &Server,
    pause: Duration,
    asked: &mut Asked,
) {
    let adapter = node.waiters.join(question.model_key.unwrap_or_default());
    let adapter_ready = adapter.notified();
    let status_received = server.status_received.notified();
    let now_ms = node.now_ms();
    if asked.takes_load_request(server.key, now_ms) {
        node.request_load(server, want(node, question, false));
    }
    tokio::select! {
        () = adapter_ready => {}
        () = status_received => {}
        () = tokio::time::sleep(pause) => {}
    }
}

pub(super) fn want(node: &Node, question: &Question, is_copy: bool) -> WantedLoad {
    WantedLoad {
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
