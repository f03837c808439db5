//! Orders one server what to hold, while this box holds the claim on it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use log::Level;
use serde::Serialize;
use tinbay_core::serving::contents::{
    Action, AdapterKey, Contents, Held, ModelAllowance, OrderAnswer, Want, adapter_key,
};
use tinbay_core::serving::placing::Candidate;
use tinbay_core::units::Millis;

use super::memory::{self, ServerMemory};
use super::quota;
use crate::events::{self, part};
use crate::http::call::{Call, CallError, Caller};
use crate::node::Node;
use crate::peers::frame::Fingerprint;
use crate::port::dialect::{Order, OrderAction};
use crate::servers::{Server, ServerKey, ViewEntry};

/// Longest wait for a report.
const REPORT_TIMEOUT_MS: Millis = 500;

/// Longest wait for the answer to an order; most come within a few milliseconds.
const ORDER_TIMEOUT_MS: Millis = 150;

/// How often an order is sent whose answer does not come. It may have been taken, or be taken
/// later: each names the same count of orders taken before, so that only one of them is.
const MOST_SENDS: usize = 4;

/// Longest pause between looks at what is wanted; a new want ends it.
const LONGEST_PAUSE_MS: Millis = 25;

/// Pause while there is no proof.
const NO_PROOF_PAUSE: Duration = Duration::from_millis(50);

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
    #[serde(skip_serializing_if = "Option::is_none")]
    asked: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    waiting: Option<f64>,
}

#[derive(Serialize)]
struct ReportEvent<'a> {
    server: &'a str,
    order_count: u64,
    adapters: usize,
    incoming: usize,
    at_hand: usize,
}

/// Starts to hold a server, unless this box does so already.
pub fn ensure(node: &Rc<Node>, server: &Rc<Server>) {
    if node.books.borrow().contains_key(&server.key) {
        return;
    }
    let Some(spec) = node.engine_spec(&server.record().service) else {
        return;
    };
    let book = Rc::new(RefCell::new(Contents::new(spec, node.now_ms())));
    node.books.borrow_mut().insert(server.key, Rc::clone(&book));
    let holder = Holder {
        node: Rc::clone(node),
        server: Rc::clone(server),
        book,
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
    book: Rc<RefCell<Contents>>,
    caller: Caller,
}

impl Holder {
    async fn run(self) {
        let memory = memory::read(&self.node, &self.server.record().id).await;
        self.take_over(&memory);
        while self.is_known() {
            let Some(token) = self.node.order_token(&self.server) else {
                if !self.is_own() {
                    break;
                }
                tokio::time::sleep(NO_PROOF_PAUSE).await;
                continue;
            };
            let now_ms = self.node.now_ms();
            let wants = self.wants(now_ms);
            match self.next_action(&wants, now_ms) {
                Some(Action::Learn) => self.learn().await,
                Some(action) => self.order(&action, token, &wants).await,
                None => self.pause().await,
            }
        }
        self.node.books.borrow_mut().remove(&self.server.key);
    }

    fn take_over(&self, memory: &ServerMemory) {
        let now_ms = self.node.now_ms();
        self.book.borrow_mut().note_memory(&memory.had);
        let mut ledger = self.node.ledger.borrow_mut();
        ledger.remember(self.server.key, &memory.asked, now_ms);
    }

    fn is_known(&self) -> bool {
        self.node.servers.borrow().by_key(self.server.key).is_some()
    }

    fn is_own(&self) -> bool {
        let own_id = self.node.settings.borrow().box_id.clone();
        self.node.holder_of(&self.server).as_deref() == Some(own_id.as_str())
    }

    /// What goes to this server of all that is asked of the servers held here.
    fn wants(&self, now_ms: Millis) -> Vec<Want> {
        self.node.note_own_wants();
        let held = self.node.held_of_service(&self.server.record().service);
        let keys: Vec<ServerKey> = held.iter().map(|server| server.key).collect();
        let mut wants = self.node.ledger.borrow_mut().wants(&keys, now_ms);
        wants.retain(|want| self.place(want, &held) == Some(self.server.key));
        wants
    }

    fn place(&self, want: &Want, held: &[Rc<Server>]) -> Option<ServerKey> {
        let placed = (adapter_key(&want.adapter), want.is_copy);
        let mut placing = self.node.placing.borrow_mut();
        let chosen = placing.chosen(placed);
        if chosen.is_some_and(|chosen| held.iter().any(|server| server.key == chosen)) {
            return chosen;
        }
        let candidates: Vec<Candidate> = held
            .iter()
            .filter_map(|server| self.candidate(server, want))
            .collect();
        placing.place(placed, &candidates)
    }

    fn candidate(&self, server: &Server, want: &Want) -> Option<Candidate> {
        let books = self.node.books.borrow();
        let book = books.get(&server.key)?.borrow();
        if !book.is_learnt() {
            return None;
        }
        let key = adapter_key(&want.adapter);
        Some(Candidate {
            server: server.key,
            holding: book.holding(key, want.version),
            had: book.loads_fast(key, want.version),
            load: book.fullness() + server.usual_fullness(),
        })
    }

    fn next_action(&self, wants: &[Want], now_ms: Millis) -> Option<Action> {
        let named = |adapter: &str| self.node.named_version(adapter);
        let mut allowance = Allowance {
            holder: self,
            now_ms,
        };
        let mut book = self.book.borrow_mut();
        for (key, uses) in self.node.uses.borrow_mut().take(self.server.key) {
            book.note_uses(key, uses, now_ms);
        }
        book.next_action(wants, &named, &mut allowance, now_ms)
    }

    async fn pause(&self) {
        let now_ms = self.node.now_ms();
        if self.book.borrow().is_learnt() {
            self.server.confirm_view(now_ms);
        }
        let look_ms = self
            .book
            .borrow()
            .next_look_ms()
            .unwrap_or(now_ms + LONGEST_PAUSE_MS);
        let pause_ms = look_ms.saturating_sub(now_ms).clamp(1, LONGEST_PAUSE_MS);
        let pause = Duration::from_millis(pause_ms);
        let _ = tokio::time::timeout(pause, self.server.order_due.notified()).await;
    }

    async fn learn(&self) {
        let path = self.node.dialect.report_path().to_string();
        let reply = self
            .caller
            .call(&self.call(Method::GET, path, Bytes::new(), REPORT_TIMEOUT_MS))
            .await;
        let report = match reply {
            Ok(reply) if reply.status == 200 => self.node.dialect.decode_report(&reply.body).ok(),
            _ => None,
        };
        let Some(report) = report else {
            self.book.borrow_mut().unlearn(self.node.now_ms());
            return;
        };
        let event = ReportEvent {
            server: &self.server.record().id,
            order_count: report.order_count,
            adapters: report.adapters.len(),
            incoming: report.incoming.len(),
            at_hand: report.at_hand.len(),
        };
        events::emit(part::ORDERS, Level::Info, "report", &event);
        self.book
            .borrow_mut()
            .note_report(&report, self.node.now_ms());
        self.publish();
    }

    async fn order(&self, action: &Action, token: u64, wants: &[Want]) {
        let Some(order) = self.order_of(action, token) else {
            return;
        };
        let began_ms = self.node.now_ms();
        let mut answer = self.send(&order).await;
        let mut sends = 1;
        while answer == OrderAnswer::NoAnswer && sends < MOST_SENDS && self.may_order(token) {
            answer = self.send(&order).await;
            sends += 1;
        }
        let now_ms = self.node.now_ms();
        self.book.borrow_mut().note_answer(action, answer, now_ms);
        if answer == OrderAnswer::Done {
            let mut ledger = self.node.ledger.borrow_mut();
            let key = adapter_key(&order.adapter);
            ledger.forget(self.server.key, key);
            let mut placing = self.node.placing.borrow_mut();
            placing.forget((key, false));
            placing.forget((key, true));
        }
        self.log_order(&order, answer, now_ms - began_ms, wants);
        self.publish();
    }

    fn may_order(&self, token: u64) -> bool {
        self.node.order_token(&self.server) == Some(token)
    }

    async fn send(&self, order: &Order) -> OrderAnswer {
        let body = self.node.dialect.encode_order(order);
        let path = self.node.dialect.order_path().to_string();
        let call = self.call(Method::POST, path, body, ORDER_TIMEOUT_MS);
        match self.caller.call(&call).await {
            Ok(reply) => match reply.status {
                200 => OrderAnswer::Done,
                202 => OrderAnswer::Accepted,
                409 => OrderAnswer::Conflict,
                _ => OrderAnswer::Refused,
            },
            Err(CallError::NotConnected) => OrderAnswer::Refused,
            Err(CallError::NoAnswer) => OrderAnswer::NoAnswer,
        }
    }

    fn order_of(&self, action: &Action, token: u64) -> Option<Order> {
        let (action, adapter, expected_count) = match action {
            Action::Learn => return None,
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
            asked: want.map(|want| want.asked),
            waiting: want.map(|want| want.waiting),
        };
        events::emit(part::ORDERS, Level::Info, "order", &event);
    }

    /// Tells this box and the others what the server holds now.
    fn publish(&self) {
        let now_ms = self.node.now_ms();
        let entries: HashMap<Fingerprint, ViewEntry> = {
            let book = self.book.borrow();
            if !book.is_learnt() {
                return;
            }
            let entry = |(key, held): (&AdapterKey, &Held)| {
                let version = held.version.unwrap_or_default();
                let state = held.state;
                (*key as Fingerprint, ViewEntry { version, state })
            };
            book.held().map(entry).collect()
        };
        let change = self.server.note_view(entries, now_ms);
        self.node.waiters.wake(&change.ready);
        if change.is_any {
            self.node.tell_contents(self.server.key);
        }
    }
}
