//! Receives messages from other boxes and passes each part to the module that handles it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use log::Level;
use serde::Serialize;
use tinbay_core::serving::contents::HeldState;
use tinbay_core::serving::servers::Fingerprint;
use tinbay_core::serving::wanted_loads::WantedLoad;
use tinbay_core::units::Millis;
use tokio::net::UdpSocket;

use super::frame::{
    AdapterPart, Frame, FramePart, LoadRequestPart, MAX_FRAME_BYTES, StatusPart, UsagePart,
    ZoneReportPart, from_percent,
};
use super::gossip;
use crate::crashes::{parts, spread};
use crate::events::{self, part};
use crate::limits::limited::LimitKey;
use crate::limits::{self, notices};
use crate::members::box_fingerprint;
use crate::node::Node;
use crate::resumption::{origin, recording};
use crate::servers::usage::UsageReport;
use crate::servers::view::{ServerStatus, ViewEntry};
use crate::sharing::holder;
use crate::slots::{home as slots, spread as spread_brittleness};

/// Pause after a failed read of the socket.
const FAILED_READ_PAUSE: Duration = Duration::from_millis(10);

/// Sequence numbers of the latest frames of one box, to ignore reordered ones.
#[derive(Debug, Default)]
struct LatestSequences {
    incarnation: u64,
    usage: HashMap<Fingerprint, u64>,
    statuses: HashMap<Fingerprint, u64>,
}

#[derive(Serialize)]
struct UnreadableEvent {
    bytes: usize,
    error: String,
}

/// Receives frames until the box stops.
pub async fn receive(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_FRAME_BYTES * 2];
    let mut latest_by_box: HashMap<String, LatestSequences> = HashMap::new();
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(FAILED_READ_PAUSE).await;
            continue;
        };
        match postcard::from_bytes::<Frame>(&buffer[..length]) {
            Ok(frame) => {
                node.metrics.count_frame("received", length);
                handle_frame(&node, frame, &mut latest_by_box);
            }
            Err(error) => {
                node.metrics.count_frame("unreadable", length);
                let event = UnreadableEvent {
                    bytes: length,
                    error: error.to_string(),
                };
                events::emit(part::MEMBERS, Level::Warn, "frame_unreadable", &event);
            }
        }
    }
}

fn handle_frame(
    node: &Rc<Node>,
    frame: Frame,
    latest_by_box: &mut HashMap<String, LatestSequences>,
) {
    let latest = latest_by_box.entry(frame.box_id.clone()).or_default();
    if frame.incarnation < latest.incarnation {
        return;
    }
    if frame.incarnation > latest.incarnation {
        *latest = LatestSequences {
            incarnation: frame.incarnation,
            ..LatestSequences::default()
        };
    }
    let now_ms = node.now_ms();
    {
        let mut members = node.members.borrow_mut();
        members.record_contact(now_ms);
        members.record_heard(&frame.box_id, now_ms);
    }
    for part in frame.parts {
        match part {
            FramePart::Hello(record) => {
                let mut members = node.members.borrow_mut();
                members.record_hello(&frame.box_id, record, now_ms);
            }
            FramePart::LastHeard(heard) => handle_last_heard(node, &heard, now_ms),
            FramePart::ZoneReport(report) => {
                handle_zone_report(node, &frame.box_id, &report, now_ms)
            }
            FramePart::Silent(silent) => handle_silent(node, &silent, now_ms),
            FramePart::ZonesHeard(zones) => handle_zones_heard(node, &zones, now_ms),
            FramePart::CrashReport(part) => spread::handle_report(node, &part),
            FramePart::Refused(parts) => spread::handle_refused(node, &parts),
            FramePart::PossibleCrash(part) => spread::handle_possible_crash(node, part),
            FramePart::PromptPart(message) => parts::handle(node, &frame.box_id, message),
            FramePart::LimitRequest(part) => limits::handle_request(node, &frame.box_id, &part),
            FramePart::LimitGrant(part) => limits::handle_grant(node, &part),
            FramePart::ServerLimit(part) => {
                notices::apply(node, LimitKey::Server(part.server), Some(&part.notice));
            }
            FramePart::LoadRequest(request) => {
                handle_load_request(node, &frame.box_id, request, now_ms)
            }
            FramePart::StatusRequest(server) => {
                handle_status_request(node, &frame.box_id, server, now_ms)
            }
            FramePart::ContentsMismatch(server) => handle_contents_mismatch(node, server),
            FramePart::AdmissionRequest(part) => holder::handle_request(node, &frame.box_id, &part),
            FramePart::AdmissionReply(part) => node.sharing.deliver_reply(part),
            FramePart::StreamStart(part) => recording::handle_start(node.as_ref(), part),
            FramePart::OriginRequest(part) => {
                origin::handle_request(node.as_ref(), &frame.box_id, part)
            }
            FramePart::OriginReply(part) => {
                let questions = &node.resumption.questions;
                questions.deliver_reply(&frame.box_id, part);
            }
            FramePart::BrittleServices(services) => spread_brittleness::handle(node, &services),
            FramePart::SlotRequest(part) => slots::handle_request(node, &frame.box_id, &part),
            FramePart::SlotReply(part) => node.slots.deliver_reply(part),
            FramePart::SlotReport(part) => {
                slots::apply_report(node, box_fingerprint(&frame.box_id), &part);
            }
            FramePart::Usage(usage) => {
                if advance(
                    latest.usage.entry(usage.server).or_default(),
                    frame.sequence,
                ) {
                    handle_usage(node, &frame.box_id, usage);
                }
            }
            FramePart::Status(status) => {
                if advance(
                    latest.statuses.entry(status.server).or_default(),
                    frame.sequence,
                ) {
                    handle_status(node, status, now_ms);
                }
            }
        }
    }
}

/// Raises `last` to a frame's sequence number; returns false for a frame that arrived out of order.
fn advance(last: &mut u64, sequence: u64) -> bool {
    let is_newer = sequence > *last;
    *last = sequence.max(*last);
    is_newer
}

fn handle_last_heard(node: &Node, heard: &[(Fingerprint, u16)], now_ms: Millis) {
    let mut members = node.members.borrow_mut();
    for (fingerprint, age_ms) in heard {
        let heard_ms = now_ms.saturating_sub(Millis::from(*age_ms));
        members.record_heard_at(*fingerprint, heard_ms);
    }
}

fn handle_zone_report(node: &Node, reporter: &str, report: &ZoneReportPart, now_ms: Millis) {
    handle_zones_heard(node, &report.zones_heard, now_ms);
    let mut members = node.members.borrow_mut();
    let is_newly_silent = members.record_zone_report(reporter, &report.silent, now_ms);
    drop(members);
    if is_newly_silent {
        gossip::post_silent(node);
    }
}

fn handle_zones_heard(node: &Node, zones: &[(Fingerprint, u16)], now_ms: Millis) {
    let mut members = node.members.borrow_mut();
    for (zone, age_ms) in zones {
        members.record_zone_heard(*zone, now_ms.saturating_sub(Millis::from(*age_ms)));
    }
}

fn handle_silent(node: &Node, silent: &[(Fingerprint, u16)], now_ms: Millis) {
    let is_newly_silent = {
        let mut members = node.members.borrow_mut();
        let mut is_newly_silent = false;
        for (fingerprint, age_ms) in silent {
            let reported_ms = now_ms.saturating_sub(Millis::from(*age_ms));
            is_newly_silent |= members.record_silence_report(*fingerprint, reported_ms);
        }
        is_newly_silent
    };
    if is_newly_silent {
        gossip::post_silent(node);
    }
}

fn handle_load_request(node: &Node, box_id: &str, request: LoadRequestPart, now_ms: Millis) {
    let Some(server) = node.servers.borrow().by_fingerprint(request.server) else {
        return;
    };
    let Some(held) = node.held_server(server.key) else {
        return;
    };
    let wanted_load = WantedLoad {
        adapter: request.adapter,
        version: request.version,
        is_copy: request.is_copy,
    };
    held.record_load_request(box_id, wanted_load, now_ms);
    server.order_due.notify_one();
    node.outbox.post_status(server.key, box_id);
}

fn handle_status_request(node: &Node, box_id: &str, fingerprint: Fingerprint, now_ms: Millis) {
    let Some(server) = node.servers.borrow().by_fingerprint(fingerprint) else {
        return;
    };
    if let Some(held) = node.held_server(server.key) {
        held.record_status_request(box_id, now_ms);
        node.outbox.post_status(server.key, box_id);
    }
}

fn handle_contents_mismatch(node: &Node, fingerprint: Fingerprint) {
    if let Some(server) = node.servers.borrow().by_fingerprint(fingerprint) {
        node.report_contents_mismatch(&server);
    }
}

fn handle_usage(node: &Node, box_id: &str, part: UsagePart) {
    let Some(server) = node.servers.borrow().by_fingerprint(part.server) else {
        return;
    };
    let Some(held) = node.held_server(server.key) else {
        return;
    };
    let report = UsageReport {
        uses: part.uses,
        failure_penalty: from_percent(part.failure_penalty_percent),
        delay: part.delay_percent.map(from_percent),
    };
    held.record_usage(node, &server, box_id, report);
    holder::decide_waiting(node, &server, &held);
    if held.has_wanted_loads() {
        server.order_due.notify_one();
    }
}

fn handle_status(node: &Node, part: StatusPart, now_ms: Millis) {
    let Some(server) = node.servers.borrow().by_fingerprint(part.server) else {
        return;
    };
    notices::apply(node, LimitKey::Server(part.server), part.limit.as_ref());
    let status = ServerStatus {
        entries: part.adapters.iter().map(to_entry).collect(),
        running_elsewhere: usize::from(part.running_elsewhere),
        delay: from_percent(part.delay_percent),
        backlog_ms: f64::from(part.backlog_ms),
        failure_penalty: from_percent(part.failure_penalty_percent),
        takes_loads: part.takes_loads,
        load_wait_ms: f64::from(part.load_wait_ms),
        is_scarce: part.is_scarce,
    };
    let change = server.view.borrow_mut().apply_status(status, now_ms);
    node.waiters.wake(&change.ready);
    server.status_received.notify_waiters();
}

fn to_entry(adapter: &AdapterPart) -> (Fingerprint, ViewEntry) {
    let state = if adapter.is_ready {
        HeldState::Ready
    } else {
        HeldState::Loading
    };
    let entry = ViewEntry {
        version: u64::from(adapter.version),
        state,
        copies: usize::from(adapter.copies),
    };
    (adapter.adapter, entry)
}
