//! Records which software version began a stream, at this box and at the homes of the attempt.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use log::Level;
use serde::Serialize;
use tinbay_core::resumption::fingerprint;
use tinbay_core::resumption::homes::HOMES;
use tinbay_core::resumption::ledger::StreamStart as StartRecord;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::units::Millis;

use super::context::ResumptionContext;
use super::has_sole_version;
use super::messages::StreamStartPart;
use super::stream_start::StreamStart;
use crate::events::{self, part};
use crate::front::inbound::InboundRequest;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;

/// Time after the caller's deadline for which a record is kept.
const RECORD_MARGIN_MS: Millis = 5_000;

/// Interval at which the box checks for records that have become necessary after their streams
/// began.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which such records are sent.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Upper bound on records sent in one round, as selecting the homes of each takes time and all
/// requests wait meanwhile.
const MAX_SENT_A_ROUND: usize = 40;

#[derive(Serialize)]
struct RecordedEvent<'a> {
    request: &'a str,
    server: &'a str,
    software_version: &'a str,
    homes: &'a [String],
}

/// Records the server version of a stream that begins now. The record is sent to the homes of the
/// attempt before the first event reaches the caller.
pub fn record_start(node: &Node, inbound: &InboundRequest, server: &Server, status: StatusCode) {
    let StreamStart::New { attempt } = inbound.stream_start else {
        return;
    };
    if !status.is_success() {
        return;
    }
    let server = server.record();
    let start = StartRecord {
        attempt,
        service: fingerprint(&inbound.service),
        version: fingerprint(server.software_version.as_str()),
        until_ms: inbound.caller_time_up_ms + RECORD_MARGIN_MS,
    };
    let homes = record(node, start, inbound.outlasts_version_history());
    let event = RecordedEvent {
        request: &inbound.id,
        server: &server.id,
        software_version: server.software_version.as_str(),
        homes: &homes,
    };
    events::emit(part::FRONT, Level::Debug, "stream_recorded", &event);
}

/// Records the start of a stream, also at its homes if another version may have begun it; returns
/// those homes.
pub fn record(
    context: &dyn ResumptionContext,
    start: StartRecord,
    outlasts_history: bool,
) -> Vec<String> {
    {
        let mut ledger = context.resumption().ledger.borrow_mut();
        ledger.record(start, context.now_ms());
    }
    if has_sole_version(context, start.service) && !outlasts_history {
        let mut ledger = context.resumption().ledger.borrow_mut();
        ledger.mark_unsent(start.attempt);
        return Vec::new();
    }
    send(context, start)
}

/// Records the version of a stream that is resumed, for the case that it is resumed again.
pub(super) fn record_resumed(node: &Node, inbound: &InboundRequest, version: Fingerprint) {
    let Some(attempt) = inbound.stream_start.attempt() else {
        return;
    };
    let start = StartRecord {
        attempt,
        service: fingerprint(&inbound.service),
        version,
        until_ms: inbound.caller_time_up_ms + RECORD_MARGIN_MS,
    };
    record(node, start, inbound.outlasts_version_history());
}

/// Handles another box's record of a stream that this box is a home of. It shows that the version
/// serves, which this box may not have seen yet.
pub fn handle_start(context: &dyn ResumptionContext, part: StreamStartPart) {
    let now_ms = context.now_ms();
    let mut history = context.resumption().history.borrow_mut();
    history.observe(part.service, part.version, now_ms);
    let mut ledger = context.resumption().ledger.borrow_mut();
    ledger.record(part.to_start(now_ms), now_ms);
    ledger.mark_at_home(part.attempt);
}

/// Sends records that have become necessary after their streams began, until the box stops: another
/// version has appeared, or this box's view of the servers is no longer current.
pub async fn run(node: Rc<Node>) {
    loop {
        let sent = send_due(&*node);
        let pause = if sent < MAX_SENT_A_ROUND {
            IDLE_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        tokio::time::sleep(pause).await;
    }
}

/// Has the records that are needed sent to the boxes that are their homes without this one, which is
/// leaving.
pub fn send_all_again(node: &Node) {
    node.resumption.ledger.borrow_mut().mark_all_unsent();
}

/// Sends some of the unsent records that are needed; returns their number.
pub fn send_due(context: &dyn ResumptionContext) -> usize {
    let mut services = context.resumption().ledger.borrow().unsent_services();
    services.retain(|service| !has_sole_version(context, *service));
    if services.is_empty() {
        return 0;
    }
    let is_due = |service| services.contains(&service);
    let starts = {
        let mut ledger = context.resumption().ledger.borrow_mut();
        ledger.take_unsent(MAX_SENT_A_ROUND, is_due, context.now_ms())
    };
    for start in &starts {
        send(context, *start);
    }
    starts.len()
}

/// Sends a record to its homes and returns the ids of those that are not this box.
fn send(context: &dyn ResumptionContext, start: StartRecord) -> Vec<String> {
    let homes = context.other_homes(start.attempt, HOMES);
    let part = StreamStartPart::new(start, context.now_ms());
    for home in &homes {
        context.post(home, FramePart::StreamStart(part));
    }
    if homes.len() < HOMES {
        let mut ledger = context.resumption().ledger.borrow_mut();
        ledger.mark_at_home(start.attempt);
    }
    homes
}
