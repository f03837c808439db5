//! Quarantine of callers' requests that crash backend servers.
//!
//! A box reports each crash that it sees to the few boxes that track the request. A tracker that
//! has counted enough crashes quarantines the request, announces that to all boxes, and writes it
//! to the store for boxes that start later. So a crash costs a few messages, and only quarantined
//! requests are announced to every box. Parts of prompts that different requests share are judged in
//! the same way, see [`parts`].

pub mod check;
mod confirm;
pub mod entries;
pub mod parts;
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

use self::entries::StoreEntry;
use self::parts::Parts;
use crate::events::{self, part};
use crate::front::inbound::InboundRequest;
use crate::front::refusal::Refusal;
use crate::node::Node;

/// This box's knowledge of requests that crash servers.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Crashes counted by request.
    ledger: RefCell<CrashLedger>,
    /// Requests that this box has seen complete.
    proven: RefCell<ProvenRequests>,
    quarantine: RefCell<Quarantine>,
    /// Requests cut short by servers that are being checked, with the number of cuts.
    pending_checks: RefCell<HashMap<RequestDigest, usize>>,
    /// Notified when a check has finished.
    check_done: Notify,
    /// Entries of the store that this box has to write.
    unsaved: RefCell<VecDeque<StoreEntry>>,
    save_due: Notify,
    /// Prompt parts that crash servers.
    parts: Parts,
}

/// How this box learned that a request is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This box counted the crashes.
    Counted,
    /// Another box announced it.
    Announced,
    /// It was read from the store.
    Stored,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Counted => "counted",
            Source::Announced => "told",
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
    /// Drops expired quarantines.
    pub fn tidy(&self, now_ms: Millis) {
        self.quarantine.borrow_mut().tidy(now_ms);
        self.parts.tidy(now_ms);
    }

    /// Numbers of refused sets of prompt parts, and of suspected parts.
    pub fn part_counts(&self, now_ms: Millis) -> (usize, usize) {
        self.parts.counts(now_ms)
    }

    /// Queues an entry to be written to the store, or to be removed from it.
    fn save(&self, entry: StoreEntry) {
        let mut unsaved = self.unsaved.borrow_mut();
        if !unsaved.contains(&entry) {
            unsaved.push_back(entry);
        }
        self.save_due.notify_one();
    }

    fn begin_check(&self, digest: RequestDigest) {
        *self.pending_checks.borrow_mut().entry(digest).or_default() += 1;
    }

    fn end_check(&self, digest: RequestDigest) {
        let mut pending_checks = self.pending_checks.borrow_mut();
        if let Some(count) = pending_checks.get_mut(&digest) {
            *count -= 1;
            if *count == 0 {
                pending_checks.remove(&digest);
            }
        }
        self.check_done.notify_waiters();
    }

    /// Number of quarantined requests, and of requests with counted crashes.
    pub fn counts(&self, now_ms: Millis) -> (usize, usize) {
        let quarantined = self.quarantine.borrow().ages(now_ms).len();
        (quarantined, self.ledger.borrow().len())
    }
}

/// The refusal of a request under which servers crash, or under a part of whose prompt they do.
pub fn refusal(node: &Node, inbound: &InboundRequest) -> Option<Refusal> {
    let digest = inbound.digest.get();
    if digest.is_some_and(|digest| is_refused(node, *digest)) {
        return Some(Refusal::CrashesServers);
    }
    let is_part_refused = parts::is_refused(node, inbound);
    is_part_refused.then_some(Refusal::PartCrashesServers)
}

/// Whether a request may be sent to a server now.
pub fn may_be_sent(node: &Node, inbound: &InboundRequest) -> bool {
    refusal(node, inbound).is_none() && !parts::is_awaiting_judgement(node, &inbound.shared_parts)
}

/// The refusal of a request, after what may soon lead to it: checks of servers that just cut it
/// short, and judgements of its prompt's parts.
pub async fn refusal_after_checks(node: &Node, inbound: &InboundRequest) -> Option<Refusal> {
    for digest in inbound.digests() {
        wait_for_checks(node, digest).await;
    }
    if !parts::wait_for_judgement(node, inbound).await {
        return Some(Refusal::PartCrashesServers);
    }
    refusal(node, inbound)
}

/// Whether servers have crashed under requests whose long bodies start like that of a request. Such
/// a request may differ from these later on, so that nothing speaks against it yet.
pub fn is_start_quarantined(node: &Node, inbound: &InboundRequest) -> bool {
    let start = inbound.start_digest.get();
    let quarantine = node.crashes.quarantine.borrow();
    start.is_some_and(|start| quarantine.holds(*start, node.now_ms()))
}

/// Whether a request is refused: it is quarantined, and this box has not seen it complete.
fn is_refused(node: &Node, digest: RequestDigest) -> bool {
    let is_quarantined = node
        .crashes
        .quarantine
        .borrow()
        .holds(digest, node.now_ms());
    is_quarantined && !node.crashes.proven.borrow().contains(digest)
}

/// Waits for the checks of servers that just cut the request short, which takes some milliseconds.
/// Without the wait, retries of a request within that time could crash several servers before the
/// first crash is counted.
async fn wait_for_checks(node: &Node, digest: RequestDigest) {
    loop {
        let done = node.crashes.check_done.notified();
        if !node.crashes.pending_checks.borrow().contains_key(&digest) {
            return;
        }
        done.await;
    }
}

/// Records that a request completed, which clears its crashes and those of its prompt's parts.
pub fn record_completed(node: &Node, inbound: &InboundRequest) {
    if let Some(digest) = inbound.digest.get() {
        node.crashes.proven.borrow_mut().note(*digest);
        node.crashes.ledger.borrow_mut().clear(*digest);
    }
    parts::record_answered(node, &inbound.shared_parts);
}

/// Counts a crash under a request, seen by this box or reported by another one.
pub fn count_crash(node: &Node, digest: RequestDigest, crash: CrashKey) {
    if node.crashes.proven.borrow().contains(digest) {
        return;
    }
    let now_ms = node.now_ms();
    let crashes = node.crashes.ledger.borrow_mut().note(digest, crash, now_ms);
    if crashes >= CRASHES_TO_REFUSE && quarantine_request(node, digest, 0, Source::Counted) {
        node.crashes.save(StoreEntry::Request(digest));
        spread::announce(node, digest, spread::Audience::AllZones);
    }
}

/// Queues the entries of all that is refused to be written again after the store lost them. Returns
/// their number.
pub fn save_again(node: &Node) -> usize {
    let quarantined = node.crashes.quarantine.borrow().ages(node.now_ms());
    let requests = quarantined
        .into_iter()
        .map(|(digest, _)| StoreEntry::Request(digest));
    let sets = parts::refused_sets(node).into_iter().map(StoreEntry::Parts);
    let entries: Vec<StoreEntry> = requests.chain(sets).collect();
    let count = entries.len();
    for entry in entries {
        node.crashes.save(entry);
    }
    count
}

/// Applies another box's announcement of a quarantined request.
pub fn apply_announcement(node: &Node, digest: RequestDigest, age_ms: Millis) {
    if quarantine_request(node, digest, age_ms, Source::Announced) {
        spread::announce(node, digest, spread::Audience::AsRelay);
    }
}

/// Applies a quarantined request read from the store.
pub fn apply_stored(node: &Node, digest: RequestDigest) {
    quarantine_request(node, digest, 0, Source::Stored);
}

/// Quarantines a request; returns whether that is new.
fn quarantine_request(node: &Node, digest: RequestDigest, age_ms: Millis, source: Source) -> bool {
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
