//! Sends and takes the messages between boxes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tinbay_core::serving::contents::HeldState;
use tinbay_core::units::Millis;
use tokio::net::UdpSocket;

use super::frame::{AdapterPart, ContentsPart, Frame, FramePart, MOST_BYTES, WantPart};
use crate::node::Node;
use crate::servers::{ServerKey, ViewEntry};

/// Pause between frames to a box where nothing has changed.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Pause after a frame that told of a change, so that several changes go together.
const CHANGE_GAP: Duration = Duration::from_millis(4);

/// Entries of a list in one frame; far below what fits.
const LIST_CHUNK: usize = 40;

/// Servers in one frame of contents.
const SERVERS_CHUNK: usize = 2;

/// Sends frames: to all boxes some times a second, at once where something changed.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let incarnation = started_ms();
    let mut sequence = 0;
    let mut next_heartbeat = tokio::time::Instant::now();
    loop {
        let is_heartbeat = tokio::time::Instant::now() >= next_heartbeat;
        if is_heartbeat {
            next_heartbeat = tokio::time::Instant::now() + HEARTBEAT;
        }
        let targets = targets(&node, is_heartbeat);
        for (box_id, address) in targets {
            for part in parts(&node, &box_id) {
                sequence += 1;
                let frame = frame(&node, incarnation, sequence, part);
                send_frame(&socket, address, &frame).await;
            }
        }
        tokio::time::sleep(CHANGE_GAP).await;
        let _ = tokio::time::timeout_at(next_heartbeat, node.frames_due.notified()).await;
    }
}

fn started_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|since| since.as_millis() as u64).unwrap_or_default()
}

fn targets(node: &Node, is_heartbeat: bool) -> Vec<(String, SocketAddr)> {
    let own_id = node.settings.borrow().box_id.clone();
    let changed = std::mem::take(&mut *node.frames_to.borrow_mut());
    let members = node.members.borrow();
    members
        .all()
        .filter(|(id, _)| **id != own_id && (is_heartbeat || changed.contains(*id)))
        .map(|(id, member)| (id.clone(), member.record.peer))
        .collect()
}

fn frame(node: &Node, incarnation: u64, sequence: u64, part: FramePart) -> Frame {
    Frame {
        box_id: node.settings.borrow().box_id.clone(),
        incarnation,
        sequence,
        record: node.own_record(),
        configuration: node.in_force().map_or(0, |in_force| in_force.configuration.version),
        part,
    }
}

async fn send_frame(socket: &UdpSocket, address: SocketAddr, frame: &Frame) {
    let Ok(bytes) = postcard::to_stdvec(frame) else {
        return;
    };
    debug_assert!(bytes.len() <= MOST_BYTES);
    let _ = socket.send_to(&bytes, address).await;
}

fn parts(node: &Node, box_id: &str) -> Vec<FramePart> {
    let mut parts = vec![FramePart::Flights(flights(node))];
    let contents = contents(node);
    parts.extend(contents.chunks(SERVERS_CHUNK).map(|chunk| FramePart::Contents(chunk.to_vec())));
    let held = servers_held_by(node, box_id);
    parts.push(FramePart::Wants(wants(node, &held)));
    let uses = uses(node, &held);
    parts.extend(uses.chunks(LIST_CHUNK).map(|chunk| FramePart::Uses(chunk.to_vec())));
    parts
}

fn flights(node: &Node) -> Vec<(ServerKey, u16)> {
    let servers = node.servers.borrow();
    servers
        .all()
        .filter(|server| server.own_flights() > 0)
        .map(|server| (server.key, server.own_flights().min(usize::from(u16::MAX)) as u16))
        .collect()
}

fn contents(node: &Node) -> Vec<ContentsPart> {
    let books = node.books.borrow();
    books
        .iter()
        .filter(|(_, book)| book.borrow().is_learnt())
        .map(|(server, book)| ContentsPart {
            server: *server,
            adapters: book
                .borrow()
                .held()
                .map(|(key, held)| AdapterPart {
                    key: *key,
                    version: held.version.unwrap_or_default() as u32,
                    is_ready: held.state == HeldState::Ready,
                })
                .collect(),
        })
        .collect()
}

fn servers_held_by(node: &Node, box_id: &str) -> Vec<ServerKey> {
    let claims = node.claims.borrow();
    let servers = node.servers.borrow();
    servers
        .all()
        .filter(|server| claims.token_of(&server.address_text, box_id).is_some())
        .map(|server| server.key)
        .collect()
}

fn wants(node: &Node, held: &[ServerKey]) -> Vec<WantPart> {
    let now_ms = node.now_ms();
    let mut demand = node.demand.borrow_mut();
    let mut wants: Vec<WantPart> = Vec::new();
    for server in held {
        wants.extend(demand.own_wants(*server, now_ms).into_iter().map(|want| WantPart {
            server: *server,
            adapter: want.adapter,
            version: want.version,
            weight: want.weight as f32,
            is_awaited: want.is_awaited,
        }));
    }
    wants.sort_by(|left, right| {
        let awaited = right.is_awaited.cmp(&left.is_awaited);
        awaited.then(right.weight.total_cmp(&left.weight))
    });
    wants.truncate(LIST_CHUNK / 2);
    wants
}

fn uses(node: &Node, held: &[ServerKey]) -> Vec<(ServerKey, u64, u32)> {
    let mut demand = node.demand.borrow_mut();
    held.iter()
        .flat_map(|server| {
            let uses = demand.take_uses(*server);
            uses.into_iter().map(|(key, count)| (*server, key, count))
        })
        .collect()
}

/// The newest frames seen of one box, to pass over those that come late.
#[derive(Debug, Default)]
struct Seen {
    incarnation: u64,
    flights: u64,
    contents: u64,
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
    node.members.borrow_mut().hear(&frame.box_id, frame.record, now_ms);
    match frame.part {
        FramePart::Flights(flights) if advance(&mut seen.flights, frame.sequence) => {
            take_flights(node, &frame.box_id, &flights);
        }
        FramePart::Contents(contents) if advance(&mut seen.contents, frame.sequence) => {
            take_contents(node, &contents, now_ms);
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

fn take_flights(node: &Node, box_id: &str, flights: &[(ServerKey, u16)]) {
    let by_server: HashMap<ServerKey, u16> = flights.iter().copied().collect();
    for server in node.servers.borrow().all() {
        let count = by_server.get(&server.key).copied().unwrap_or_default();
        server.note_peer_flights(box_id, usize::from(count));
    }
}

fn take_contents(node: &Node, contents: &[ContentsPart], now_ms: Millis) {
    for part in contents {
        let Some(server) = node.servers.borrow().by_key(part.server) else {
            continue;
        };
        let entries = part
            .adapters
            .iter()
            .map(|adapter| {
                let state = if adapter.is_ready { HeldState::Ready } else { HeldState::Loading };
                let version = u64::from(adapter.version);
                (adapter.key, ViewEntry { version, state })
            })
            .collect();
        server.note_view(entries, now_ms);
        node.wake_waiters(&server);
    }
}

fn take_wants(node: &Node, box_id: &str, wants: &[WantPart], now_ms: Millis) {
    let servers: Vec<ServerKey> = wants.iter().map(|want| want.server).collect();
    let wants = wants.iter().map(|want| (want.server, want.to_want())).collect();
    node.demand.borrow_mut().note_peer(box_id, wants, now_ms);
    for key in servers {
        if let Some(server) = node.servers.borrow().by_key(key) {
            server.order_due.notify_one();
        }
    }
}

fn take_uses(node: &Node, uses: &[(ServerKey, u64, u32)], now_ms: Millis) {
    let books = node.books.borrow();
    for (server, key, count) in uses {
        if let Some(book) = books.get(server) {
            book.borrow_mut().note_uses(*key, *count, now_ms);
        }
    }
}
