//! State of a server that this box holds, and the status it sends to other boxes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use tinbay_core::serving::configuration::EngineProperties;
use tinbay_core::serving::contents::{AdapterKey, Contents, Held, HeldState, Holding, adapter_key};
use tinbay_core::serving::servers::{Fingerprint, ServerKey};
use tinbay_core::serving::spread::Spreads;
use tinbay_core::serving::subscribers::{ContentsChange, MAX_FAILURE_PENALTY, Subscribers};
use tinbay_core::serving::wanted_loads::{WantedLoad, WantedLoads};
use tinbay_core::sharing::admission::AdmissionQueue;
use tinbay_core::units::Millis;

use crate::http::call::CallError;
use crate::limits::notices;
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::peers::frame::{AdapterPart, StatusPart, to_percent};
use crate::servers::Server;
use crate::servers::usage::UsageReport;
use crate::servers::view::ViewEntry;

/// Failure penalty added to a server that doesn't answer orders, about as much as for a failed
/// connection. Boxes prefer servers with a lower penalty; it decays over time.
const UNRESPONSIVE_PENALTY: f64 = 2.0;

/// Minimum interval between checks for a restart of the server. Refusals for other reasons come in
/// bursts, and each check fetches a report from the server.
const MIN_CHECK_INTERVAL_MS: Millis = 1_000;

/// Current load of a server as seen by its holder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadSnapshot {
    /// Usual time to the first byte as a fraction of the objective.
    pub delay: f64,
    /// Requests that other boxes have running there.
    pub running_elsewhere: usize,
    /// Time the server needs for the prompts queued ahead of a new request.
    pub backlog_ms: f64,
    /// Penalty for failed requests of all boxes.
    pub failure_penalty: f64,
}

/// State of a server that this box holds.
#[derive(Debug)]
pub struct HeldServer {
    /// Adapters and base models that the server holds or loads.
    pub contents: RefCell<Contents>,
    /// Load requests that are not fulfilled yet.
    pub wanted_loads: RefCell<WantedLoads>,
    /// Requests that wait for admission while the server's capacity is scarce.
    pub admission: RefCell<AdmissionQueue>,
    /// Set when the server refused a request for an adapter that it should hold.
    pub restart_check_due: Cell<bool>,
    /// Set when the server's limit changed and the boxes that use it have not been notified yet.
    pub limit_changed: Cell<bool>,
    checked_ms: Cell<Millis>,
    /// Why the last report could not be fetched.
    report_error: Cell<Option<CallError>>,
    subscribers: RefCell<Subscribers>,
    spreads: RefCell<Spreads>,
}

impl HeldServer {
    /// Creates the state of a server whose contents are still unknown.
    pub fn new(spec: &EngineProperties, now_ms: Millis) -> Self {
        Self {
            contents: RefCell::new(Contents::new(spec, now_ms)),
            wanted_loads: RefCell::default(),
            admission: RefCell::default(),
            restart_check_due: Cell::default(),
            limit_changed: Cell::default(),
            checked_ms: Cell::default(),
            report_error: Cell::default(),
            subscribers: RefCell::default(),
            spreads: RefCell::default(),
        }
    }

    /// Records whether the last report was fetched; returns the error if it is another one than
    /// before.
    pub fn record_report(&self, error: Option<CallError>) -> Option<CallError> {
        let before = self.report_error.replace(error);
        error.filter(|_| before != error)
    }

    /// Returns whether to check for a restart of the server now, and clears the request for it.
    pub fn take_due_check(&self, now_ms: Millis) -> bool {
        let is_due = now_ms >= self.checked_ms.get() + MIN_CHECK_INTERVAL_MS;
        if !is_due || !self.restart_check_due.take() {
            return false;
        }
        self.checked_ms.set(now_ms);
        true
    }

    /// Records that the server doesn't answer orders, so that boxes prefer other servers for a
    /// while.
    pub fn record_unresponsive(&self, now_ms: Millis) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.record_failures(UNRESPONSIVE_PENALTY, now_ms);
    }

    /// Records that the server accepted no connection. This raises its failure penalty to the upper
    /// bound, so that boxes prefer other servers for a while.
    pub fn record_unreachable(&self, now_ms: Millis) {
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.record_failures(MAX_FAILURE_PENALTY, now_ms);
    }

    /// Records that a box asked for the server's status.
    pub fn record_status_request(&self, box_id: &str, now_ms: Millis) {
        self.subscribers.borrow_mut().record_message(box_id, now_ms);
    }

    /// Records the adapter that a box's request needs. An adapter that is loaded already is
    /// recorded as used, so that it is kept for the request.
    pub fn record_load_request(&self, box_id: &str, wanted_load: WantedLoad, now_ms: Millis) {
        let key = adapter_key(&wanted_load.adapter);
        let mut subscribers = self.subscribers.borrow_mut();
        if wanted_load.is_copy {
            subscribers.record_message(box_id, now_ms);
        } else {
            subscribers.record_wait(box_id, key as Fingerprint, now_ms);
        }
        let mut contents = self.contents.borrow_mut();
        if contents.holding(key, wanted_load.version) == Holding::Current {
            contents.record_uses(key, 0, now_ms);
            return;
        }
        self.wanted_loads.borrow_mut().add(wanted_load, now_ms);
    }

    /// Records the requests that a box has running at the server.
    pub fn record_usage(&self, node: &Node, server: &Server, box_id: &str, report: UsageReport) {
        let now_ms = node.now_ms();
        let mut contents = self.contents.borrow_mut();
        let mut subscribers = self.subscribers.borrow_mut();
        let mut spreads = self.spreads.borrow_mut();
        let service = &server.record().service;
        for adapter_use in report.uses.iter().filter(|of| of.begun > 0) {
            contents.record_uses_of(adapter_use.adapter, u32::from(adapter_use.begun), now_ms);
            let prefill_ms = node.prefill_ms(service, adapter_use.begun_tokens);
            subscribers.record_started(prefill_ms, now_ms);
            spreads.record_started(adapter_use.adapter, prefill_ms, now_ms);
        }
        let begun = report.uses.iter().map(|of| usize::from(of.begun)).sum();
        let mut admission = self.admission.borrow_mut();
        admission.note_begun(box_fingerprint(box_id), begun, now_ms);
        subscribers.record_failures(report.failure_penalty, now_ms);
        if let Some(delay) = report.delay {
            subscribers.record_delay(delay, now_ms);
        }
        subscribers.record_uses(box_id, report.uses, now_ms);
    }

    /// Whether load requests are pending.
    pub fn has_wanted_loads(&self) -> bool {
        !self.wanted_loads.borrow().is_empty()
    }

    /// Boxes that used the server recently.
    pub fn user_boxes(&self, now_ms: Millis) -> Vec<String> {
        let subscribers = self.subscribers.borrow();
        subscribers.boxes(now_ms).map(str::to_string).collect()
    }

    /// Boxes affected by a change of the server's contents.
    pub fn affected_boxes(&self, change: &ContentsChange, now_ms: Millis) -> Vec<String> {
        let subscribers = self.subscribers.borrow();
        let boxes = subscribers.boxes_affected_by(change, now_ms);
        boxes.map(str::to_string).collect()
    }

    /// Whether requests for an adapter are running at the server.
    pub fn is_in_use(&self, server: &Server, key: AdapterKey, now_ms: Millis) -> bool {
        let subscribers = self.subscribers.borrow();
        subscribers.is_in_use(key as Fingerprint, now_ms)
            || server.usage.borrow().running_for(key) > 0
    }

    /// Whether the server could begin a load now.
    pub fn takes_loads(&self, node: &Node, server: &Server) -> bool {
        let now_ms = node.now_ms();
        if !server.takes_work(now_ms) || server.pool.link().is_down() {
            return false;
        }
        let is_in_use = |key| self.is_in_use(server, key, now_ms);
        let contents = self.contents.borrow();
        node.order_token(server).is_some() && contents.takes_loads(&is_in_use, now_ms)
    }

    /// Expected time until a load requested now is finished.
    pub fn load_wait_ms(&self) -> f64 {
        let awaited = self.wanted_loads.borrow().awaited();
        self.contents.borrow().load_wait_ms(awaited)
    }

    /// Builds the status sent to a box; `None` until the server's contents are known.
    pub fn status(&self, node: &Node, server: ServerKey, box_id: &str) -> Option<StatusPart> {
        let server = node.servers.borrow().by_key(server)?;
        let takes_loads = self.takes_loads(node, &server);
        let contents = self.contents.borrow();
        if !contents.was_known() {
            return None;
        }
        let now_ms = node.now_ms();
        let slots = server.record().slots;
        let adapters = contents
            .held()
            .map(|(key, held)| adapter_part(*key, held, self.copies(*key, slots, now_ms)))
            .collect();
        let mut subscribers = self.subscribers.borrow_mut();
        subscribers.record_status_sent(box_id, now_ms);
        let running = subscribers.running_of_others(box_id, now_ms);
        Some(StatusPart {
            limit: notices::of_server(node, &server),
            server: server.fingerprint(),
            running_elsewhere: running.min(usize::from(u16::MAX)) as u16,
            delay_percent: to_percent(subscribers.delay(now_ms)),
            backlog_ms: subscribers.backlog_ms(now_ms).min(f64::from(u16::MAX)) as u16,
            failure_penalty_percent: to_percent(subscribers.failure_penalty(now_ms)),
            takes_loads,
            load_wait_ms: self.load_wait_ms().min(f64::from(u16::MAX)) as u16,
            adapters,
            is_scarce: self.admission.borrow().is_scarce(),
        })
    }

    /// Load of the server without the requests of `box_id`.
    pub fn load_snapshot(&self, box_id: &str, now_ms: Millis) -> LoadSnapshot {
        let subscribers = self.subscribers.borrow();
        LoadSnapshot {
            delay: subscribers.delay(now_ms),
            running_elsewhere: subscribers.running_of_others(box_id, now_ms),
            backlog_ms: subscribers.backlog_ms(now_ms),
            failure_penalty: subscribers.failure_penalty(now_ms),
        }
    }

    /// Requests that all boxes, this one included, have reported as running.
    pub fn running(&self, now_ms: Millis) -> usize {
        self.subscribers.borrow().running(now_ms)
    }

    /// Time the server needs for the prompts queued ahead of a new request.
    pub fn backlog_ms(&self, now_ms: Millis) -> f64 {
        self.subscribers.borrow().backlog_ms(now_ms)
    }

    /// Number of servers over which an adapter is spread, counted along its order of preferred
    /// servers.
    fn copies(&self, key: AdapterKey, slots: usize, now_ms: Millis) -> usize {
        let adapter = key as Fingerprint;
        let running = self.subscribers.borrow().running_for(adapter, now_ms);
        let running_share = running as f64 / slots.max(1) as f64;
        let mut spreads = self.spreads.borrow_mut();
        spreads.copies(adapter, running_share, now_ms)
    }

    /// State of an adapter at the server; `None` if it isn't there.
    pub fn entry(&self, server: &Server, key: AdapterKey, now_ms: Millis) -> Option<ViewEntry> {
        let contents = self.contents.borrow();
        let held = contents.get(key)?;
        Some(ViewEntry {
            version: held.version.unwrap_or_default(),
            state: held.state,
            copies: self.copies(key, server.record().slots, now_ms),
        })
    }

    /// State of all adapters at the server, by fingerprint.
    pub fn entries(&self, server: &Server, now_ms: Millis) -> HashMap<Fingerprint, ViewEntry> {
        let keys: Vec<AdapterKey> = {
            let contents = self.contents.borrow();
            contents.held().map(|(key, _)| *key).collect()
        };
        keys.into_iter()
            .filter_map(|key| Some((key as Fingerprint, self.entry(server, key, now_ms)?)))
            .collect()
    }

    /// Drops boxes that no longer use the server and adapters that are no longer requested.
    pub fn tidy(&self, now_ms: Millis) {
        self.subscribers.borrow_mut().tidy(now_ms);
        self.spreads.borrow_mut().tidy(now_ms);
    }
}

fn adapter_part(key: AdapterKey, held: &Held, copies: usize) -> AdapterPart {
    AdapterPart {
        adapter: key as Fingerprint,
        version: held.version.unwrap_or_default() as u32,
        is_ready: held.state == HeldState::Ready,
        copies: copies.min(usize::from(u8::MAX)) as u8,
    }
}
