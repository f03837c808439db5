//! Requests a slot of a brittle server from its home.

use std::rc::Rc;
use std::time::Duration;

use tinbay_core::serving::brittleness::BrittlenessReport;
use tinbay_core::slots::home::{LeaseEnd, LeaseId, SlotRequest};
use tinbay_core::units::Millis;
use tokio::sync::oneshot;

use super::lease::SlotLease;
use super::messages::{BrittlenessPart, SlotRequestPart};
use super::{HeldLease, Pending, SlotDecision, Slots, home, homed};
use crate::limits::home::{self as limit_home, Home, SelectedHome};
use crate::limits::record_no_answer;
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;

/// Time-out before a request to a home is sent again, as messages may be lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a request that the home has queued is repeated, to show that it still waits.
const QUEUED_INTERVAL: Duration = Duration::from_millis(150);

/// Consecutive sends without a reply after which a home counts as not answering.
const MAX_UNANSWERED_SENDS: u32 = 4;

/// Time between two sends of a request from which this box must have been suspended.
const MAX_ASK_GAP_MS: Millis = 500;

/// Upper bound on homes to which one request is sent in turn when each redirects to another.
const MAX_HOMES: usize = 5;

/// Retry time of callers while a server's home does not answer: by then another one may have taken
/// over.
const NO_HOME_RETRY_AFTER_MS: Millis = 500;

/// What a request needs of a server's slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotParams {
    /// Priority; 0 goes first.
    pub rank: u8,
    /// How long it may wait for a slot, in ms; 0 for not at all.
    pub max_wait_ms: Millis,
}

/// No slot of a server becomes free in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotsFull {
    /// Time until the caller should retry.
    pub retry_after_ms: Millis,
}

/// Leases a slot of a server for one request; `None` if the server is not brittle, so that none is
/// needed.
///
/// # Errors
/// When no slot becomes free in time, or no home answers.
pub async fn lease(
    node: &Node,
    server: &Rc<Server>,
    params: SlotParams,
) -> Result<Option<SlotLease>, SlotsFull> {
    let no_home = SlotsFull {
        retry_after_ms: NO_HOME_RETRY_AFTER_MS,
    };
    for _ in 0..MAX_HOMES {
        let Some(brittleness) = server.brittleness(node.now_ms()) else {
            return Ok(None);
        };
        let record = server.record();
        let homed = homed(server, &record.id);
        if limit_home::has_failed(node, homed) {
            return Err(no_home);
        }
        let selected = limit_home::of(node, homed).ok_or(no_home)?;
        match ask(node, server, params, brittleness, &selected).await {
            Some(SlotDecision::Leased(lease)) => return Ok(Some(lease)),
            Some(SlotDecision::Full { retry_after_ms }) => {
                return Err(SlotsFull { retry_after_ms });
            }
            Some(SlotDecision::NotHome { other }) => {
                let members = node.members.borrow();
                let other = other.and_then(|other| members.id_of(other)).cloned();
                drop(members);
                match other {
                    Some(other) => limit_home::follow_redirect(node, homed, &selected, other),
                    None => limit_home::reselect_excluding(node, homed, &selected),
                }
            }
            None => {
                record_no_answer(node, &selected.home, "silent");
                return Err(no_home);
            }
        }
    }
    Err(no_home)
}

/// Asks one home; `None` if it does not answer.
async fn ask(
    node: &Node,
    server: &Rc<Server>,
    params: SlotParams,
    brittleness: BrittlenessReport,
    selected: &SelectedHome,
) -> Option<SlotDecision> {
    let number = node.slots.next_number();
    let (_asking, receiver) = Asking::begin(node, server, number, &selected.home);
    match &selected.home {
        Home::Own => ask_own(node, server, params, number, receiver).await,
        Home::Other(box_id) => {
            let part = SlotRequestPart {
                server: server.fingerprint(),
                number,
                rank: params.rank,
                max_wait_ms: u16::try_from(params.max_wait_ms).unwrap_or(u16::MAX),
                excluded: selected.excluded.clone(),
                brittleness: BrittlenessPart::new(brittleness),
            };
            ask_other(node, box_id, part, receiver).await
        }
    }
}

async fn ask_own(
    node: &Node,
    server: &Rc<Server>,
    params: SlotParams,
    number: u32,
    mut receiver: oneshot::Receiver<SlotDecision>,
) -> Option<SlotDecision> {
    while node.slots.record_asked(number, node.now_ms()) {
        let request = SlotRequest {
            id: LeaseId {
                box_key: home::own_key(node),
                number,
            },
            rank: params.rank,
            max_wait_ms: params.max_wait_ms,
        };
        if home::request_slot(node, server, request).is_none() {
            return Some(SlotDecision::NotHome { other: None });
        }
        if let Ok(decision) = tokio::time::timeout(QUEUED_INTERVAL, &mut receiver).await {
            return decision.ok();
        }
    }
    None
}

/// Repeats a request until the home decides; `None` if it does not answer.
async fn ask_other(
    node: &Node,
    box_id: &str,
    part: SlotRequestPart,
    mut receiver: oneshot::Receiver<SlotDecision>,
) -> Option<SlotDecision> {
    let mut unanswered = 0;
    while unanswered < MAX_UNANSWERED_SENDS && node.slots.record_asked(part.number, node.now_ms()) {
        let request = FramePart::SlotRequest(part.clone());
        node.outbox.post_urgent(box_id, request);
        if let Ok(decision) = tokio::time::timeout(RESEND_INTERVAL, &mut receiver).await {
            return decision.ok();
        }
        if !node.slots.take_acknowledged(part.number) {
            unanswered += 1;
            continue;
        }
        unanswered = 0;
        let pause = QUEUED_INTERVAL - RESEND_INTERVAL;
        if let Ok(decision) = tokio::time::timeout(pause, &mut receiver).await {
            return decision.ok();
        }
    }
    None
}

/// A request for a slot that is not decided. If its caller leaves, the home is told.
struct Asking<'a> {
    node: &'a Node,
    number: u32,
}

impl<'a> Asking<'a> {
    fn begin(
        node: &'a Node,
        server: &Server,
        number: u32,
        home: &Home,
    ) -> (Self, oneshot::Receiver<SlotDecision>) {
        let (sender, receiver) = oneshot::channel();
        let pending = Pending {
            sender,
            lease: HeldLease {
                server: server.key,
                home: home.clone(),
            },
            asked_ms: node.now_ms(),
            is_acknowledged: false,
        };
        node.slots.pending.borrow_mut().insert(number, pending);
        (Self { node, number }, receiver)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let slots = &self.node.slots;
        let pending = slots.pending.borrow_mut().remove(&self.number);
        if let Some(pending) = pending {
            slots.post_end(self.number, pending.lease, LeaseEnd::Unknown);
        }
    }
}

impl Slots {
    /// Records that a request is sent to its home, for the first time or again; returns false if this
    /// box was suspended since the last time, so that the home may have dropped the request.
    fn record_asked(&self, number: u32, now_ms: Millis) -> bool {
        let mut pending = self.pending.borrow_mut();
        let Some(pending) = pending.get_mut(&number) else {
            return true;
        };
        let since_ms = now_ms.saturating_sub(pending.asked_ms);
        pending.asked_ms = now_ms;
        since_ms < MAX_ASK_GAP_MS
    }

    /// Whether the home has replied since the last call, which clears the flag.
    fn take_acknowledged(&self, number: u32) -> bool {
        let mut pending = self.pending.borrow_mut();
        let pending = pending.get_mut(&number);
        pending.is_some_and(|pending| std::mem::take(&mut pending.is_acknowledged))
    }
}
