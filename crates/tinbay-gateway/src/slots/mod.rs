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
use std::collections::{BTreeMap, HashMap, HashSet};
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
    /// Notified when a lease begins or ends, or when this box becomes a home.
    changed: Notify,
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
                self.changed.notify_one();
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

    /// Whether there is nothing to renew or to decide.
    fn is_idle(&self) -> bool {
        self.held.borrow().is_empty() && self.homes.borrow().is_empty()
    }

    fn end(&self, number: u32, end: LeaseEnd) {
        if let Some(lease) = self.held.borrow_mut().remove(&number) {
            self.post_end(number, lease, end);
        }
    }

    fn post_end(&self, number: u32, lease: HeldLease, end: LeaseEnd) {
        let ended = EndedLease { number, lease, end };
        self.ended.borrow_mut().push(ended);
        self.changed.notify_one();
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
pub fn leases_out(node: &Node, server: &Server) -> bool {
    node.slots.homes.borrow().contains_key(&server.key)
}

/// Reports ended leases, renews the others and decides on requests that wait, until the box stops.
pub async fn run(node: Rc<Node>) {
    let mut renewed_ms = node.now_ms();
    loop {
        let changed = node.slots.changed.notified();
        if node.slots.is_idle() {
            changed.await;
        } else {
            let _ = tokio::time::timeout(TICK, changed).await;
        }
        report_ended(&node);
        let now_ms = node.now_ms();
        if now_ms >= renewed_ms + RENEWAL_INTERVAL_MS {
            renewed_ms = now_ms;
            renew(&node);
        }
        home::decide_all(&node);
    }
}

/// Reports ended leases.
fn report_ended(node: &Node) {
    let mut reports: HashMap<(ServerKey, Home), SlotReportPart> = HashMap::new();
    for EndedLease { number, lease, end } in node.slots.ended.take() {
        let Some(server) = node.servers.borrow().by_key(lease.server) else {
            continue;
        };
        for home in homes_to_tell(node, &server, lease.home) {
            let report = reports.entry((server.key, home));
            let report = report.or_insert_with(|| SlotReportPart::new(&server));
            report.ended.push((number, end));
        }
    }
    for ((_, home), report) in reports {
        send_report(node, home, report);
    }
}

/// Renews the leases of this box.
fn renew(node: &Node) {
    let mut numbers: HashMap<ServerKey, Vec<u32>> = HashMap::new();
    let mut homes: HashSet<(ServerKey, Home)> = HashSet::new();
    for (number, lease) in node.slots.held.borrow().iter() {
        let Some(server) = node.servers.borrow().by_key(lease.server) else {
            continue;
        };
        numbers.entry(server.key).or_default().push(*number);
        let to_tell = homes_to_tell(node, &server, lease.home.clone());
        homes.extend(to_tell.into_iter().map(|home| (server.key, home)));
    }
    for (key, home) in homes {
        if let Some(server) = node.servers.borrow().by_key(key) {
            let report = SlotReportPart {
                held: numbers.get(&key).cloned(),
                ..SlotReportPart::new(&server)
            };
            send_report(node, home, report);
        }
    }
}

/// The boxes that count a lease: the one that granted it, and the present home if that has changed.
fn homes_to_tell(node: &Node, server: &Server, granted_by: Home) -> Vec<Home> {
    let present = selected_home(node, server);
    let present = present.filter(|home| *home != granted_by);
    std::iter::once(granted_by).chain(present).collect()
}

fn send_report(node: &Node, home: Home, report: SlotReportPart) {
    match home {
        Home::Own => home::apply_report(node, home::own_key(node), &report),
        Home::Other(box_id) => {
            let report = FramePart::SlotReport(report);
            node.outbox.post_urgent(&box_id, report);
        }
    }
}
