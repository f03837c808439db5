//! Sends load and unload orders to one backend server while this box holds the claim on it, and
//! follows the server's contents by its reports.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Method;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::contents::{
    Action, ModelAllowance, OrderAnswer, OrderContext, adapter_key,
};
use tinbay_core::serving::pacing::LoadQuotaCounter;
use tinbay_core::serving::servers::Report;
use tinbay_core::serving::wanted_loads::WantedLoad;
use tinbay_core::units::Millis;

use super::held_server::HeldServer;
use super::quota;
use crate::events::{self, part};
use crate::front::inbound::text;
use crate::http::call::{Call, CallError, HttpClient, MAX_SERVER_ANSWER_BYTES, Reply};
use crate::http::target::RequestTarget;
use crate::links;
use crate::node::Node;
use crate::port::dialect::{DecodeError, Order, OrderAction};
use crate::servers::notices::{self, AnswerHead, RequestKind};
use crate::servers::view::ServerStatus;
use crate::servers::{Server, incarnation};

/// Time-out of a request for a server's report.
const REPORT_TIMEOUT_MS: Millis = 500;

/// Time-out of an order; most answers come within a few milliseconds.
const ORDER_TIMEOUT_MS: Millis = 60;

/// Copies of an order that are sent in parallel once the first send had no answer, so that one gets
/// through sooner where most orders are lost. All carry the same expected order count, so the server
/// applies at most one of them.
const PARALLEL_SENDS: usize = 4;

/// Upper bound on rounds of resending an unanswered order. The server may have applied it already
/// or may still apply it, and all sends carry the same expected order count so that only one takes
/// effect. Until the result is known, no other order may use that count.
const MAX_RESEND_ROUNDS: usize = 16;

/// Unanswered rounds after which the server gets a failure penalty, so that boxes prefer others.
const ROUNDS_UNTIL_UNRESPONSIVE: usize = 4;

/// Longest wait before the next action is computed; a new load request ends it early.
const MAX_PAUSE_MS: Millis = 1_000;

/// Longest wait while a requested adapter can't be loaded yet.
const PENDING_LOAD_PAUSE_MS: Millis = 30;

/// Status with which a server rejects a request addressed to another server, or to one that is not
/// running.
const MISDIRECTED_REQUEST: u16 = 421;

/// Wait while this box lacks a valid membership proof, or the server must not be contacted.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct OrderEvent<'a> {
    server: &'a str,
    action: &'a str,
    adapter: &'a str,
    version: Option<u64>,
    expected_count: u64,
    token: u64,
    outcome: &'a str,
    took_ms: Millis,
    wanted: usize,
    is_awaited: bool,
    loads_at_once: usize,
    load_wait_ms: Millis,
}

#[derive(Serialize)]
struct ReportEvent<'a> {
    server: &'a str,
    order_count: u64,
    is_busy: bool,
    adapters: usize,
    incoming: usize,
    at_hand: usize,
}

#[derive(Serialize)]
struct UnreadableEvent<'a> {
    server: &'a str,
    error: String,
}

/// Boxes that receive an update of a server's status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recipients {
    /// Boxes affected by the change of the server's contents.
    Affected,
    /// All boxes that used the server recently, for its first known contents and for failures.
    Users,
}

/// Starts the order loop of a server unless it is running already. Returns whether it was started.
pub fn ensure_running(node: &Rc<Node>, server: &Rc<Server>) -> bool {
    if node.held_servers.borrow().contains_key(&server.key) {
        return false;
    }
    let Some(spec) = node.engine_properties(&server.record().service) else {
        return false;
    };
    let held = Rc::new(HeldServer::new(&spec, node.now_ms()));
    node.held_servers
        .borrow_mut()
        .insert(server.key, Rc::clone(&held));
    let holder = Holder {
        node: Rc::clone(node),
        server: Rc::clone(server),
        held,
        caller: HttpClient::new(server.record().address),
    };
    tokio::task::spawn_local(holder.run());
    true
}

/// This box's share of the weight store's load rate, applied to one of its servers.
struct Allowance<'a> {
    holder: &'a Holder,
    now_ms: Millis,
}

impl ModelAllowance for Allowance<'_> {
    fn take(&mut self) -> bool {
        let node = &self.holder.node;
        let service = self.holder.server.record().service.clone();
        let quota = quota::of_service(node, &service).unwrap_or_default();
        let settings = node.settings.borrow();
        let mut load_quotas = node.load_quotas.borrow_mut();
        let counter = load_quotas
            .entry(service)
            .or_insert_with(|| match settings.is_first_start {
                true => LoadQuotaCounter::default(),
                // The clock of a box starts with its process.
                false => LoadQuotaCounter::after_restart(0),
            });
        counter.take(quota, settings.bounds.loads.window_ms, self.now_ms)
    }
}

struct Holder {
    node: Rc<Node>,
    server: Rc<Server>,
    held: Rc<HeldServer>,
    caller: HttpClient,
}

impl Holder {
    async fn run(self) {
        while self.is_known() {
            let Some(token) = self.node.order_token(&self.server) else {
                if !self.is_holder() {
                    break;
                }
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            };
            if self.held.limit_changed.take() {
                self.publish(Recipients::Users);
            }
            let now_ms = self.node.now_ms();
            if !self.may_contact(now_ms) {
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            }
            if self.held.take_due_check(now_ms) {
                // Only the check for a new incarnation inside `fetch_report` matters here.
                let _ = self.fetch_report().await;
                continue;
            }
            let wanted_loads = self.held.wanted_loads.borrow_mut().current(now_ms);
            match self.next_action(&wanted_loads, now_ms) {
                Some(Action::FetchReport) => self.refresh_contents().await,
                Some(Action::PollReport) => self.check_progress().await,
                Some(action) => self.order(&action, token, &wanted_loads).await,
                None => self.pause(&wanted_loads).await,
            }
        }
        self.node.held_servers.borrow_mut().remove(&self.server.key);
    }

    fn is_known(&self) -> bool {
        self.node.servers.borrow().by_key(self.server.key).is_some()
    }

    fn is_holder(&self) -> bool {
        let own_id = self.node.settings.borrow().box_id.clone();
        self.node.holder_of(&self.server).as_deref() == Some(own_id.as_str())
    }

    /// Whether the server may be contacted: it can be reached, no other server answers at its
    /// address, and it is not in a back-off.
    fn may_contact(&self, now_ms: Millis) -> bool {
        let is_reached = !self.server.pool.link().is_down();
        let is_own_address = !self.server.is_displaced(now_ms);
        is_reached && is_own_address && self.server.back_off_until_ms(now_ms).is_none()
    }

    fn next_action(&self, wanted_loads: &[WantedLoad], now_ms: Millis) -> Option<Action> {
        let context = OrderContext {
            published_version: &|adapter: &str| self.node.named_version(adapter),
            is_in_use: &|key| self.held.is_in_use(&self.server, key, now_ms),
            now_ms,
        };
        let mut allowance = Allowance {
            holder: self,
            now_ms,
        };
        let contents = self.held.contents.borrow();
        contents.next_action(wanted_loads, &context, &mut allowance)
    }

    async fn pause(&self, wanted_loads: &[WantedLoad]) {
        let now_ms = self.node.now_ms();
        let max_ms = if wanted_loads.is_empty() {
            MAX_PAUSE_MS
        } else {
            PENDING_LOAD_PAUSE_MS
        };
        let next_check_ms = self.held.contents.borrow().next_action_ms();
        let pause_ms =
            next_check_ms.map_or(max_ms, |next_check_ms| next_check_ms.saturating_sub(now_ms));
        let pause = Duration::from_millis(pause_ms.clamp(1, max_ms));
        let _ = tokio::time::timeout(pause, self.server.order_due.notified()).await;
    }

    async fn refresh_contents(&self) {
        let Some(report) = self.fetch_report().await else {
            self.held
                .contents
                .borrow_mut()
                .invalidate(self.node.now_ms());
            return;
        };
        self.log_report(&report);
        let is_first_report = !self.held.contents.borrow().was_known();
        self.held
            .contents
            .borrow_mut()
            .record_report(&report, self.node.now_ms());
        self.publish(if is_first_report {
            Recipients::Users
        } else {
            Recipients::Affected
        });
    }

    fn log_report(&self, report: &Report) {
        let event = ReportEvent {
            server: &self.server.record().id,
            order_count: report.order_count,
            is_busy: report.is_busy,
            adapters: report.adapters.len(),
            incoming: report.incoming.len(),
            at_hand: report.at_hand.len(),
        };
        events::emit(part::ORDERS, Level::Info, "report", &event);
    }

    /// Reads from the server's report which loads and unloads have finished.
    async fn check_progress(&self) {
        let report = self.fetch_report().await;
        let done = {
            let mut contents = self.held.contents.borrow_mut();
            contents.record_poll(report.as_ref(), self.node.now_ms())
        };
        let mut wanted_loads = self.held.wanted_loads.borrow_mut();
        for key in done {
            wanted_loads.forget(key);
        }
        drop(wanted_loads);
        self.publish(Recipients::Affected);
    }

    async fn fetch_report(&self) -> Option<Report> {
        let target = self.node.dialect.report_target();
        let call = self.call(Method::GET, target, Bytes::new(), REPORT_TIMEOUT_MS);
        let request_sent_ms = self.node.now_ms();
        let replied = self.caller.call(&call).await;
        self.log_report_failure(replied.as_ref().err().copied());
        match replied {
            Ok(reply) => {
                self.server.pool.record_heard();
                self.read_reply(&reply, request_sent_ms)
            }
            Err(error) => {
                self.report_unreachable(error).await;
                None
            }
        }
    }

    /// Logs why a report could not be fetched, once until the reason changes.
    fn log_report_failure(&self, error: Option<CallError>) {
        let Some(error) = self.held.record_report(error) else {
            return;
        };
        let event = UnreadableEvent {
            server: &self.server.record().id,
            error: error.to_string(),
        };
        events::emit(part::ORDERS, Level::Warn, "report_failed", &event);
    }

    /// Decodes the answer to a report request and applies the notices in its headers.
    fn read_reply(&self, reply: &Reply, request_sent_ms: Millis) -> Option<Report> {
        if reply.status != 200 {
            self.apply_notices(RequestKind::Report, request_sent_ms, reply);
            return None;
        }
        let report = self.read_report(&reply.body)?;
        self.apply_notices(RequestKind::Report, request_sent_ms, reply);
        Some(report)
    }

    fn apply_notices(&self, request_kind: RequestKind<'_>, request_sent_ms: Millis, reply: &Reply) {
        if self.is_from_another_server(reply) {
            return;
        }
        let head = AnswerHead {
            request_kind,
            request_sent_ms,
            status: reply.status,
            headers: &reply.headers,
            has_run: false,
        };
        if notices::apply(&self.node, &self.server, &head) {
            // Other boxes stop requesting loads at a server that is leaving or in a back-off.
            self.publish(Recipients::Users);
        }
    }

    /// Decodes a report. Returns `None` for a report of another incarnation, which does not
    /// describe this one.
    fn read_report(&self, body: &[u8]) -> Option<Report> {
        let report = match self.node.dialect.decode_report(body) {
            Ok(report) => report,
            Err(error) => {
                self.log_unreadable(&error);
                return None;
            }
        };
        incarnation::accept_report(&self.node, &self.server, report)
    }

    fn log_unreadable(&self, error: &DecodeError) {
        let unreadable = &self.node.metrics.unreadable;
        unreadable.with_label_values(&["report"]).inc();
        let event = UnreadableEvent {
            server: &self.server.record().id,
            error: error.to_string(),
        };
        events::emit(part::ORDERS, Level::Warn, "report_unreadable", &event);
    }

    async fn order(&self, action: &Action, token: u64, wanted_loads: &[WantedLoad]) {
        let Some(order) = self.build_order(action, token) else {
            return;
        };
        let began_ms = self.node.now_ms();
        let answer = self.send_until_answered(action, &order, token).await;
        let now_ms = self.node.now_ms();
        let mut contents = self.held.contents.borrow_mut();
        contents.record_answer(action, answer, now_ms);
        drop(contents);
        if let (OrderAction::Load { .. }, OrderAnswer::Done) = (&order.action, answer) {
            let mut wanted_loads = self.held.wanted_loads.borrow_mut();
            wanted_loads.forget(adapter_key(&order.adapter));
        }
        self.log_order(&order, answer, now_ms - began_ms, wanted_loads);
        self.publish(Recipients::Affected);
    }

    /// Sends an order until its result is known or the limit of rounds is reached.
    async fn send_until_answered(&self, action: &Action, order: &Order, token: u64) -> OrderAnswer {
        let mut answer = self.send(order).await;
        let mut unanswered = 0;
        while answer == OrderAnswer::NoAnswer
            && unanswered < MAX_RESEND_ROUNDS
            && self.may_order(token)
        {
            unanswered += 1;
            if unanswered == ROUNDS_UNTIL_UNRESPONSIVE {
                self.held.record_unresponsive(self.node.now_ms());
                self.publish(Recipients::Users);
            }
            answer = self.send_copies(order).await;
        }
        let mut contents = self.held.contents.borrow_mut();
        contents.resolve_answer(action, answer, unanswered, self.node.now_ms())
    }

    /// Sends an order several times in parallel and returns the first conclusive answer.
    async fn send_copies(&self, order: &Order) -> OrderAnswer {
        let mut copies: FuturesUnordered<_> =
            (0..PARALLEL_SENDS).map(|_| self.send(order)).collect();
        let mut best = OrderAnswer::NoAnswer;
        while let Some(answer) = copies.next().await {
            match answer {
                OrderAnswer::NoAnswer => {}
                // The conflict may be with another copy that was applied.
                OrderAnswer::Conflict => best = answer,
                _ => return answer,
            }
        }
        best
    }

    fn may_order(&self, token: u64) -> bool {
        self.node.order_token(&self.server) == Some(token) && self.may_contact(self.node.now_ms())
    }

    async fn send(&self, order: &Order) -> OrderAnswer {
        let body = self.node.dialect.encode_order(order);
        let target = self.node.dialect.order_target();
        let call = self.call(Method::POST, target, body, ORDER_TIMEOUT_MS);
        let request_sent_ms = self.node.now_ms();
        let undelivered = &self.node.undelivered_orders;
        let order_send = undelivered.begin(&self.server.address_text);
        match self.caller.call(&call).await {
            Ok(reply) => {
                order_send.record_outcome();
                self.server.pool.record_heard();
                if self.is_from_another_server(&reply) {
                    self.report_displaced();
                }
                self.apply_notices(RequestKind::Order, request_sent_ms, &reply);
                match reply.status {
                    200 => OrderAnswer::Done,
                    202 => OrderAnswer::Accepted,
                    409 => OrderAnswer::Conflict,
                    _ => OrderAnswer::Refused,
                }
            }
            Err(error) => {
                if matches!(error, CallError::NotConnected | CallError::InvalidField(_)) {
                    order_send.record_outcome();
                } else {
                    drop(order_send);
                }
                self.report_unreachable(error).await;
                match error {
                    CallError::NotConnected | CallError::InvalidField(_) => OrderAnswer::Refused,
                    CallError::NoAnswer
                    | CallError::InvalidHead(_)
                    | CallError::TooLong { .. }
                    | CallError::NoFinalResponse => OrderAnswer::NoAnswer,
                }
            }
        }
    }

    /// Whether another server answered a request meant for this one: its id header differs, or it
    /// rejected the request as misdirected and another entry has the same address.
    fn is_from_another_server(&self, reply: &Reply) -> bool {
        let name = &self.node.dialect.headers().server_id;
        match text(&reply.headers, name) {
            Some(id) => id != self.server.record().id,
            None => {
                let servers = self.node.servers.borrow();
                reply.status == MISDIRECTED_REQUEST && servers.shares_address(&self.server)
            }
        }
    }

    /// Marks the server as displaced and reports that to all its users: another server answers at
    /// its address, and that one's reports were mistaken for this server's.
    fn report_displaced(&self) {
        let now_ms = self.node.now_ms();
        self.server.mark_displaced(now_ms);
        self.held.record_unreachable(now_ms);
        self.publish(Recipients::Users);
    }

    /// Reports to all users of the server that it accepts no connections, unless this box has lost
    /// its links.
    async fn report_unreachable(&self, error: CallError) {
        if error == CallError::NotConnected
            && links::has_server_failed(&self.node, &self.server).await
        {
            self.held.record_unreachable(self.node.now_ms());
            self.publish(Recipients::Users);
        }
    }

    fn build_order(&self, action: &Action, token: u64) -> Option<Order> {
        let (action, adapter, expected_count) = match action {
            Action::FetchReport | Action::PollReport => return None,
            Action::Load {
                adapter,
                version,
                expected_count,
            } => (
                OrderAction::Load { version: *version },
                adapter,
                *expected_count,
            ),
            Action::Unload {
                adapter,
                expected_count,
            } => (OrderAction::Unload, adapter, *expected_count),
        };
        Some(Order {
            action,
            adapter: adapter.clone(),
            expected_count: Some(expected_count),
            holder: self.node.settings.borrow().box_id.clone(),
            token,
        })
    }

    fn call(&self, method: Method, target: RequestTarget, body: Bytes, timeout_ms: Millis) -> Call {
        let name = self.node.dialect.headers().expect_server.clone();
        Call {
            method,
            target,
            body,
            header: Some((name, self.server.record().id.clone())),
            timeout_ms,
            max_answer_bytes: MAX_SERVER_ANSWER_BYTES,
        }
    }

    fn log_order(
        &self,
        order: &Order,
        answer: OrderAnswer,
        took_ms: Millis,
        wanted_loads: &[WantedLoad],
    ) {
        let wanted_load = wanted_loads
            .iter()
            .find(|wanted_load| wanted_load.adapter == order.adapter);
        let (action, version) = match order.action {
            OrderAction::Load { version } => ("load", version),
            OrderAction::Unload => ("unload", None),
        };
        let outcome = match answer {
            OrderAnswer::Accepted => "accepted",
            OrderAnswer::Done => "done",
            OrderAnswer::Conflict => "conflict",
            OrderAnswer::Refused => "refused",
            OrderAnswer::NoAnswer => "no_answer",
        };
        self.node
            .metrics
            .orders
            .with_label_values(&[action, outcome])
            .inc();
        let event = OrderEvent {
            server: &self.server.record().id,
            action,
            adapter: &order.adapter,
            version,
            expected_count: order.expected_count.unwrap_or_default(),
            token: order.token,
            outcome,
            took_ms,
            wanted: wanted_loads.len(),
            is_awaited: wanted_load.is_some_and(|wanted_load| !wanted_load.is_copy),
            loads_at_once: self.held.contents.borrow().loads_at_once(),
            load_wait_ms: self.held.load_wait_ms() as Millis,
        };
        events::emit(part::ORDERS, Level::Info, "order", &event);
    }

    /// Updates this box's view of the server and sends its status to other boxes.
    ///
    /// Most calls follow a check whether a load has finished, and few boxes wait for the result, so
    /// that most changes are not sent to all users of the server.
    fn publish(&self, recipients: Recipients) {
        let Some(status) = self.own_status() else {
            return;
        };
        let now_ms = self.node.now_ms();
        let change = self.server.view.borrow_mut().apply_status(status, now_ms);
        self.node.waiters.wake(&change.ready);
        if change.has_lost_adapter || recipients == Recipients::Users {
            self.server.status_received.notify_waiters();
        }
        let boxes = match recipients {
            Recipients::Affected => self.held.affected_boxes(&change, now_ms),
            Recipients::Users => self.held.user_boxes(now_ms),
        };
        for box_id in boxes {
            self.node.outbox.post_status(self.server.key, &box_id);
        }
    }

    fn own_status(&self) -> Option<ServerStatus> {
        let now_ms = self.node.now_ms();
        let own_id = self.node.settings.borrow().box_id.clone();
        let load_snapshot = self.held.load_snapshot(&own_id, now_ms);
        let takes_loads = self.held.takes_loads(&self.node, &self.server);
        if !self.held.contents.borrow().was_known() {
            return None;
        }
        let entries = if self.server.is_displaced(now_ms) {
            HashMap::new()
        } else {
            self.held.entries(&self.server, now_ms)
        };
        Some(ServerStatus {
            entries,
            running_elsewhere: load_snapshot.running_elsewhere,
            delay: load_snapshot.delay,
            backlog_ms: load_snapshot.backlog_ms,
            failure_penalty: load_snapshot.failure_penalty,
            takes_loads,
            load_wait_ms: self.held.load_wait_ms(),
            is_scarce: self.held.admission.borrow().is_scarce(),
        })
    }
}
