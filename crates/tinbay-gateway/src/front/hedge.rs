//! Hedged requests: sends a repeatable request to a second server when the first is slow, and uses
//! the answer whose head arrives first. The other send is cancelled by closing its connection.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::hedge::{HedgeCase, hedge_after_ms};
use tinbay_core::retry::AttemptEnd;
use tinbay_core::serving::configuration::RouteKind;
use tinbay_core::units::Millis;

use super::attempt::AttemptResult;
use super::choice::{self, Choice, HolderRequests};
use super::inbound::InboundRequest;
use super::retry_budget;
use crate::events::{self, part};
use crate::http::body::RequestBody;
use crate::limits::permits::{self, Permit};
use crate::node::Node;
use crate::servers::Server;
use crate::slots::asking::SlotParams;

/// A send that is about to be made.
pub struct Outgoing {
    /// The server to send to.
    pub server: Rc<Server>,
    /// The caller's body.
    pub body: RequestBody,
    /// Permit under the server's rate limit.
    pub permit: Permit,
}

/// The outcome of a request that was sent to one server or two.
pub struct Sent {
    /// The server that gave the result.
    pub server: Rc<Server>,
    /// When the request was sent to that server.
    pub sent_ms: Millis,
    /// The result of the decisive send.
    pub result: AttemptResult,
    /// The other send, if it failed earlier.
    pub failed: Option<FailedSend>,
}

/// The one of two sends that failed before the other ended.
pub struct FailedSend {
    /// The server that failed.
    pub server: Rc<Server>,
    /// Whether the request may have run there.
    pub end: AttemptEnd,
}

/// Limits on a hedged send that follow from earlier attempts.
#[derive(Debug, Clone, Copy)]
pub struct HedgeTerms<'a> {
    /// Ids of the servers already tried.
    pub tried: &'a [String],
    /// Further sends allowed after the first of this attempt.
    pub sends_left: u32,
}

/// Outcome of a hedged send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HedgeOutcome {
    FirstWon,
    SecondWon,
    Failed,
    NoServer,
    NoBudget,
}

impl HedgeOutcome {
    fn won_by(is_first: bool) -> Self {
        if is_first {
            HedgeOutcome::FirstWon
        } else {
            HedgeOutcome::SecondWon
        }
    }

    fn name(self) -> &'static str {
        match self {
            HedgeOutcome::FirstWon => "first_won",
            HedgeOutcome::SecondWon => "second_won",
            HedgeOutcome::Failed => "failed",
            HedgeOutcome::NoServer => "no_server",
            HedgeOutcome::NoBudget => "no_budget",
        }
    }
}

#[derive(Serialize)]
struct HedgeEvent<'a> {
    request: &'a str,
    first: &'a str,
    second: &'a str,
    after_ms: Millis,
    outcome: &'static str,
}

/// A finished send.
struct FinishedSend {
    server: Rc<Server>,
    sent_ms: Millis,
    result: AttemptResult,
}

impl FinishedSend {
    fn into_sent(self) -> Sent {
        Sent {
            server: self.server,
            sent_ms: self.sent_ms,
            result: self.result,
            failed: None,
        }
    }

    fn into_sent_after(self, failed: FailedSend) -> Sent {
        Sent {
            failed: Some(failed),
            ..self.into_sent()
        }
    }

    /// Whether the result can be passed to the caller without waiting for the other send.
    fn is_answer(&self) -> bool {
        match &self.result {
            AttemptResult::Answering(answer) => !answer.head.status.is_server_error(),
            _ => false,
        }
    }

    fn failure(&self) -> FailedSend {
        let end = match &self.result {
            AttemptResult::Answering(_) | AttemptResult::Unknown { .. } => AttemptEnd::Unknown,
            AttemptResult::Declined { .. }
            | AttemptResult::Displaced
            | AttemptResult::Withdrawn { .. }
            | AttemptResult::NotSent { .. } => AttemptEnd::NotRun,
        };
        FailedSend {
            server: Rc::clone(&self.server),
            end,
        }
    }
}

/// Sends a request, and sends it to a second server too if that is allowed and the first is slow.
/// `send_to` is given the number of sends already in flight.
pub async fn send(
    node: &Node,
    inbound: &InboundRequest,
    terms: HedgeTerms<'_>,
    first: Outgoing,
    send_to: impl AsyncFn(Outgoing, u32) -> AttemptResult,
) -> Sent {
    let second_body = first.body.repeat();
    let after_ms = hedge_delay_ms(node, inbound, &terms, &first.server);
    let server = Rc::clone(&first.server);
    let mut sending = pin!(run_send(node, first, 0, &send_to));
    let Some((after_ms, body)) = after_ms.zip(second_body) else {
        return sending.await.into_sent();
    };
    let wait = Duration::from_millis(after_ms);
    if let Ok(ended) = tokio::time::timeout(wait, &mut sending).await {
        return ended.into_sent();
    }
    let second = match second_send(node, inbound, &terms, &server, body).await {
        Ok(second) => second,
        Err(outcome) => {
            count_outcome(node, outcome);
            return sending.await.into_sent();
        }
    };
    let second_server = Rc::clone(&second.server);
    let second_sending = pin!(run_send(node, second, 1, &send_to));
    let (sent, outcome) = race(sending, second_sending).await;
    if outcome == HedgeOutcome::SecondWon && sent.failed.is_none() {
        // The first send is cancelled, so its elapsed time is recorded instead: otherwise slow
        // answers would be missing from the recorded times.
        server.record_answer_time(after_ms as f64, node.now_ms());
    }
    count_outcome(node, outcome);
    let event = HedgeEvent {
        request: &inbound.id,
        first: &server.record().id,
        second: &second_server.record().id,
        after_ms,
        outcome: outcome.name(),
    };
    events::emit(part::FRONT, Level::Info, "hedge", &event);
    sent
}

async fn run_send(
    node: &Node,
    outgoing: Outgoing,
    sends_in_flight: u32,
    send_to: &impl AsyncFn(Outgoing, u32) -> AttemptResult,
) -> FinishedSend {
    let server = Rc::clone(&outgoing.server);
    let sent_ms = node.now_ms();
    let result = send_to(outgoing, sends_in_flight).await;
    FinishedSend {
        server,
        sent_ms,
        result,
    }
}

/// Returns the first of two sends with an answer, or the last to fail.
async fn race(
    mut first: Pin<&mut impl Future<Output = FinishedSend>>,
    mut second: Pin<&mut impl Future<Output = FinishedSend>>,
) -> (Sent, HedgeOutcome) {
    let (ended, is_first) = tokio::select! {
        biased;
        ended = &mut first => (ended, true),
        ended = &mut second => (ended, false),
    };
    if ended.is_answer() {
        return (ended.into_sent(), HedgeOutcome::won_by(is_first));
    }
    let failed = ended.failure();
    let other = if is_first { second.await } else { first.await };
    let outcome = if other.is_answer() {
        HedgeOutcome::won_by(!is_first)
    } else {
        HedgeOutcome::Failed
    };
    (other.into_sent_after(failed), outcome)
}

/// Time after which the request is sent to a second server; `None` if it is not hedged. A server
/// that announces a rate limit is overloaded, and the others may be too, so its requests are not
/// hedged, nor are those to brittle servers.
fn hedge_delay_ms(
    node: &Node,
    inbound: &InboundRequest,
    terms: &HedgeTerms<'_>,
    first: &Server,
) -> Option<Millis> {
    let case = HedgeCase {
        // Resumable streams may be repeated, but are relayed from one server at a time.
        is_repeatable: inbound.route.kind == RouteKind::Safe,
        is_plain: inbound.model.is_none(),
        sends_left: terms.sends_left,
        left_ms: inbound.time_up_ms.saturating_sub(node.now_ms()),
    };
    let is_brittle = first.brittleness(node.now_ms()).is_some();
    if first.limit_per_s().is_some() || is_brittle {
        return None;
    }
    hedge_after_ms(&case, &first.service().times.borrow())
}

/// Prepares the second send, if a server can take it and the retry budget allows it.
async fn second_send(
    node: &Node,
    inbound: &InboundRequest,
    terms: &HedgeTerms<'_>,
    first: &Server,
    body: RequestBody,
) -> Result<Outgoing, HedgeOutcome> {
    let mut tried = terms.tried.to_vec();
    tried.push(first.record().id.clone());
    let server = match choice::choose(node, inbound, &tried, &HolderRequests::default()) {
        Choice::Send { server, .. } if server.limit_per_s().is_none() => server,
        _ => return Err(HedgeOutcome::NoServer),
    };
    let slot_params = SlotParams {
        rank: inbound.rank(),
        max_wait_ms: 0,
    };
    let permit = permits::acquire(node, &server, slot_params).await;
    let permit = permit.map_err(|_| HedgeOutcome::NoServer)?;
    if !retry_budget::take_hedge(node, &inbound.service) {
        return Err(HedgeOutcome::NoBudget);
    }
    Ok(Outgoing {
        server,
        body,
        permit,
    })
}

fn count_outcome(node: &Node, outcome: HedgeOutcome) {
    let hedged_sends = &node.metrics.hedged_sends;
    hedged_sends.with_label_values(&[outcome.name()]).inc();
}
