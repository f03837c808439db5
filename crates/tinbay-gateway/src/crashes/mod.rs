//! Requests under which servers crash: seen, told to the boxes that judge, and refused by all.
//!
//! A box tells each crash that it saw to the few boxes that judge the request; one that has counted
//! enough has the request refused, tells all boxes, and writes it into the store for those that
//! start later. So a crash costs some messages, and only what is refused goes to every box.

pub mod check;
pub mod entries;
pub mod spread;

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};

use log::Level;
use serde::Serialize;
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::ledger::{CRASHES_TO_REFUSE, CrashKey, CrashLedger};
use tinbay_core::crashes::proven::ProvenRequests;
use tinbay_core::crashes::quarantine::Quarantine;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use crate::events::{self, part};
use crate::node::Node;

/// What this box knows of requests under which servers crash.
#[derive(Debug, Default)]
pub struct Crashes {
    ledger: RefCell<CrashLedger>,
    proven: RefCell<ProvenRequests>,
    quarantine: RefCell<Quarantine>,
    /// Requests that were cut by servers that are still being checked, as often as they were.
    in_check: RefCell<HashMap<RequestDigest, usize>>,
    /// Told when a check is done.
    check_done: Notify,
    /// Requests that this box has found and that the store does not have yet.
    unsaved: RefCell<VecDeque<RequestDigest>>,
    save_due: Notify,
}

/// How this box came to refuse a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// It counted the crashes.
    Counted,
    /// Another box told it.
    Told,
    /// The store has it.
    Stored,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Counted => "counted",
            Source::Told => "told",
            Source::Stored => "stored",
        }
    }
}

#[derive(Serialize)]
struct QuarantineEvent {
    digest: String,
    source: &'static str,
    age_ms: Millis,
    is_overruled: bool,
}

impl Crashes {
    /// Forgets what is over.
    pub fn tidy(&self, now_ms: Millis) {
        self.quarantine.borrow_mut().tidy(now_ms);
    }

    fn begin_check(&self, digest: RequestDigest) {
        *self.in_check.borrow_mut().entry(digest).or_default() += 1;
    }

    fn end_check(&self, digest: RequestDigest) {
        let mut in_check = self.in_check.borrow_mut();
        if let Some(count) = in_check.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                in_check.remove(&digest);
            }
        }
        self.check_done.notify_waiters();
    }

    /// How many requests are refused, and how many are suspected.
    pub fn counts(&self, now_ms: Millis) -> (usize, usize) {
        let refused = self.quarantine.borrow().ages(now_ms).len();
        (refused, self.ledger.borrow().len())
    }
}

/// Whether a request is refused; not where this box has seen it end well.
pub fn is_refused(node: &Node, digest: RequestDigest) -> bool {
    let is_held = node
        .crashes
        .quarantine
        .borrow()
        .holds(digest, node.now_ms());
    is_held && !node.crashes.proven.borrow().contains(digest)
}

/// Waits until it is known whether servers crashed that cut a request just now, some milliseconds.
/// One that came back within that time crashed ten servers before the first one was counted.
pub async fn wait_for_checks(node: &Node, digest: RequestDigest) {
    loop {
        let done = node.crashes.check_done.notified();
        if !node.crashes.in_check.borrow().contains_key(&digest) {
            return;
        }
        done.await;
    }
}

/// Notes that a request ended well.
pub fn note_proven(node: &Node, digest: RequestDigest) {
    node.crashes.proven.borrow_mut().note(digest);
    node.crashes.ledger.borrow_mut().clear(digest);
}

/// Counts a crash under a request, seen by this box or told by another one.
pub fn count(node: &Node, digest: RequestDigest, crash: CrashKey) {
    if node.crashes.proven.borrow().contains(digest) {
        return;
    }
    let now_ms = node.now_ms();
    let crashes = node.crashes.ledger.borrow_mut().note(digest, crash, now_ms);
    if crashes >= CRASHES_TO_REFUSE && refuse(node, digest, 0, Source::Counted) {
        node.crashes.unsaved.borrow_mut().push_back(digest);
        node.crashes.save_due.notify_one();
        spread::post_news(node, digest, spread::Audience::AllZones);
    }
}

/// Has the entries of all refused requests written again: the store has lost them. How many there are.
pub fn save_again(node: &Node) -> usize {
    let refused = node.crashes.quarantine.borrow().ages(node.now_ms());
    let mut unsaved = node.crashes.unsaved.borrow_mut();
    for (digest, _) in &refused {
        if !unsaved.contains(digest) {
            unsaved.push_back(*digest);
        }
    }
    node.crashes.save_due.notify_one();
    refused.len()
}

/// Takes another box's word on a request that is refused.
pub fn take_word(node: &Node, digest: RequestDigest, age_ms: Millis) {
    if refuse(node, digest, age_ms, Source::Told) {
        spread::post_news(node, digest, spread::Audience::AsRelay);
    }
}

/// Takes a request that is refused from the store.
pub fn take_stored(node: &Node, digest: RequestDigest) {
    refuse(node, digest, 0, Source::Stored);
}

/// Refuses a request; whether that is new.
fn refuse(node: &Node, digest: RequestDigest, age_ms: Millis, source: Source) -> bool {
    let now_ms = node.now_ms();
    let is_new = node
        .crashes
        .quarantine
        .borrow_mut()
        .add(digest, age_ms, now_ms);
    if is_new {
        let event = QuarantineEvent {
            digest: digest.to_string(),
            source: source.name(),
            age_ms,
            is_overruled: node.crashes.proven.borrow().contains(digest),
        };
        events::emit(part::FRONT, Level::Warn, "request_quarantined", &event);
    }
    is_new
}
