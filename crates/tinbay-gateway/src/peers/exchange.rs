//! Sends the queued messages to other boxes as UDP datagrams, and the periodic reports.

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
use super::outbox::QueuedMessages;
use crate::events::{self, part};
use crate::node::Node;
use crate::servers::Server;
use crate::sharing::holder;
use crate::sharing::links::AdmissionContext;

/// Interval at which usage is reported to the holders of servers: requests that have ended, and
/// again those that still run.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Report interval while servers are scarce: a waiting request is admitted only once the holder
/// learns that another has ended.
const SCARCE_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Report intervals per round of gossip.
const INTERVALS_PER_GOSSIP_ROUND: u64 = 2;

/// Pause after sending, so that several changes share a message, unless one is urgent.
const SEND_PAUSE: Duration = Duration::from_millis(2);

/// Size reserved in a frame for everything but its parts.
const FRAME_OVERHEAD_BYTES: usize = 80;

/// Sends queued messages until the box stops.
pub async fn send(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut sender = Sender {
        node,
        socket,
        incarnation: unix_time_ms(),
        sequence: 0,
    };
    let mut rounds = 0;
    let mut next_report = tokio::time::Instant::now();
    let mut next_scarce_report = next_report;
    loop {
        if tokio::time::Instant::now() >= next_report {
            next_report = tokio::time::Instant::now() + REPORT_INTERVAL;
            post_periodic_reports(&sender.node, rounds);
            rounds += 1;
        }
        if tokio::time::Instant::now() >= next_scarce_report {
            let has_scarce_servers = post_scarce_reports(&sender.node);
            let pause = if has_scarce_servers {
                SCARCE_REPORT_INTERVAL
            } else {
                REPORT_INTERVAL
            };
            next_scarce_report = tokio::time::Instant::now() + pause;
        }
        sender.send_queued().await;
        let _ = tokio::time::timeout(SEND_PAUSE, sender.node.outbox.wait_for_urgent()).await;
        tokio::select! {
            () = tokio::time::sleep_until(next_report.min(next_scarce_report)) => {}
            () = sender.node.outbox.wait() => {}
        }
    }
}

fn post_periodic_reports(node: &Node, round: u64) {
    node.count_boxes();
    let now_ms = node.now_ms();
    for server in node.servers.borrow().all() {
        if server.usage.borrow().is_due(now_ms) {
            node.outbox.post_usage(server.key);
        }
    }
    if round.is_multiple_of(INTERVALS_PER_GOSSIP_ROUND) {
        gossip::post_round(node);
    }
}

/// Reports usage at scarce servers and decides on waiting requests there; returns whether any
/// server is scarce.
fn post_scarce_reports(node: &Node) -> bool {
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

fn unix_time_ms() -> u64 {
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
    async fn send_queued(&mut self) {
        let queued = self.node.outbox.take();
        for (box_id, parts) in parts_by_box(&self.node, queued) {
            let Some(address) = peer_address(&self.node, &box_id) else {
                continue;
            };
            let (newer, parts) = split_off_newer(parts);
            for parts in [parts, newer] {
                if !parts.is_empty() {
                    self.send_parts(&box_id, address, parts).await;
                }
            }
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
            Err(error) => self.record_failure(box_id, error),
        }
    }

    /// Counts and logs a failed send. It needs no retry here: requests and reports are repeated
    /// anyway, as datagrams can be lost.
    fn record_failure(&self, box_id: &str, error: String) {
        self.node.metrics.count_frame("send_failed", 0);
        let event = SendFailedEvent { to: box_id, error };
        events::emit(part::MEMBERS, Level::Debug, "frame_not_sent", &event);
    }
}

/// Splits off the parts that boxes of the previous release can't decode.
fn split_off_newer(parts: Vec<FramePart>) -> (Vec<FramePart>, Vec<FramePart>) {
    parts
        .into_iter()
        .partition(FramePart::is_unknown_to_previous_release)
}

fn peer_address(node: &Node, box_id: &str) -> Option<SocketAddr> {
    let members = node.members.borrow();
    members.get(box_id).map(|member| member.record.peer)
}

/// Groups the queued parts by receiving box; statuses and usage reports are built here.
fn parts_by_box(node: &Node, queued: QueuedMessages) -> HashMap<String, Vec<FramePart>> {
    let mut by_box = queued.parts;
    for (server, boxes) in queued.statuses {
        for (box_id, status) in statuses(node, server, boxes) {
            by_box.entry(box_id).or_default().push(status);
        }
    }
    for server in queued.usage_reports {
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

/// Builds the usage report for a server's holder; if this box is the holder, applies it directly
/// and returns `None`.
fn usage_for_holder(node: &Node, server: ServerKey) -> Option<(String, FramePart)> {
    let server = node.servers.borrow().by_key(server)?;
    let holder = node.holder_of(&server)?;
    let is_verified = !node.links.is_suspected(server.key);
    let mut usage = server.usage.borrow_mut();
    let report = usage.take_report(node.now_ms(), is_verified);
    drop(usage);
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
