//! Orders one server what to hold, while this box holds the claim on it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Method;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::contents::{Action, Look, ModelAllowance, OrderAnswer, adapter_key};
use tinbay_core::serving::servers::{Report, ServerRecord};
use tinbay_core::serving::wants::Want;
use tinbay_core::units::Millis;

use super::held_server::HeldServer;
use super::quota;
use crate::events::{self, part};
use crate::front::question::text;
use crate::http::call::{Call, CallError, Caller, Reply};
use crate::node::Node;
use crate::port::dialect::{DecodeError, Order, OrderAction};
use crate::servers::notices::{self, AnswerHead, AskedFor};
use crate::servers::view::ServerStatus;
use crate::servers::{Server, ServerChange};
use crate::watch::servers::log_change;

/// Longest wait for a report.
const REPORT_TIMEOUT_MS: Millis = 500;

/// Longest wait for the answer to an order; most come within a few milliseconds.
const ORDER_TIMEOUT_MS: Millis = 60;

/// Copies of an order that are sent at once when one has no answer: all name the same count, so that
/// one of them is taken at most. Where nine of ten orders were lost, 0.73 to 0.75 of the requests
/// were served with four copies, 0.70 with one at a time (three simulated days).
const COPIES: usize = 4;

/// How often an order is sent whose answer does not come. It may have been taken, or be taken
/// later: each names the same count of orders taken before, so that only one of them is, and
/// until it is known which one, no other order may name that count.
const MOST_SENDS: usize = 16;

/// Sends without an answer after which other boxes are told to use other servers.
const DOUBTFUL_SENDS: usize = 4;

/// Longest pause between looks at what is wanted; a new want ends it.
const LONGEST_PAUSE_MS: Millis = 1_000;

/// Pause between looks while something is wanted that can't be loaded yet.
const WANTED_PAUSE_MS: Millis = 30;

/// Status by which a server refuses what was meant for another one, or is not there.
const MISDIRECTED: u16 = 421;

/// Pause while there is no proof or another server has the address.
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

/// Which boxes are told how a server stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// Those that the change of its contents concerns.
    Concerned,
    /// All that used it lately: its contents are known for the first time, or it fails.
    Users,
}

/// Starts to hold a server, unless this box does so already.
pub fn ensure(node: &Rc<Node>, server: &Rc<Server>) {
    if node.held_servers.borrow().contains_key(&server.key) {
        return;
    }
    let Some(spec) = node.engine_spec(&server.record().service) else {
        return;
    };
    let held = Rc::new(HeldServer::new(&spec, node.now_ms()));
    node.held_servers
        .borrow_mut()
        .insert(server.key, Rc::clone(&held));
    let holder = Holder {
        node: Rc::clone(node),
        server: Rc::clone(server),
        held,
        caller: Caller::new(server.record().address),
    };
    tokio::task::spawn_local(holder.run());
}

/// This box's part of what the weight store allows, for one of its servers.
struct Allowance<'a> {
    holder: &'a Holder,
    now_ms: Millis,
}

impl ModelAllowance for Allowance<'_> {
    fn take(&mut self) -> bool {
        let node = &self.holder.node;
        let service = self.holder.server.record().service.clone();
        let quota = quota::of_service(node, &service).unwrap_or_default();
        let window_ms = node.settings.borrow().bounds.loads.window_ms;
        let mut paces = node.paces.borrow_mut();
        let pace = paces.entry(service).or_default();
        pace.take(quota, window_ms, self.now_ms)
    }
}

struct Holder {
    node: Rc<Node>,
    server: Rc<Server>,
    held: Rc<HeldServer>,
    caller: Caller,
}

impl Holder {
    async fn run(self) {
        while self.is_known() {
            let Some(token) = self.node.order_token(&self.server) else {
                if !self.is_own() {
                    break;
                }
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            };
            if self.held.has_limit_news.take() {
                self.publish(Reach::Users);
            }
            let now_ms = self.node.now_ms();
            if !self.may_ask(now_ms) {
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            }
            if self.held.takes_check(now_ms) {
                // Only whether the report is of this incarnation matters.
                let _ = self.report().await;
                continue;
            }
            let wants = self.held.wants.borrow_mut().current(now_ms);
            match self.next_action(&wants, now_ms) {
                Some(Action::Learn) => self.learn().await,
                Some(Action::Look) => self.look().await,
                Some(action) => self.order(&action, token, &wants).await,
                None => self.pause(&wants).await,
            }
        }
        self.node.held_servers.borrow_mut().remove(&self.server.key);
    }

    fn is_known(&self) -> bool {
        self.node.servers.borrow().by_key(self.server.key).is_some()
    }

    fn is_own(&self) -> bool {
        let own_id = self.node.settings.borrow().box_id.clone();
        self.node.holder_of(&self.server).as_deref() == Some(own_id.as_str())
    }

    /// Whether the server may be asked for anything: another one has its address, or it rests.
    fn may_ask(&self, now_ms: Millis) -> bool {
        !self.server.is_displaced(now_ms) && self.server.rest_until_ms(now_ms).is_none()
    }

    fn next_action(&self, wants: &[Want], now_ms: Millis) -> Option<Action> {
        let look = Look {
            named: &|adapter: &str| self.node.named_version(adapter),
            is_in_use: &|key| self.held.is_in_use(&self.server, key, now_ms),
            now_ms,
        };
        let mut allowance = Allowance {
            holder: self,
            now_ms,
        };
        let contents = self.held.contents.borrow();
        contents.next_action(wants, &look, &mut allowance)
    }

    async fn pause(&self, wants: &[Want]) {
        let now_ms = self.node.now_ms();
        let longest_ms = if wants.is_empty() {
            LONGEST_PAUSE_MS
        } else {
            WANTED_PAUSE_MS
        };
        let look_ms = self.held.contents.borrow().next_look_ms();
        let pause_ms = look_ms.map_or(longest_ms, |look_ms| look_ms.saturating_sub(now_ms));
        let pause = Duration::from_millis(pause_ms.clamp(1, longest_ms));
        let _ = tokio::time::timeout(pause, self.server.order_due.notified()).await;
    }

    async fn learn(&self) {
        let Some(report) = self.report().await else {
            self.held.contents.borrow_mut().unlearn(self.node.now_ms());
            return;
        };
        self.log_report(&report);
        let is_first = !self.held.contents.borrow().was_learnt();
        self.held
            .contents
            .borrow_mut()
            .note_report(&report, self.node.now_ms());
        self.publish(if is_first {
            Reach::Users
        } else {
            Reach::Concerned
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

    /// Sees by the server's report which loads and unloads are done.
    async fn look(&self) {
        let report = self.report().await;
        let done = {
            let mut contents = self.held.contents.borrow_mut();
            contents.note_look(report.as_ref(), self.node.now_ms())
        };
        let mut wants = self.held.wants.borrow_mut();
        for key in done {
            wants.forget(key);
        }
        drop(wants);
        self.publish(Reach::Concerned);
    }

    async fn report(&self) -> Option<Report> {
        let path = self.node.dialect.report_path().to_string();
        let call = self.call(Method::GET, path, Bytes::new(), REPORT_TIMEOUT_MS);
        let asked_ms = self.node.now_ms();
        match self.caller.call(&call).await {
            Ok(reply) => self.read_reply(&reply, asked_ms),
            Err(error) => {
                self.note_unreachable(error);
                None
            }
        }
    }

    /// Reads the answer to a question for a report, with what its head says of the server.
    fn read_reply(&self, reply: &Reply, asked_ms: Millis) -> Option<Report> {
        if reply.status != 200 {
            self.take_notice(AskedFor::Report, asked_ms, reply);
            return None;
        }
        let report = self.read_report(&reply.body)?;
        self.take_notice(AskedFor::Report, asked_ms, reply);
        Some(report)
    }

    fn take_notice(&self, asked_for: AskedFor<'_>, asked_ms: Millis, reply: &Reply) {
        if self.is_of_another(reply) {
            return;
        }
        let head = AnswerHead {
            asked_for,
            asked_ms,
            status: reply.status,
            headers: &reply.headers,
            has_run: false,
        };
        if notices::take(&self.node, &self.server, &head) {
            // Others ask for no load at a server that leaves or rests.
            self.publish(Reach::Users);
        }
    }

    /// Reads a report; one of another incarnation says nothing of this one.
    fn read_report(&self, body: &[u8]) -> Option<Report> {
        let report = match self.node.dialect.decode_report(body) {
            Ok(report) => report,
            Err(error) => {
                self.log_unreadable(&error);
                return None;
            }
        };
        let record = self.server.record();
        if report.born_ms.is_none() || record.born_ms.is_none() || report.born_ms == record.born_ms
        {
            return Some(report);
        }
        // The server has started again under its name, and its entry does not show it yet.
        let restarted = ServerRecord {
            born_ms: report.born_ms,
            order_count: report.order_count,
            models: report.models,
            adapters: report.adapters,
            ..(*record).clone()
        };
        let change = self.node.servers.borrow_mut().put(restarted.clone());
        if change == ServerChange::Restarted {
            log_change(&restarted, change);
        }
        None
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

    async fn order(&self, action: &Action, token: u64, wants: &[Want]) {
        let Some(order) = self.order_of(action, token) else {
            return;
        };
        let began_ms = self.node.now_ms();
        let answer = self.send_until_answered(action, &order, token).await;
        let now_ms = self.node.now_ms();
        let mut contents = self.held.contents.borrow_mut();
        contents.note_answer(action, answer, now_ms);
        drop(contents);
        if let (OrderAction::Load { .. }, OrderAnswer::Done) = (&order.action, answer) {
            let mut wants = self.held.wants.borrow_mut();
            wants.forget(adapter_key(&order.adapter));
        }
        self.log_order(&order, answer, now_ms - began_ms, wants);
        self.publish(Reach::Concerned);
    }

    /// Sends an order until it is known whether it was taken, or too often.
    async fn send_until_answered(&self, action: &Action, order: &Order, token: u64) -> OrderAnswer {
        let mut answer = self.send(order).await;
        let mut unanswered = 0;
        while answer == OrderAnswer::NoAnswer && unanswered < MOST_SENDS && self.may_order(token) {
            unanswered += 1;
            if unanswered == DOUBTFUL_SENDS {
                self.held.note_doubtful(self.node.now_ms());
                self.publish(Reach::Users);
            }
            answer = self.send_copies(order).await;
        }
        let mut contents = self.held.contents.borrow_mut();
        contents.settle(action, answer, unanswered, self.node.now_ms())
    }

    /// Sends an order several times at once; the first answer that says what became of it.
    async fn send_copies(&self, order: &Order) -> OrderAnswer {
        let mut copies: FuturesUnordered<_> = (0..COPIES).map(|_| self.send(order)).collect();
        let mut best = OrderAnswer::NoAnswer;
        while let Some(answer) = copies.next().await {
            match answer {
                OrderAnswer::NoAnswer => {}
                // Another copy may be the one that was taken.
                OrderAnswer::Conflict => best = answer,
                _ => return answer,
            }
        }
        best
    }

    fn may_order(&self, token: u64) -> bool {
        self.node.order_token(&self.server) == Some(token) && self.may_ask(self.node.now_ms())
    }

    async fn send(&self, order: &Order) -> OrderAnswer {
        let body = self.node.dialect.encode_order(order);
        let path = self.node.dialect.order_path().to_string();
        let call = self.call(Method::POST, path, body, ORDER_TIMEOUT_MS);
        let asked_ms = self.node.now_ms();
        match self.caller.call(&call).await {
            Ok(reply) => {
                if self.is_of_another(&reply) {
                    self.note_displaced();
                }
                self.take_notice(AskedFor::Order, asked_ms, &reply);
                match reply.status {
                    200 => OrderAnswer::Done,
                    202 => OrderAnswer::Accepted,
                    409 => OrderAnswer::Conflict,
                    _ => OrderAnswer::Refused,
                }
            }
            Err(error) => {
                self.note_unreachable(error);
                match error {
                    CallError::NotConnected => OrderAnswer::Refused,
                    CallError::NoAnswer => OrderAnswer::NoAnswer,
                }
            }
        }
    }

    /// Whether another server answered an order that was meant for this one: it says so, or it refused
    /// what was misdirected and another entry has the same address.
    fn is_of_another(&self, reply: &Reply) -> bool {
        let name = &self.node.dialect.headers().server_id;
        match text(&reply.headers, name) {
            Some(id) => id != self.server.record().id,
            None => {
                let servers = self.node.servers.borrow();
                reply.status == MISDIRECTED && servers.shares_address(&self.server)
            }
        }
    }

    /// Another server has the address: its reports were taken for this one's.
    fn note_displaced(&self) {
        let now_ms = self.node.now_ms();
        self.server.note_displaced(now_ms);
        self.held.note_unreachable(now_ms);
        self.publish(Reach::Users);
    }

    /// Has all that use the server told that it takes no connection.
    fn note_unreachable(&self, error: CallError) {
        if error == CallError::NotConnected {
            self.held.note_unreachable(self.node.now_ms());
            self.publish(Reach::Users);
        }
    }

    fn order_of(&self, action: &Action, token: u64) -> Option<Order> {
        let (action, adapter, expected_count) = match action {
            Action::Learn | Action::Look => return None,
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

    fn call(&self, method: Method, path: String, body: Bytes, timeout_ms: Millis) -> Call {
        let name = self.node.dialect.headers().expect_server.clone();
        Call {
            method,
            path,
            body,
            header: Some((name, self.server.record().id.clone())),
            timeout_ms,
        }
    }

    fn log_order(&self, order: &Order, answer: OrderAnswer, took_ms: Millis, wants: &[Want]) {
        let want = wants.iter().find(|want| want.adapter == order.adapter);
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
            wanted: wants.len(),
            is_awaited: want.is_some_and(|want| !want.is_copy),
            loads_at_once: self.held.contents.borrow().loads_at_once(),
            load_wait_ms: self.held.load_wait_ms() as Millis,
        };
        events::emit(part::ORDERS, Level::Info, "order", &event);
    }

    /// Tells this box and others what the server holds now.
    ///
    /// An order only looks whether a load is done most of the time, and few boxes wait for what it
    /// changes. Telling each change to all users of a server took 80 to 200 KB/s at the holder of
    /// one server with 195 boxes, counted by kind of message on a day of trouble.
    fn publish(&self, reach: Reach) {
        let Some(status) = self.own_status() else {
            return;
        };
        let now_ms = self.node.now_ms();
        let change = self.server.view.borrow_mut().note(status, now_ms);
        self.node.waiters.wake(&change.ready);
        if change.has_lost || reach == Reach::Users {
            self.server.status_came.notify_waiters();
        }
        let boxes = match reach {
            Reach::Concerned => self.held.concerned_boxes(&change, now_ms),
            Reach::Users => self.held.user_boxes(now_ms),
        };
        for box_id in boxes {
            self.node.outbox.tell_box(self.server.key, &box_id);
        }
    }

    fn own_status(&self) -> Option<ServerStatus> {
        let now_ms = self.node.now_ms();
        let own_id = self.node.settings.borrow().box_id.clone();
        let busyness = self.held.busyness(&own_id, now_ms);
        let takes_loads = self.held.takes_loads(&self.node, &self.server);
        if !self.held.contents.borrow().was_learnt() {
            return None;
        }
        let entries = if self.server.is_displaced(now_ms) {
            HashMap::new()
        } else {
            self.held.entries(&self.server, now_ms)
        };
        Some(ServerStatus {
            entries,
            running_elsewhere: busyness.running_elsewhere,
            delay: busyness.delay,
            backlog_ms: busyness.backlog_ms,
            mistrust: busyness.mistrust,
            takes_loads,
            load_wait_ms: self.held.load_wait_ms(),
            is_scarce: self.held.room.borrow().is_scarce(),
        })
    }
}
