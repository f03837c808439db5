//! Sends and takes the messages between boxes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tinbay_core::serving::contents::{HeldState, Want};
use tinbay_core::units::Millis;
use tokio::net::UdpSocket;

use super::frame::{
    AdapterPart, ContentsPart, Fingerprint, Frame, FramePart, MOST_BYTES, WantPart,
};
use crate::node::Node;
use crate::orders::load;
use crate::servers::{ServerKey, ViewEntry};

/// Pause between frames to a box where nothing has changed.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Heartbeats between two of what seldom changes.
const SLOW_HEARTBEATS: u64 = 4;

/// Pause after a frame that told of a change, so that several changes go together.
const CHANGE_GAP: Duration = Duration::from_millis(4);

/// Entries of a list in one frame; far below what fits.
const LIST_CHUNK: usize = 40;

/// Wants in one frame; each names its adapter.
const WANTS_CHUNK: usize = 24;

/// Sends frames: to all boxes some times a second, at once where something changed.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut sender = Sender {
        node,
        socket,
        incarnation: started_ms(),
        sequence: 0,
    };
    let mut heartbeats = 0;
    let mut next_heartbeat = tokio::time::Instant::now();
    loop {
        sender.send_changes().await;
        if tokio::time::Instant::now() >= next_heartbeat {
            next_heartbeat = tokio::time::Instant::now() + HEARTBEAT;
            smooth_flights(&sender.node);
            load::judge(&sender.node);
            sender
                .send_heartbeat(heartbeats % SLOW_HEARTBEATS == 0)
                .await;
            heartbeats += 1;
        }
        tokio::time::sleep(CHANGE_GAP).await;
        tokio::select! {
            () = tokio::time::sleep_until(next_heartbeat) => {}
            () = sender.node.frames_due.notified() => {}
            () = sender.node.hello_due.notified() => sender.send_hellos().await,
        }
    }
}

fn started_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since
        .map(|since| since.as_millis() as u64)
        .unwrap_or_default()
}

struct Sender {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    incarnation: u64,
    sequence: u64,
}

impl Sender {
    /// Tells changed contents to all, and wants to the holders that are to know at once.
    async fn send_changes(&mut self) {
        let changed = std::mem::take(&mut *self.node.changed_books.borrow_mut());
        let hasty = std::mem::take(&mut *self.node.frames_to.borrow_mut());
        for (box_id, address) in others(&self.node) {
            for server in &changed {
                if let Some(part) = contents(&self.node, *server) {
                    self.send(address, part).await;
                }
            }
            if hasty.contains(&box_id) {
                let held = self.node.servers_held_by(&box_id);
                self.send_wants(&held, address).await;
            }
        }
    }

    async fn send_heartbeat(&mut self, is_slow: bool) {
        let flights = FramePart::Flights(flights(&self.node));
        for (box_id, address) in others(&self.node) {
            self.send(address, flights.clone()).await;
            let held = self.node.servers_held_by(&box_id);
            self.send_wants(&held, address).await;
            self.send_uses(&held, address).await;
            if is_slow {
                self.send_slow(address).await;
            }
        }
    }

    async fn send_hellos(&mut self) {
        for (_, address) in others(&self.node) {
            self.send_hello(address).await;
        }
    }

    async fn send_hello(&mut self, address: SocketAddr) {
        let hello = FramePart::Hello(self.node.own_record());
        self.send(address, hello).await;
    }

    async fn send_slow(&mut self, address: SocketAddr) {
        self.send_hello(address).await;
        let held: Vec<ServerKey> = self.node.books.borrow().keys().copied().collect();
        for server in held {
            if let Some(part) = contents(&self.node, server) {
                self.send(address, part).await;
            }
        }
    }

    async fn send_wants(&mut self, held: &HashSet<ServerKey>, address: SocketAddr) {
        let wants = wants(&self.node, held);
        for chunk in wants.chunks(WANTS_CHUNK) {
            self.send(address, FramePart::Wants(chunk.to_vec())).await;
        }
    }

    async fn send_uses(&mut self, held: &HashSet<ServerKey>, address: SocketAddr) {
        let uses = uses(&self.node, held);
        for chunk in uses.chunks(LIST_CHUNK) {
            self.send(address, FramePart::Uses(chunk.to_vec())).await;
        }
    }

    async fn send(&mut self, address: SocketAddr, part: FramePart) {
        self.sequence += 1;
        let frame = Frame {
            box_id: self.node.settings.borrow().box_id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            part,
        };
        let Ok(bytes) = postcard::to_stdvec(&frame) else {
            return;
        };
        let _ = self.socket.send_to(&bytes, address).await;
    }
}

fn smooth_flights(node: &Node) {
    for server in node.servers.borrow().all() {
        server.smooth_flights();
    }
}

fn others(node: &Node) -> Vec<(String, SocketAddr)> {
    let own_id = node.settings.borrow().box_id.clone();
    let members = node.members.borrow();
    members
        .others(&own_id)
        .map(|(id, member)| (id.clone(), member.record.peer))
        .collect()
}

fn flights(node: &Node) -> Vec<(Fingerprint, u16)> {
    let servers = node.servers.borrow();
    servers
        .all()
        .filter(|server| server.own_flights() > 0)
        .map(|server| {
            let flights = server.own_flights().min(usize::from(u16::MAX));
            (server.fingerprint(), flights as u16)
        })
        .collect()
}

fn contents(node: &Node, server: ServerKey) -> Option<FramePart> {
    let books = node.books.borrow();
    let book = books.get(&server)?.borrow();
    if !book.is_learnt() {
        return None;
    }
    let adapters = book
        .held()
        .map(|(key, held)| AdapterPart {
            adapter: *key as Fingerprint,
            version: held.version.unwrap_or_default() as u32,
            is_ready: held.state == HeldState::Ready,
        })
        .collect();
    Some(FramePart::Contents(ContentsPart {
        server: server as Fingerprint,
        is_overloaded: node.servers.borrow().by_key(server)?.is_overloaded(),
        adapters,
    }))
}

fn wants(node: &Node, held: &HashSet<ServerKey>) -> Vec<WantPart> {
    let now_ms = node.now_ms();
    let is_theirs = |server: ServerKey| held.contains(&server);
    let told = node.asking.borrow_mut().tell(&is_theirs, now_ms);
    told.into_iter()
        .map(|(server, want)| want_part(server, want))
        .collect()
}

fn want_part(server: ServerKey, want: Want) -> WantPart {
    WantPart {
        server: server as Fingerprint,
        adapter: want.adapter,
        version: want.version,
        asked: want.asked as f32,
        waiting: want.waiting as f32,
        is_copy: want.is_copy,
    }
}

fn uses(node: &Node, held: &HashSet<ServerKey>) -> Vec<(Fingerprint, u64, u32)> {
    let mut noted = node.uses.borrow_mut();
    held.iter()
        .flat_map(|server| {
            let uses = noted.take(*server);
            uses.into_iter()
                .map(|(key, count)| (*server as Fingerprint, key, count))
        })
        .collect()
}

/// The newest frames seen of one box, to pass over those that come late.
#[derive(Debug, Default)]
struct Seen {
    incarnation: u64,
    flights: u64,
    contents: HashMap<Fingerprint, u64>,
    wants: u64,
}

/// Takes frames.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MOST_BYTES * 2];
    let mut seen: HashMap<String, Seen> = HashMap::new();
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(CHANGE_GAP).await;
            continue;
        };
        if let Ok(frame) = postcard::from_bytes::<Frame>(&buffer[..length]) {
            take(&node, frame, &mut seen);
        }
    }
}

fn take(node: &Node, frame: Frame, seen: &mut HashMap<String, Seen>) {
    let now_ms = node.now_ms();
    let seen = seen.entry(frame.box_id.clone()).or_default();
    if frame.incarnation < seen.incarnation {
        return;
    }
    if frame.incarnation > seen.incarnation {
        *seen = Seen {
            incarnation: frame.incarnation,
            ..Seen::default()
        };
    }
    node.members.borrow_mut().hear(&frame.box_id, now_ms);
    match frame.part {
        FramePart::Hello(record) => {
            node.members
                .borrow_mut()
                .note_hello(&frame.box_id, record, now_ms);
        }
        FramePart::Flights(flights) if advance(&mut seen.flights, frame.sequence) => {
            take_flights(node, &frame.box_id, &flights);
        }
        FramePart::Contents(contents) => {
            let last = seen.contents.entry(contents.server).or_default();
            if advance(last, frame.sequence) {
                take_contents(node, &contents, now_ms);
            }
        }
        FramePart::Wants(wants) if advance(&mut seen.wants, frame.sequence) => {
            take_wants(node, &frame.box_id, &wants, now_ms);
        }
        FramePart::Uses(uses) => take_uses(node, &uses, now_ms),
        _ => {}
    }
}

fn advance(last: &mut u64, sequence: u64) -> bool {
    let is_newer = sequence > *last;
    *last = sequence.max(*last);
    is_newer
}

fn take_flights(node: &Node, box_id: &str, flights: &[(Fingerprint, u16)]) {
    let by_server: HashMap<Fingerprint, u16> = flights.iter().copied().collect();
    for server in node.servers.borrow().all() {
        let count = by_server
            .get(&server.fingerprint())
            .copied()
            .unwrap_or_default();
        server.note_peer_flights(box_id, usize::from(count));
    }
}

fn take_contents(node: &Node, contents: &ContentsPart, now_ms: Millis) {
    let Some(server) = node.servers.borrow().by_fingerprint(contents.server) else {
        return;
    };
    server.set_overloaded(contents.is_overloaded);
    let entries = contents
        .adapters
        .iter()
        .map(|adapter| {
            let state = if adapter.is_ready {
                HeldState::Ready
            } else {
                HeldState::Loading
            };
            let version = u64::from(adapter.version);
            (adapter.adapter, ViewEntry { version, state })
        })
        .collect();
    let change = server.note_view(entries, now_ms);
    node.waiters.wake(&change.ready);
}

fn take_wants(node: &Node, box_id: &str, parts: &[WantPart], now_ms: Millis) {
    let servers = node.servers.borrow();
    let mut ledger = node.ledger.borrow_mut();
    for part in parts {
        if let Some(server) = servers.by_fingerprint(part.server) {
            ledger.note(box_id, server.key, &part.to_want(), now_ms);
            server.order_due.notify_one();
        }
    }
}

fn take_uses(node: &Node, uses: &[(Fingerprint, u64, u32)], now_ms: Millis) {
    let servers = node.servers.borrow();
    let books = node.books.borrow();
    for (server, key, count) in uses {
        let server = servers.by_fingerprint(*server);
        if let Some(book) = server.and_then(|server| books.get(&server.key)) {
            book.borrow_mut().note_uses(*key, *count, now_ms);
        }
    }
}
