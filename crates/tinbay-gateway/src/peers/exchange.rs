//! Sends messages to other boxes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::Level;
use serde::Serialize;
use tinbay_core::serving::servers::ServerKey;
use tokio::net::UdpSocket;

use super::frame::{Frame, FramePart, MAX_FRAME_BYTES, UsagePart, to_percent};
use super::gossip;
use super::outbox::Due;
use crate::events::{self, part};
use crate::node::Node;
use crate::servers::Server;
use crate::sharing::holder;
use crate::sharing::links::AdmissionContext;

/// Interval at which ended requests are reported and running ones reported again.
const TICK: Duration = Duration::from_millis(250);

/// Report interval while servers are scarce, as a waiting request is admitted once the holder
/// learns that another has ended.
const SCARCE_TICK: Duration = Duration::from_millis(50);

/// Ticks per round of gossip.
const GOSSIP_TICKS: u64 = 2;

/// Pause after sending, so that several changes share a message.
const SEND_PAUSE: Duration = Duration::from_millis(2);

/// Size reserved in a frame for everything but its parts.
const FRAME_OVERHEAD_BYTES: usize = 80;

/// Sends due messages until the box stops.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut sender = Sender {
        node,
        socket,
        incarnation: started_ms(),
        sequence: 0,
    };
    let mut ticks = 0;
    let mut next_tick = tokio::time::Instant::now();
    let mut next_scarce_tick = next_tick;
    loop {
        if tokio::time::Instant::now() >= next_tick {
            next_tick = tokio::time::Instant::now() + TICK;
            tick(&sender.node, ticks);
            ticks += 1;
        }
        if tokio::time::Instant::now() >= next_scarce_tick {
            let has_scarce_servers = scarce_tick(&sender.node);
            let pause = if has_scarce_servers {
                SCARCE_TICK
            } else {
                TICK
            };
            next_scarce_tick = tokio::time::Instant::now() + pause;
        }
        sender.send_due().await;
        tokio::time::sleep(SEND_PAUSE).await;
        tokio::select! {
            () = tokio::time::sleep_until(next_tick.min(next_scarce_tick)) => {}
            () = sender.node.outbox.wait() => {}
        }
    }
}

fn tick(node: &Node, ticks: u64) {
    node.count_boxes();
    let now_ms = node.now_ms();
    for server in node.servers.borrow().all() {
        if server.usage.borrow().is_due(now_ms) {
            node.outbox.post_usage(server.key);
        }
    }
    if ticks.is_multiple_of(GOSSIP_TICKS) {
        gossip::post_round(node);
    }
}

/// Reports usage at scarce servers and decides on waiting requests there; returns whether any
/// server is scarce.
fn scarce_tick(node: &Node) -> bool {
    if !holder::has_accounts(node) {
        return false;
    }
    let now_ms = node.now_ms();
    let scarce = {
        let servers = node.servers.borrow();
        let is_scarce = |server: &&Rc<Server>| node.is_scarce(server);
        servers.all().filter(is_scarce).cloned().collect::<Vec<_>>()
    };
    for server in &scarce {
        if server.usage.borrow().is_due(now_ms) {
            node.outbox.post_usage(server.key);
        }
    }
    holder::decide_all(node);
    !scarce.is_empty()
}

fn started_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since
        .map(|since| since.as_millis() as u64)
        .unwrap_or_default()
}

#[derive(Serialize)]
struct SendFailedEvent<'a> {
    to: &'a str,
    error: String,
}

struct Sender {
    node: Rc<Node>,
    socket: Rc<UdpSocket>,
    incarnation: u64,
    sequence: u64,
}

impl Sender {
    async fn send_due(&mut self) {
        let due = self.node.outbox.take();
        for (box_id, parts) in parts_by_box(&self.node, due) {
            let Some(address) = peer_address(&self.node, &box_id) else {
                continue;
            };
            self.send_parts(&box_id, address, parts).await;
        }
    }

    /// Sends parts in as few frames as possible.
    async fn send_parts(&mut self, box_id: &str, address: SocketAddr, parts: Vec<FramePart>) {
        let mut frame = Vec::new();
        let mut bytes = FRAME_OVERHEAD_BYTES;
        for part in parts {
            let size = postcard::to_stdvec(&part).map_or(0, |encoded| encoded.len());
            self.node.metrics.count_part(part.kind(), size);
            if bytes + size > MAX_FRAME_BYTES && !frame.is_empty() {
                self.send_frame(box_id, address, std::mem::take(&mut frame))
                    .await;
                bytes = FRAME_OVERHEAD_BYTES;
            }
            bytes += size;
            frame.push(part);
        }
        self.send_frame(box_id, address, frame).await;
    }

    async fn send_frame(&mut self, box_id: &str, address: SocketAddr, parts: Vec<FramePart>) {
        self.sequence += 1;
        let frame = Frame {
            box_id: self.node.settings.borrow().box_id.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            parts,
        };
        let sent = match postcard::to_stdvec(&frame) {
            Ok(bytes) => self
                .socket
                .send_to(&bytes, address)
                .await
                .map_err(|error| error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match sent {
            Ok(bytes) => self.node.metrics.count_frame("sent", bytes),
            Err(error) => self.note_failure(box_id, error),
        }
    }

    /// Counts a failed send. It needs no retry here: as after a lost datagram, requests and reports
    /// are repeated.
    fn note_failure(&self, box_id: &str, error: String) {
        self.node.metrics.count_frame("send_failed", 0);
        let event = SendFailedEvent { to: box_id, error };
        events::emit(part::MEMBERS, Level::Debug, "frame_not_sent", &event);
    }
}

fn peer_address(node: &Node, box_id: &str) -> Option<SocketAddr> {
    let members = node.members.borrow();
    members.get(box_id).map(|member| member.record.peer)
}

/// Groups the due parts by receiver.
fn parts_by_box(node: &Node, due: Due) -> HashMap<String, Vec<FramePart>> {
    let mut by_box = due.parts;
    for (server, boxes) in due.statuses {
        for (box_id, status) in statuses(node, server, boxes) {
            by_box.entry(box_id).or_default().push(status);
        }
    }
    for server in due.usage_reports {
        if let Some((holder, usage)) = usage_for_holder(node, server) {
            by_box.entry(holder).or_default().push(usage);
        }
    }
    by_box
}

fn statuses(node: &Node, server: ServerKey, boxes: HashSet<String>) -> Vec<(String, FramePart)> {
    let Some(held) = node.held_server(server) else {
        return Vec::new();
    };
    let own_id = node.settings.borrow().box_id.clone();
    boxes
        .into_iter()
        .filter(|box_id| *box_id != own_id)
        .filter_map(|box_id| {
            let status = held.status(node, server, &box_id)?;
            Some((box_id, FramePart::Status(status)))
        })
        .collect()
}

/// Builds the usage report for a server's holder; applied directly where this box is the holder.
fn usage_for_holder(node: &Node, server: ServerKey) -> Option<(String, FramePart)> {
    let server = node.servers.borrow().by_key(server)?;
    let holder = node.holder_of(&server)?;
    let report = server.usage.borrow_mut().take_report(node.now_ms());
    if let Some(held) = node.held_server(server.key) {
        let own_id = node.settings.borrow().box_id.clone();
        held.record_usage(node, &server, &own_id, report);
        holder::decide_waiting(node, &server, &held);
        return None;
    }
    let part = UsagePart {
        server: server.fingerprint(),
        uses: report.uses,
        failure_penalty_percent: to_percent(report.failure_penalty),
        delay_percent: report.delay.map(to_percent),
    };
    Some((holder, FramePart::Usage(part)))
}
