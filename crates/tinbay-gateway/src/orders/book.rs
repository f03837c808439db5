//! What this box knows of a server that it holds, and what it tells others of it.

use std::cell::RefCell;

use tinbay_core::serving::configuration::EngineSpec;
use tinbay_core::serving::contents::{AdapterKey, Contents, Held, HeldState, Holding, adapter_key};
use tinbay_core::serving::guests::{AdapterUse, Guests};
use tinbay_core::serving::servers::{Fingerprint, ServerKey};
use tinbay_core::serving::wants::{Want, Wants};
use tinbay_core::units::Millis;

use crate::node::Node;
use crate::peers::frame::{AdapterPart, WordPart, to_percent};
use crate::servers::Server;

/// What this box knows of a server that it holds.
#[derive(Debug)]
pub struct Book {
    /// What the server holds.
    pub contents: RefCell<Contents>,
    /// What is asked of it.
    pub wants: RefCell<Wants>,
    guests: RefCell<Guests>,
}

impl Book {
    /// A server whose contents are to be learnt.
    pub fn new(spec: &EngineSpec, now_ms: Millis) -> Self {
        Self {
            contents: RefCell::new(Contents::new(spec, now_ms)),
            wants: RefCell::default(),
            guests: RefCell::default(),
        }
    }

    /// Notes what a box's request needs. An adapter that is there is kept for the request.
    pub fn note_ask(&self, box_id: &str, want: Want, now_ms: Millis) {
        self.guests.borrow_mut().hear(box_id, now_ms);
        let key = adapter_key(&want.adapter);
        let mut contents = self.contents.borrow_mut();
        if contents.holding(key, want.version) == Holding::Current {
            contents.note_uses(key, 0, now_ms);
            return;
        }
        self.wants.borrow_mut().ask(want, now_ms);
    }

    /// Notes all that a box has running; whether it is to be told what the server holds.
    pub fn note_uses(
        &self,
        box_id: &str,
        uses: Vec<AdapterUse>,
        delay: Option<f64>,
        now_ms: Millis,
    ) -> bool {
        let mut contents = self.contents.borrow_mut();
        for of in uses.iter().filter(|of| of.begun > 0) {
            contents.note_uses_of(of.adapter, u32::from(of.begun), now_ms);
        }
        let mut guests = self.guests.borrow_mut();
        if let Some(delay) = delay {
            guests.note_delay(delay, now_ms);
        }
        guests.note_uses(box_id, uses, now_ms)
    }

    /// Whether something is wanted.
    pub fn has_wants(&self) -> bool {
        !self.wants.borrow().is_empty()
    }

    /// Boxes that are to be told what changes.
    pub fn guest_boxes(&self, now_ms: Millis) -> Vec<String> {
        let guests = self.guests.borrow();
        guests.boxes(now_ms).map(str::to_string).collect()
    }

    /// Whether requests for an adapter run at the server.
    pub fn is_in_use(&self, server: &Server, key: AdapterKey, now_ms: Millis) -> bool {
        let guests = self.guests.borrow();
        guests.is_in_use(key as Fingerprint, now_ms) || server.usage.borrow().running_for(key) > 0
    }

    /// Whether a load could begin.
    pub fn takes_loads(&self, node: &Node, server: &Server) -> bool {
        let now_ms = node.now_ms();
        let is_in_use = |key| self.is_in_use(server, key, now_ms);
        let contents = self.contents.borrow();
        node.order_token(server).is_some() && contents.takes_loads(&is_in_use, now_ms)
    }

    /// What a box is told of the server; nothing before its contents are known.
    pub fn word(&self, node: &Node, server: ServerKey, box_id: &str) -> Option<WordPart> {
        let server = node.servers.borrow().by_key(server)?;
        let takes_loads = self.takes_loads(node, &server);
        let contents = self.contents.borrow();
        if !contents.is_learnt() {
            return None;
        }
        let now_ms = node.now_ms();
        let mut guests = self.guests.borrow_mut();
        guests.note_told(box_id, now_ms);
        let running = guests.running_of_others(box_id, now_ms);
        Some(WordPart {
            server: server.fingerprint(),
            running_elsewhere: running.min(usize::from(u16::MAX)) as u16,
            delay_percent: to_percent(guests.delay(now_ms)),
            takes_loads,
            adapters: contents.held().map(adapter_part).collect(),
        })
    }

    /// Usual time to the first byte, and requests of other boxes than `box_id`.
    pub fn busyness(&self, box_id: &str, now_ms: Millis) -> (f64, usize) {
        let guests = self.guests.borrow();
        let running = guests.running_of_others(box_id, now_ms);
        (guests.delay(now_ms), running)
    }

    /// Forgets boxes that have been silent.
    pub fn tidy(&self, now_ms: Millis) {
        self.guests.borrow_mut().tidy(now_ms);
    }
}

fn adapter_part((key, held): (&AdapterKey, &Held)) -> AdapterPart {
    AdapterPart {
        adapter: *key as Fingerprint,
        version: held.version.unwrap_or_default() as u32,
        is_ready: held.state == HeldState::Ready,
    }
}
