//! The boxes of a simulation and the messages between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use tinbay_core::crashes::parts::{
    Announcement, CrashReport, Evidence, Heard, PartJudge, PartRefusal, Proof, Suspicion,
};
use tinbay_core::serving::prompt::PartId;

use super::CrashParameters;
use super::demand::Demand;

/// One-way delay of a message, including the interval in which a box collects messages.
const MESSAGE_DELAY_MS: u64 = 3;

/// Size of a message without its content: headers of the datagram and of the frame.
const OVERHEAD_BYTES: u64 = 80;

/// Size of an id or key in a message.
const ID_BYTES: u64 = 10;

/// Boxes of its own zone to which a box announces directly.
const ZONE_PEERS: usize = 4;

/// Boxes of its own zone, and other zones, that a box tells of all refusals in a round of gossip.
const PEERS_PER_ROUND: usize = 3;

/// Interval of the rounds of gossip.
const ROUND_MS: u64 = 500;

/// Refusals listed in one message at most.
const MAX_LISTED: usize = 4;

/// Boxes per relay of a zone.
const BOXES_PER_RELAY: usize = 64;

/// Pauses after which a crash is reported again.
const REPORT_PAUSES_MS: [u64; 3] = [0, 600, 3_000];

/// A message between two boxes.
#[derive(Debug, Clone)]
pub enum Message {
    Crash(CrashReport),
    Suspicion(Suspicion),
    Proof(Proof),
    Refusal(PartRefusal),
}

impl Message {
    fn bytes(&self) -> u64 {
        let evidence = |evidence: &Evidence| ID_BYTES * evidence.crashes.len() as u64 + 4;
        let content = match self {
            Message::Crash(report) => ID_BYTES * (3 + report.companions.len() as u64) + 4,
            Message::Suspicion(suspicion) => {
                let parts = 1 + suspicion.companions.len() as u64;
                ID_BYTES * parts + evidence(&suspicion.evidence) + 4
            }
            Message::Proof(_) => ID_BYTES + 4,
            Message::Refusal(refusal) => {
                let parts = refusal.parts.parts().len() as u64;
                ID_BYTES * parts + evidence(&refusal.evidence) + 5
            }
        };
        OVERHEAD_BYTES + content
    }
}

#[derive(Debug)]
struct Delivery {
    from: usize,
    to: usize,
    message: Message,
}

/// Whether a message begins at a box or is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Own,
    PassedOn,
}

/// All boxes, and the messages on their way.
pub struct Fleet {
    pub judges: Vec<PartJudge>,
    zones: usize,
    /// Due time and number of each message.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    deliveries: Vec<Option<Delivery>>,
    /// Bytes sent by each box in the present second, and the most in any second.
    bytes: Vec<u64>,
    pub most_bytes_per_s: u64,
    pub total_bytes: u64,
    /// Sum of the busiest seconds' bytes over all boxes.
    pub most_fleet_bytes_per_s: u64,
    second: u64,
    /// Boxes that may have suspected parts.
    pub active: Vec<usize>,
}

impl Fleet {
    /// Creates the boxes of a run.
    pub fn new(terms: &CrashParameters) -> Self {
        Self {
            judges: (0..terms.boxes).map(|_| PartJudge::default()).collect(),
            zones: terms.zones.max(1),
            due: BinaryHeap::new(),
            deliveries: Vec::new(),
            bytes: vec![0; terms.boxes],
            most_bytes_per_s: 0,
            total_bytes: 0,
            most_fleet_bytes_per_s: 0,
            second: 0,
            active: Vec::new(),
        }
    }

    fn zone_of(&self, box_index: usize) -> usize {
        box_index % self.zones
    }

    fn zone_boxes(&self, zone: usize) -> usize {
        (self.judges.len() + self.zones - 1 - zone) / self.zones
    }

    fn relays(&self, zone: usize) -> usize {
        (1 + self.zone_boxes(zone) / BOXES_PER_RELAY).min(self.zone_boxes(zone))
    }

    /// The boxes that track a part.
    fn trackers(&self, part: PartId) -> [usize; 2] {
        let first = part.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) as usize % self.judges.len();
        [first, (first + 1) % self.judges.len()]
    }

    fn send(&mut self, from: usize, to: usize, message: Message, at_ms: u64, demand: &mut Demand) {
        let bytes = message.bytes();
        self.bytes[from] += bytes;
        self.bytes[to] += bytes;
        self.total_bytes += bytes;
        if demand.is_lost() {
            return;
        }
        self.due
            .push(Reverse((at_ms + MESSAGE_DELAY_MS, self.deliveries.len())));
        self.deliveries.push(Some(Delivery { from, to, message }));
    }

    /// Sends a message to some boxes of the zone and, if it begins here or this box is a relay, to a
    /// relay of each other zone.
    fn spread(
        &mut self,
        from: usize,
        message: &Message,
        origin: Origin,
        now_ms: u64,
        demand: &mut Demand,
    ) {
        let zone = self.zone_of(from);
        for _ in 0..ZONE_PEERS.min(self.zone_boxes(zone) - 1) {
            let peer = demand.index(self.zone_boxes(zone)) * self.zones + zone;
            if peer != from {
                self.send(from, peer, message.clone(), now_ms, demand);
            }
        }
        let is_relay = from / self.zones < self.relays(zone);
        if origin == Origin::PassedOn && !is_relay {
            return;
        }
        for other in (0..self.zones).filter(|other| *other != zone) {
            let relay = demand.index(self.relays(other)) * self.zones + other;
            self.send(from, relay, message.clone(), now_ms, demand);
        }
    }

    /// Counts a crash at the box that saw it, and reports it to the trackers.
    pub fn report(&mut self, from: usize, report: CrashReport, now_ms: u64, demand: &mut Demand) {
        self.count(from, &report, now_ms, demand);
        for pause_ms in REPORT_PAUSES_MS {
            let aged = CrashReport {
                age_ms: report.age_ms + pause_ms as u16,
                ..report.clone()
            };
            for tracker in self.trackers(report.part) {
                if tracker != from {
                    let message = Message::Crash(aged.clone());
                    self.send(from, tracker, message, now_ms + pause_ms, demand);
                }
            }
        }
    }

    fn count(&mut self, at: usize, report: &CrashReport, now_ms: u64, demand: &mut Demand) {
        let message = match self.judges[at].record_crash(report, now_ms) {
            None => return,
            Some(Announcement::Suspicion(suspicion)) => Message::Suspicion(suspicion),
            Some(Announcement::Refusal(refusal)) => Message::Refusal(refusal),
        };
        self.active.push(at);
        self.spread(at, &message, Origin::Own, now_ms, demand);
    }

    /// Records that a box has answered a request.
    pub fn record_answered(
        &mut self,
        at: usize,
        parts: &[PartId],
        now_ms: u64,
        demand: &mut Demand,
    ) {
        for part in parts {
            let proof = Proof {
                part: *part,
                age_ms: 0,
            };
            if self.judges[at].record_proof(proof, now_ms).is_news {
                self.spread(at, &Message::Proof(proof), Origin::Own, now_ms, demand);
            }
        }
    }

    /// Judges the suspicions of all boxes that have some; returns the refusals.
    pub fn judge(&mut self, now_ms: u64, demand: &mut Demand) -> Vec<PartRefusal> {
        let mut active = std::mem::take(&mut self.active);
        active.sort_unstable();
        active.dedup();
        let mut all = Vec::new();
        for at in active {
            for refusal in self.judges[at].judge(now_ms) {
                let message = Message::Refusal(refusal.clone());
                self.spread(at, &message, Origin::Own, now_ms, demand);
                all.push(refusal);
            }
            if self.judges[at].has_suspected() {
                self.active.push(at);
            }
        }
        all
    }

    /// Sends the refusals of the boxes whose round of gossip is due.
    pub fn gossip(&mut self, now_ms: u64, demand: &mut Demand) {
        let step = ROUND_MS as usize;
        for from in ((now_ms % ROUND_MS) as usize..self.judges.len()).step_by(step) {
            let mut refusals = self.judges[from].list_refusals(now_ms);
            refusals.truncate(MAX_LISTED);
            for refusal in refusals {
                self.gossip_refusal(from, &Message::Refusal(refusal), now_ms, demand);
            }
        }
    }

    fn gossip_refusal(&mut self, from: usize, message: &Message, now_ms: u64, demand: &mut Demand) {
        let zone = self.zone_of(from);
        let is_relay = from / self.zones < self.relays(zone);
        for _ in 0..PEERS_PER_ROUND {
            let peer = demand.index(self.zone_boxes(zone)) * self.zones + zone;
            self.send(from, peer, message.clone(), now_ms, demand);
            let other = demand.index(self.zones);
            if is_relay && other != zone {
                let relay = demand.index(self.relays(other)) * self.zones + other;
                self.send(from, relay, message.clone(), now_ms, demand);
            }
        }
    }

    /// Delivers the messages that are due.
    pub fn deliver(&mut self, now_ms: u64, demand: &mut Demand) {
        if now_ms / 1_000 > self.second {
            self.end_second();
            self.second = now_ms / 1_000;
        }
        while let Some(Reverse((at_ms, number))) = self.due.peek().copied()
            && at_ms <= now_ms
        {
            self.due.pop();
            if let Some(delivery) = self.deliveries[number].take() {
                self.receive(delivery, now_ms, demand);
            }
        }
    }

    fn end_second(&mut self) {
        let most = self.bytes.iter().copied().max().unwrap_or_default();
        let sum = self.bytes.iter().sum();
        self.most_bytes_per_s = self.most_bytes_per_s.max(most);
        self.most_fleet_bytes_per_s = self.most_fleet_bytes_per_s.max(sum);
        self.bytes.fill(0);
    }

    fn receive(&mut self, delivery: Delivery, now_ms: u64, demand: &mut Demand) {
        let Delivery { from, to, message } = delivery;
        let judge = &mut self.judges[to];
        let heard = match &message {
            Message::Crash(report) => return self.count(to, &report.clone(), now_ms, demand),
            Message::Suspicion(suspicion) => judge.hear_suspicion(suspicion, now_ms),
            Message::Refusal(refusal) => judge.hear_refusal(refusal, now_ms),
            Message::Proof(proof) => match judge.record_proof(*proof, now_ms).is_news {
                true => Heard::New,
                false => Heard::Known,
            },
        };
        match heard {
            Heard::Known => {}
            Heard::New => {
                self.active.push(to);
                self.spread(to, &message, Origin::PassedOn, now_ms, demand);
            }
            Heard::Disproved(proofs) => {
                for proof in proofs {
                    let [first, second] = self.trackers(proof.part);
                    for receiver in [first, second, from] {
                        self.send(to, receiver, Message::Proof(proof), now_ms, demand);
                    }
                }
            }
        }
    }
}
