//! Slots of brittle servers, which one box leases out to the requests of all boxes: the home of a
//! server, the same box that is the home of its rate limit.
//!
//! A box without an answer from the home sends nothing to the server. Its share of the slots would
//! be less than one request in a large fleet, and in a small one it would come on top of what the
//! home leases out.

pub mod asking;
pub mod home;
pub mod lease;
pub mod messages;
pub mod spread;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tinbay_core::serving::servers::{Fingerprint, ServerKey};
use tinbay_core::slots::home::{LeaseEnd, RENEWAL_INTERVAL_MS, SEND_WITHIN_MS, SlotHome};
use tinbay_core::units::Millis;
use tokio::sync::{Notify, oneshot};

use self::lease::SlotLease;
use self::messages::{SlotReply, SlotReplyPart, SlotReportPart};
use crate::limits::home::{self as limit_home, Home};
use crate::limits::limited::{Homed, LimitKey};
use crate::node::Node;
use crate::peers::frame::FramePart;
use crate::servers::Server;

/// Interval at which homes look for requests that have waited too long, and for leases to renew.
const TICK: Duration = Duration::from_millis(50);

/// State of the slots that this box uses and of those that it leases out.
#[derive(Debug, Default)]
pub struct Slots {
    /// State of the servers of which this box is the home.
    homes: RefCell<HashMap<ServerKey, HeldHome>>,
    /// Requests of this box for slots that are not decided yet, by number.
    pending: RefCell<HashMap<u32, Pending>>,
    /// Leases of this box by number.
    held: RefCell<BTreeMap<u32, HeldLease>>,
    /// Leases that have ended and are not reported yet.
    ended: RefCell<Vec<EndedLease>>,
    has_ended: Notify,
    last_number: Cell<u32>,
}

/// State of a server's slots at this box, its home.
#[derive(Debug)]
struct HeldHome {
    home: SlotHome,
    /// Time until which other boxes take this one for the home in place of one that can't be it.
    substitute_until_ms: Millis,
}

/// A request for a slot that waits for its home's decision.
#[derive(Debug)]
struct Pending {
    sender: oneshot::Sender<SlotDecision>,
    lease: HeldLease,
    /// When it was last sent to the home.
    asked_ms: Millis,
    /// Whether the home has replied since then.
    is_acknowledged: bool,
}

/// Decision on a request for a slot.
#[derive(Debug)]
enum SlotDecision {
    Leased(SlotLease),
    Full {
        retry_after_ms: Millis,
    },
    /// The box is not the home; it names the one that it regards as the home, if it knows one.
    NotHome {
        other: Option<Fingerprint>,
    },
}

/// The server of a lease, and the box that granted it.
#[derive(Debug, Clone)]
struct HeldLease {
    server: ServerKey,
    home: Home,
}

#[derive(Debug)]
struct EndedLease {
    number: u32,
    lease: HeldLease,
    end: LeaseEnd,
}

impl Slots {
    /// Delivers a home's reply to the request that waits for it.
    pub fn deliver_reply(self: &Rc<Self>, part: SlotReplyPart) {
        if part.reply == SlotReply::Queued {
            let mut pending = self.pending.borrow_mut();
            if let Some(pending) = pending.get_mut(&part.number) {
                pending.is_acknowledged = true;
            }
            return;
        }
        let Some(decided) = self.pending.borrow_mut().remove(&part.number) else {
            return;
        };
        let decision = match part.reply {
            SlotReply::Leased => {
                self.held.borrow_mut().insert(part.number, decided.lease);
                let send_by_ms = decided.asked_ms + SEND_WITHIN_MS;
                SlotDecision::Leased(SlotLease::new(Rc::clone(self), part.number, send_by_ms))
            }
            SlotReply::Full { retry_after_ms } => SlotDecision::Full {
                retry_after_ms: Millis::from(retry_after_ms),
            },
            SlotReply::NotHome { other } => SlotDecision::NotHome { other },
            SlotReply::Queued => return,
        };
        // If the caller has left in the meantime, the lease ends as it is dropped.
        let _ = decided.sender.send(decision);
    }

    /// Drops the state of servers that are gone or no longer brittle.
    pub fn tidy(&self, node: &Node) {
        let now_ms = node.now_ms();
        let servers = node.servers.borrow();
        self.homes.borrow_mut().retain(|key, _| {
            let server = servers.by_key(*key);
            server.is_some_and(|server| server.brittleness(now_ms).is_some())
        });
    }

    /// Number of slots that this box leases out, and of requests that wait for one.
    pub fn counts(&self) -> (usize, usize) {
        let homes = self.homes.borrow();
        let leased = homes.values().map(|held| held.home.leased()).sum();
        let waiting = homes.values().map(|held| held.home.waiting()).sum();
        (leased, waiting)
    }

    fn end(&self, number: u32, end: LeaseEnd) {
        if let Some(lease) = self.held.borrow_mut().remove(&number) {
            self.post_end(number, lease, end);
        }
    }

    fn post_end(&self, number: u32, lease: HeldLease, end: LeaseEnd) {
        let ended = EndedLease { number, lease, end };
        self.ended.borrow_mut().push(ended);
        self.has_ended.notify_one();
    }

    fn next_number(&self) -> u32 {
        let number = self.last_number.get().wrapping_add(1);
        self.last_number.set(number);
        number
    }
}

/// Key and name from which the home of a server is selected.
fn homed<'a>(server: &Server, id: &'a str) -> Homed<'a> {
    Homed {
        key: LimitKey::Server(server.fingerprint()),
        name: id,
    }
}

fn selected_home(node: &Node, server: &Server) -> Option<Home> {
    let record = server.record();
    let selected = limit_home::of(node, homed(server, &record.id));
    selected.map(|selected| selected.home)
}

/// Whether this box leases out the slots of a server.
pub fn is_home(node: &Node, server: &Server) -> bool {
    node.slots.homes.borrow().contains_key(&server.key)
}

/// Reports ended leases, renews the others and decides on requests that wait, until the box stops.
pub async fn run(node: Rc<Node>) {
    let mut renewed_ms = node.now_ms();
    loop {
        let _ = tokio::time::timeout(TICK, node.slots.has_ended.notified()).await;
        report_ended(&node);
        let now_ms = node.now_ms();
        if now_ms >= renewed_ms + RENEWAL_INTERVAL_MS {
            renewed_ms = now_ms;
            renew(&node);
        }
        home::decide_all(&node);
    }
}

/// Reports ended leases to the boxes that granted them, and to the present homes if these have
/// changed.
fn report_ended(node: &Node) {
    let ended = node.slots.ended.take();
    let mut reports: HashMap<(ServerKey, String), SlotReportPart> = HashMap::new();
    for EndedLease { number, lease, end } in ended {
        let Some(server) = node.servers.borrow().by_key(lease.server) else {
            continue;
        };
        let mut homes = vec![lease.home];
        homes.extend(selected_home(node, &server).filter(|home| *home != homes[0]));
        for home in homes {
            match home {
                Home::Own => home::end_own(node, &server, number, end),
                Home::Other(box_id) => {
                    let report =
                        reports
                            .entry((server.key, box_id))
                            .or_insert_with(|| SlotReportPart {
                                server: server.fingerprint(),
                                ended: Vec::new(),
                                held: None,
                            });
                    report.ended.push((number, end));
                }
            }
        }
    }
    for ((_, box_id), report) in reports {
        node.outbox
            .post_urgent(&box_id, FramePart::SlotReport(report));
    }
}

/// Renews the leases of this box at the boxes that granted them and at the present homes.
fn renew(node: &Node) {
    let mut by_server: HashMap<ServerKey, (Vec<u32>, Vec<Home>)> = HashMap::new();
    for (number, lease) in node.slots.held.borrow().iter() {
        let (held, homes) = by_server.entry(lease.server).or_default();
        held.push(*number);
        if !homes.contains(&lease.home) {
            homes.push(lease.home.clone());
        }
    }
    for (key, (held, mut homes)) in by_server {
        let Some(server) = node.servers.borrow().by_key(key) else {
            continue;
        };
        homes.extend(selected_home(node, &server).filter(|home| !homes.contains(home)));
        for home in homes {
            match home {
                Home::Own => home::renew_own(node, &server, &held),
                Home::Other(box_id) => {
                    let report = SlotReportPart {
                        server: server.fingerprint(),
                        ended: Vec::new(),
                        held: Some(held.clone()),
                    };
                    node.outbox.post(&box_id, FramePart::SlotReport(report));
                }
            }
        }
    }
}
