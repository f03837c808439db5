//! Refuses requests with prompt parts that crash backend servers.
//!
//! [`PartJudge`] decides; this module feeds it with what the box sees and what others tell, passes its
//! announcements on, and holds requests back while a part of their prompts is being judged.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use log::Level;
use rand::seq::SliceRandom;
use serde::Serialize;
use tinbay_core::crashes::digest::RequestDigest;
use tinbay_core::crashes::ledger::CrashKey;
use tinbay_core::crashes::parts::{
    Announcement, CrashReport, Evidence, Heard, PROVING_WRITE_MS, PartJudge, PartRefusal, PartSet,
    Proof, ProofEffect, Suspicion,
};
use tinbay_core::serving::prompt::PartId;
use tinbay_core::units::Millis;
use tokio::sync::Notify;

use super::check::{CutRequest, list_parts};
use super::confirm::has_crashed;
use super::entries::StoreEntry;
use super::spread::{self, Audience};
use crate::events::{self, part};
use crate::front::inbound::InboundRequest;
use crate::http::relay::ProgressObserver;
use crate::node::Node;
use crate::peers::frame::{FramePart, PromptPartMessage};

/// Interval at which suspicions are judged while there are any.
const JUDGE_INTERVAL: Duration = Duration::from_millis(25);

/// Lateness of a judgement from which the box may have been suspended. Objections that came meanwhile
/// are read first.
const MAX_LATE_MS: Millis = 200;

/// Pauses between the reports of a crash, as messages may be lost. A tracker that fails is replaced
/// within the last one.
const REPORT_PAUSES: [Duration; 2] = [Duration::from_millis(600), Duration::from_millis(2_400)];

/// Upper bound on refusals listed in one message. Each message lists a random selection, so that all
/// are listed over time.
const MAX_LISTED: usize = 4;

/// This box's knowledge of prompt parts that crash servers.
#[derive(Debug, Default)]
pub struct Parts {
    judge: RefCell<PartJudge>,
    /// Notified when a part is suspected.
    suspected: Notify,
    /// Notified when suspicions have been judged or dropped.
    judged: Notify,
    /// Sets that this box has refused, of which it has written entries to the store.
    written: RefCell<Vec<PartSet>>,
}

impl Parts {
    /// Drops refusals whose time is over.
    pub fn tidy(&self, now_ms: Millis) {
        let mut judge = self.judge.borrow_mut();
        judge.tidy(now_ms);
        let mut written = self.written.borrow_mut();
        written.retain(|set| judge.refuses(set, now_ms));
    }

    /// Numbers of refused sets and of suspected parts.
    pub fn counts(&self, now_ms: Millis) -> (usize, usize) {
        let (refused, suspected, _) = self.judge.borrow().counts(now_ms);
        (refused, suspected)
    }
}

/// How this box learned of a judgement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// This box counted the crashes or answered a request.
    Own,
    /// Another box announced it.
    Announced,
    /// It was read from the store.
    Stored,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Source::Own => "counted",
            Source::Announced => "told",
            Source::Stored => "stored",
        }
    }
}

#[derive(Serialize)]
struct SuspectedEvent {
    prompt_part: String,
    companions: String,
    crashes: String,
    requests: u16,
    source: &'static str,
    age_ms: u16,
}

#[derive(Serialize)]
struct ProvenEvent {
    prompt_part: String,
    source: &'static str,
    proof_age_ms: u32,
    lifted: String,
}

#[derive(Serialize)]
struct RefusedEvent {
    parts: String,
    crashes: String,
    requests: u16,
    source: &'static str,
    age_ms: u32,
    is_overruled: bool,
}

/// Judges suspicions when they are due, until the box stops.
pub async fn run(node: Rc<Node>) {
    let parts = &node.crashes.parts;
    loop {
        if !parts.judge.borrow().has_suspected() {
            parts.suspected.notified().await;
        }
        let before_ms = node.now_ms();
        tokio::time::sleep(JUDGE_INTERVAL).await;
        if node.now_ms() > before_ms + MAX_LATE_MS {
            continue;
        }
        let refusals = parts.judge.borrow_mut().judge(node.now_ms());
        for refusal in refusals {
            let set = refusal.parts.clone();
            parts.written.borrow_mut().push(set.clone());
            node.crashes.save(StoreEntry::Parts(set));
            log_refusal(&node, &refusal, Source::Own, false);
            post_refusal(&node, refusal, Audience::AllZones);
        }
        parts.judged.notify_waiters();
    }
}

/// Whether a request is refused for its shared parts.
pub fn is_refused(node: &Node, inbound: &InboundRequest) -> bool {
    let now_ms = node.now_ms();
    let mut judge = node.crashes.parts.judge.borrow_mut();
    let refused = judge.refused_set(&inbound.shared_parts, now_ms).cloned();
    refused.is_some_and(|set| {
        let is_trial =
            is_first_tracker(node, &set) && judge.allows_trial(&set, &inbound.id, now_ms);
        !is_trial
    })
}

/// Whether this box is the first of those that track a set, which alone lets requests with it reach
/// servers as trials.
fn is_first_tracker(node: &Node, set: &PartSet) -> bool {
    let first = set.parts().first();
    first.is_some_and(|part| spread::is_first_tracker(node, &tracked_name(*part)))
}

/// Whether a part of a request is suspected, and not proven at this box.
pub fn is_awaiting_judgement(node: &Node, shared_parts: &[PartId]) -> bool {
    let judge = node.crashes.parts.judge.borrow();
    judge.has_suspected() && judge.is_awaiting_judgement(shared_parts, node.now_ms())
}

/// Waits until no part of a request is suspected any more; returns false if its time is up before.
pub async fn wait_for_judgement(node: &Node, inbound: &InboundRequest) -> bool {
    let time_up = tokio::time::Instant::from_std(node.clock.instant(inbound.time_up_ms));
    loop {
        let judged = node.crashes.parts.judged.notified();
        if !is_awaiting_judgement(node, &inbound.shared_parts) {
            return true;
        }
        if tokio::time::timeout_at(time_up, judged).await.is_err() {
            return false;
        }
    }
}

/// The observer that proves the parts of a request once its answer has been written for some time;
/// none for an answer that is no success.
pub fn observe_progress(
    node: &Rc<Node>,
    inbound: &Rc<InboundRequest>,
    status: StatusCode,
) -> Option<ProgressObserver> {
    if !status.is_success() || inbound.shared_parts.is_empty() {
        return None;
    }
    let node = Rc::clone(node);
    let inbound = Rc::clone(inbound);
    Some(ProgressObserver {
        after_ms: PROVING_WRITE_MS,
        observer: Box::new(move || record_answered(&node, &inbound.shared_parts)),
    })
}

/// Records that a request with these parts was answered, so that they do not crash servers.
pub fn record_answered(node: &Node, shared_parts: &[PartId]) {
    let now_ms = node.now_ms();
    for prompt_part in shared_parts {
        let proof = Proof {
            part: *prompt_part,
            age_ms: 0,
        };
        let effect = node
            .crashes
            .parts
            .judge
            .borrow_mut()
            .record_proof(proof, now_ms);
        apply_proof_effect(node, proof, effect, Source::Own);
    }
}

/// Counts a crash for the unproven parts of the requests that were cut, and reports it to the boxes
/// that track them.
pub fn report_crash(node: &Rc<Node>, crash: CrashKey, cut: &[CutRequest]) {
    let reports = reports(node, crash, cut, true);
    for report in &reports {
        count(node, report);
    }
    post_to_trackers(node, reports);
}

/// Reports a crash that this box can't tell from the loss of its own links. The boxes that track the
/// parts find out whether they reach the server.
pub fn report_possible_crash(node: &Rc<Node>, crash: CrashKey, cut: &[CutRequest]) {
    let reports = reports(node, crash, cut, false);
    post_to_trackers(node, reports);
}

/// The reports of a crash for the unproven parts of the requests that were cut. A server crashes of a
/// part as it begins to write, so that requests whose answers had been written for longer are not the
/// cause.
fn reports(node: &Node, crash: CrashKey, cut: &[CutRequest], is_certain: bool) -> Vec<CrashReport> {
    let mut reports = Vec::new();
    for request in cut {
        if request
            .written_for_ms
            .is_some_and(|written_ms| written_ms >= PROVING_WRITE_MS)
        {
            continue;
        }
        let judge = node.crashes.parts.judge.borrow();
        let unproven = judge.unproven(&request.parts, request.cut_ms);
        for prompt_part in &unproven {
            let companions = unproven.iter().filter(|other| *other != prompt_part);
            reports.push(CrashReport {
                part: *prompt_part,
                companions: companions.copied().collect(),
                crash,
                request: request.digests.first().map_or(0, RequestDigest::short),
                age_ms: to_u16(node.now_ms() - request.cut_ms),
                is_certain,
            });
        }
    }
    reports
}

fn post_to_trackers(node: &Rc<Node>, reports: Vec<CrashReport>) {
    if reports.is_empty() {
        return;
    }
    let node = Rc::clone(node);
    tokio::task::spawn_local(async move { report_to_trackers(&node, reports).await });
}

async fn report_to_trackers(node: &Node, reports: Vec<CrashReport>) {
    let began_ms = node.now_ms();
    post_reports(node, &reports, 0);
    for pause in REPORT_PAUSES {
        tokio::time::sleep(pause).await;
        post_reports(node, &reports, node.now_ms() - began_ms);
    }
}

fn post_reports(node: &Node, reports: &[CrashReport], since_ms: Millis) {
    for report in reports {
        let aged = CrashReport {
            age_ms: report.age_ms.saturating_add(to_u16(since_ms)),
            ..report.clone()
        };
        let message = FramePart::PromptPart(PromptPartMessage::Crash(aged));
        for tracker in trackers(node, report.part) {
            node.outbox.post(&tracker, message.clone());
        }
    }
}

fn trackers(node: &Node, prompt_part: PartId) -> Vec<String> {
    spread::trackers(node, &tracked_name(prompt_part))
}

/// Name by which the boxes that track a part are selected.
fn tracked_name(prompt_part: PartId) -> String {
    format!("part/{prompt_part}")
}

/// Counts a crash under a request with a part, and announces what follows from it.
fn count(node: &Node, report: &CrashReport) {
    let now_ms = node.now_ms();
    let announcement = {
        let mut judge = node.crashes.parts.judge.borrow_mut();
        judge.record_crash(report, now_ms)
    };
    match announcement {
        None => {}
        Some(Announcement::Suspicion(suspicion)) => {
            node.crashes.parts.suspected.notify_one();
            log_suspicion(node, &suspicion, Source::Own);
            post(
                node,
                PromptPartMessage::Suspicion(suspicion),
                Audience::AllZones,
            );
        }
        Some(Announcement::Refusal(refusal)) => {
            log_refusal(node, &refusal, Source::Own, false);
            post_refusal(node, refusal, Audience::AllZones);
        }
    }
}

/// Counts another box's report of a crash that may be the loss of that box's links, if this box
/// can't connect to the server either or the store has lost it. The other boxes that track the part,
/// the reporting one perhaps among them, count it as well.
async fn count_if_confirmed(node: Rc<Node>, report: CrashReport) {
    let received_ms = node.now_ms();
    let cut_ms = received_ms.saturating_sub(Millis::from(report.age_ms));
    if !has_crashed(&node, report.crash, cut_ms).await {
        return;
    }
    let waited_ms = node.now_ms() - received_ms;
    let confirmed = CrashReport {
        is_certain: true,
        age_ms: report.age_ms.saturating_add(to_u16(waited_ms)),
        ..report
    };
    count(&node, &confirmed);
    post_reports(&node, &[confirmed], 0);
}

/// Handles another box's message.
pub fn handle(node: &Rc<Node>, sender: &str, message: PromptPartMessage) {
    match message {
        PromptPartMessage::Crash(report) if report.is_certain => count(node, &report),
        PromptPartMessage::Crash(report) => {
            tokio::task::spawn_local(count_if_confirmed(Rc::clone(node), report));
        }
        PromptPartMessage::Suspicion(suspicion) => handle_suspicion(node, sender, suspicion),
        PromptPartMessage::Proof(proof) => {
            let now_ms = node.now_ms();
            let effect = node
                .crashes
                .parts
                .judge
                .borrow_mut()
                .record_proof(proof, now_ms);
            apply_proof_effect(node, proof, effect, Source::Announced);
        }
        PromptPartMessage::Refusals(refusals) => {
            for refusal in refusals {
                handle_refusal(node, Some(sender), refusal);
            }
        }
    }
}

fn handle_suspicion(node: &Node, sender: &str, suspicion: Suspicion) {
    let now_ms = node.now_ms();
    let heard = {
        let mut judge = node.crashes.parts.judge.borrow_mut();
        judge.hear_suspicion(&suspicion, now_ms)
    };
    match heard {
        Heard::Known => {}
        Heard::New => {
            node.crashes.parts.suspected.notify_one();
            log_suspicion(node, &suspicion, Source::Announced);
            post(
                node,
                PromptPartMessage::Suspicion(suspicion),
                Audience::AsRelay,
            );
        }
        Heard::Disproved(proofs) => object(node, Some(sender), &proofs),
    }
}

/// Sends proofs to the boxes that track the parts, and to the one that announced the contrary.
fn object(node: &Node, announcer: Option<&str>, proofs: &[Proof]) {
    let steps = &node.metrics.part_judgements;
    steps.with_label_values(&["objected"]).inc();
    for proof in proofs {
        let mut receivers = trackers(node, proof.part);
        receivers.extend(announcer.map(str::to_string));
        receivers.sort_unstable();
        receivers.dedup();
        for box_id in receivers {
            let message = FramePart::PromptPart(PromptPartMessage::Proof(*proof));
            node.outbox.post(&box_id, message);
        }
    }
}

/// Applies the refusal that another box announced, or that was read from the store.
fn handle_refusal(node: &Node, announcer: Option<&str>, refusal: PartRefusal) {
    let source = announcer.map_or(Source::Stored, |_| Source::Announced);
    let now_ms = node.now_ms();
    let heard = {
        let mut judge = node.crashes.parts.judge.borrow_mut();
        judge.hear_refusal(&refusal, now_ms)
    };
    match heard {
        Heard::Known => {}
        Heard::New => {
            log_refusal(node, &refusal, source, false);
            node.crashes.parts.judged.notify_waiters();
            post_refusal(node, refusal, Audience::AsRelay);
        }
        Heard::Disproved(proofs) => {
            log_refusal(node, &refusal, source, true);
            object(node, announcer, &proofs);
        }
    }
}

/// Applies refused parts read from the store.
pub fn apply_stored(node: &Node, parts: PartSet, evidence: Evidence) {
    let refusal = PartRefusal {
        parts,
        evidence,
        age_ms: 0,
    };
    handle_refusal(node, None, refusal);
}

fn apply_proof_effect(node: &Node, proof: Proof, effect: ProofEffect, source: Source) {
    if !effect.is_news {
        return;
    }
    let lifted: Vec<String> = effect.lifted.iter().map(ToString::to_string).collect();
    let event = ProvenEvent {
        prompt_part: proof.part.to_string(),
        source: match source {
            Source::Own => "answered",
            Source::Announced | Source::Stored => source.name(),
        },
        proof_age_ms: proof.age_ms,
        lifted: lifted.join(","),
    };
    events::emit(part::FRONT, Level::Info, "part_proven", &event);
    let steps = &node.metrics.part_judgements;
    steps
        .with_label_values(&["lifted"])
        .inc_by(effect.lifted.len() as u64);
    for set in effect.lifted {
        remove_entry(node, set);
    }
    node.crashes.parts.judged.notify_waiters();
    let audience = match source {
        Source::Own => Audience::AllZones,
        Source::Announced | Source::Stored => Audience::AsRelay,
    };
    post(node, PromptPartMessage::Proof(proof), audience);
}

/// Removes the entry of a set that is refused no longer, if this box has written it.
fn remove_entry(node: &Node, set: PartSet) {
    let mut written = node.crashes.parts.written.borrow_mut();
    let position = written.iter().position(|kept| *kept == set);
    if let Some(position) = position {
        written.remove(position);
        node.crashes.save(StoreEntry::Parts(set));
    }
}

fn post(node: &Node, message: PromptPartMessage, audience: Audience) {
    spread::post(node, &FramePart::PromptPart(message), audience);
}

fn post_refusal(node: &Node, refusal: PartRefusal, audience: Audience) {
    post(node, PromptPartMessage::Refusals(vec![refusal]), audience);
}

/// Refusals for a round of gossip; `None` if there are none.
pub fn refusals_part(node: &Node) -> Option<FramePart> {
    let mut refusals = node
        .crashes
        .parts
        .judge
        .borrow()
        .list_refusals(node.now_ms());
    if refusals.is_empty() {
        return None;
    }
    refusals.shuffle(&mut rand::rng());
    refusals.truncate(MAX_LISTED);
    Some(FramePart::PromptPart(PromptPartMessage::Refusals(refusals)))
}

/// The sets that are refused.
pub fn refused_sets(node: &Node) -> Vec<PartSet> {
    let refusals = node
        .crashes
        .parts
        .judge
        .borrow()
        .list_refusals(node.now_ms());
    refusals.into_iter().map(|refusal| refusal.parts).collect()
}

/// What speaks against a set of parts; none if it is not refused.
pub fn evidence(node: &Node, parts: &PartSet) -> Option<Evidence> {
    let refusals = node
        .crashes
        .parts
        .judge
        .borrow()
        .list_refusals(node.now_ms());
    let mut refusals = refusals.into_iter();
    let refusal = refusals.find(|refusal| refusal.parts == *parts)?;
    Some(refusal.evidence)
}

fn log_suspicion(node: &Node, suspicion: &Suspicion, source: Source) {
    let steps = &node.metrics.part_judgements;
    steps.with_label_values(&["suspected"]).inc();
    let event = SuspectedEvent {
        prompt_part: suspicion.part.to_string(),
        companions: list_parts(&suspicion.companions),
        crashes: list_crashes(&suspicion.evidence),
        requests: suspicion.evidence.requests,
        source: source.name(),
        age_ms: suspicion.age_ms,
    };
    events::emit(part::FRONT, Level::Warn, "part_suspected", &event);
}

fn log_refusal(node: &Node, refusal: &PartRefusal, source: Source, is_overruled: bool) {
    let steps = &node.metrics.part_judgements;
    let step = if is_overruled { "objected" } else { "refused" };
    steps.with_label_values(&[step]).inc();
    let event = RefusedEvent {
        parts: refusal.parts.to_string(),
        crashes: list_crashes(&refusal.evidence),
        requests: refusal.evidence.requests,
        source: source.name(),
        age_ms: refusal.age_ms,
        is_overruled,
    };
    events::emit(part::FRONT, Level::Warn, "parts_refused", &event);
}

fn list_crashes(evidence: &Evidence) -> String {
    let keys: Vec<String> = evidence
        .crashes
        .iter()
        .map(|key| format!("{key:x}"))
        .collect();
    keys.join(",")
}

fn to_u16(age_ms: Millis) -> u16 {
    age_ms.min(Millis::from(u16::MAX)) as u16
}
