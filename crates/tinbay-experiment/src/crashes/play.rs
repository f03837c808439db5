//! The simulation, in steps of one millisecond.

use std::collections::{BTreeMap, VecDeque};

use serde::Serialize;
use tinbay_core::crashes::parts::{CrashReport, PROVING_WRITE_MS, PartSet};
use tinbay_core::serving::prompt::PartId;

use super::demand::{CRASHING_PART, Demand, Request};
use super::fleet::Fleet;
use super::{CrashCause, CrashParameters};

/// Time from the first piece of an answer to the crash of its server.
const CRASH_AFTER_MS: u64 = 70;

/// Time from a crash until a box has checked the server.
const CHECK_MS: u64 = 60;

/// Time after which a crashed server is back.
const RESTART_MS: u64 = 3_000;

/// Interval at which boxes judge, and at which requests that wait for a judgement look again.
const JUDGE_INTERVAL_MS: u64 = 25;

/// Number of crashes after which the requests have to be refused everywhere.
const CRASHES_UNTIL_REFUSAL: usize = 5;

/// Time after the last of these crashes by which they have to be.
const MAX_REFUSAL_DELAY_MS: u64 = 3_000;

/// Results of a simulation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct CrashMeasures {
    /// Requests with the part that crashes servers.
    pub crashing: u64,
    /// Those of them that reached a server.
    pub arrived: u64,
    /// Those that reached one later than allowed after the fifth crash.
    pub arrived_late: u64,
    /// Servers that crashed.
    pub crashes: u64,
    /// Sound requests.
    pub sound: u64,
    /// Sound requests that were refused.
    pub sound_refused: u64,
    /// Sound requests that waited for a judgement.
    pub sound_held: u64,
    /// Sets of sound parts that some box refused.
    pub sound_sets_refused: usize,
    /// Time from the third crash until half of the boxes refuse the part, in ms.
    pub half_know_after_ms: Option<u64>,
    /// Time from the third crash until all boxes refuse the part, in ms.
    pub all_know_after_ms: Option<u64>,
    /// Bytes of the busiest box in its busiest second, sent and received.
    pub most_bytes_per_s: u64,
    /// Mean over all boxes in the busiest second.
    pub mean_bytes_per_s: f64,
}

/// What happens later.
enum Later {
    /// An answer ends, or has been written for long enough.
    Proven(usize, u64),
    /// A request crashes its server.
    Crash(usize, u64),
    /// Boxes have checked a crashed server, on which these requests were cut.
    Checked(u64, Vec<Request>, u64),
    /// A request that waited for a judgement is tried again.
    Retry(Request, bool),
}

struct Simulation<'a> {
    terms: &'a CrashParameters,
    fleet: Fleet,
    /// Requests by server and number.
    running: Vec<BTreeMap<u64, Request>>,
    down_until_ms: Vec<u64>,
    later: VecDeque<Vec<Later>>,
    crash_times: Vec<u64>,
    arrivals: Vec<u64>,
    sound_sets: Vec<PartSet>,
    measures: CrashMeasures,
}

/// Longest time for which something is scheduled ahead.
const HORIZON_MS: usize = 8_192;

/// Runs a simulation.
///
/// # Errors
/// Returns an error if there are no accounts or no sessions.
pub fn simulate(
    terms: &CrashParameters,
    cause: CrashCause,
) -> Result<CrashMeasures, rand_distr::ZipfError> {
    let mut demand = Demand::new(terms)?;
    let mut simulation = Simulation {
        terms,
        fleet: Fleet::new(terms),
        running: vec![BTreeMap::new(); terms.servers],
        down_until_ms: vec![0; terms.servers],
        later: (0..HORIZON_MS).map(|_| Vec::new()).collect(),
        crash_times: Vec::new(),
        arrivals: Vec::new(),
        sound_sets: Vec::new(),
        measures: CrashMeasures::default(),
    };
    let began_ms = terms.warm_up_s * 1_000;
    let end_ms = began_ms + terms.seconds * 1_000;
    for now_ms in 0..end_ms {
        simulation.fleet.deliver(now_ms, &mut demand);
        simulation.fleet.gossip(now_ms, &mut demand);
        for due in simulation.take_due() {
            simulation.handle(due, now_ms, &mut demand);
        }
        for request in demand.next_ms() {
            simulation.measures.sound += 1;
            simulation.send(request, false, now_ms);
        }
        if cause == CrashCause::PromptPart && now_ms >= began_ms {
            for request in demand.next_crashing_ms() {
                simulation.measures.crashing += 1;
                simulation.send(request, true, now_ms);
            }
        }
        if cause == CrashCause::ZoneEnds && now_ms == began_ms {
            simulation.end_zone(now_ms);
        }
        if now_ms.is_multiple_of(JUDGE_INTERVAL_MS) {
            simulation.judge(now_ms, &mut demand);
        }
    }
    Ok(simulation.end())
}

impl Simulation<'_> {
    fn take_due(&mut self) -> Vec<Later> {
        let due = self.later.pop_front().unwrap_or_default();
        self.later.push_back(Vec::new());
        due
    }

    fn schedule(&mut self, after_ms: u64, what: Later) {
        // The step of the present millisecond has been taken already.
        let position = (after_ms.max(1) - 1).min(HORIZON_MS as u64 - 1);
        self.later[position as usize].push(what);
    }

    fn send(&mut self, mut request: Request, is_crashing: bool, now_ms: u64) {
        let judge = &self.fleet.judges[request.box_index];
        if judge.refused_set(&request.parts, now_ms).is_some() {
            self.measures.sound_refused += u64::from(!is_crashing);
            return;
        }
        if judge.has_suspected() && judge.is_awaiting_judgement(&request.parts, now_ms) {
            self.measures.sound_held += u64::from(!is_crashing);
            self.schedule(JUDGE_INTERVAL_MS, Later::Retry(request, is_crashing));
            return;
        }
        let servers = self.terms.servers;
        while now_ms < self.down_until_ms[request.server] {
            request.server = (request.server + 1) % servers;
        }
        let server = request.server;
        let proven_after_ms = request
            .end_after_ms
            .min(request.first_piece_after_ms + PROVING_WRITE_MS);
        if is_crashing {
            self.arrivals.push(now_ms);
            let after_ms = request.first_piece_after_ms + CRASH_AFTER_MS;
            self.schedule(after_ms, Later::Crash(server, request.number));
        } else {
            self.schedule(proven_after_ms, Later::Proven(server, request.number));
        }
        self.running[server].insert(request.number, request);
    }

    fn handle(&mut self, due: Later, now_ms: u64, demand: &mut Demand) {
        match due {
            Later::Proven(server, number) => {
                // Requests whose server crashed meanwhile are gone.
                if let Some(request) = self.running[server].remove(&number) {
                    let Request {
                        box_index, parts, ..
                    } = request;
                    self.fleet
                        .record_answered(box_index, &parts, now_ms, demand);
                }
            }
            Later::Crash(server, number) => {
                if self.running[server].contains_key(&number) {
                    self.crash(server, now_ms);
                }
            }
            Later::Checked(crash, cut, crashed_ms) => {
                self.report(crash, &cut, crashed_ms, now_ms, demand);
            }
            Later::Retry(request, is_crashing) => self.send(request, is_crashing, now_ms),
        }
    }

    fn crash(&mut self, server: usize, now_ms: u64) {
        self.crash_times.push(now_ms);
        self.down_until_ms[server] = now_ms + RESTART_MS;
        let cut = std::mem::take(&mut self.running[server]);
        let crash = self.crash_times.len() as u64;
        let cut = cut.into_values().collect();
        self.schedule(CHECK_MS, Later::Checked(crash, cut, now_ms));
    }

    fn end_zone(&mut self, now_ms: u64) {
        for server in (0..self.terms.servers).step_by(self.terms.zones.max(1)) {
            self.crash(server, now_ms);
        }
    }

    /// Reports the suspects of a crash. Runs that have been written for longer are not kept here.
    fn report(
        &mut self,
        crash: u64,
        cut: &[Request],
        crashed_ms: u64,
        now_ms: u64,
        demand: &mut Demand,
    ) {
        for request in cut {
            let judge = &self.fleet.judges[request.box_index];
            let unproven = judge.unproven(&request.parts, crashed_ms);
            for part in &unproven {
                let others = unproven.iter().filter(|other| *other != part);
                let report = CrashReport {
                    part: *part,
                    companions: others.copied().collect(),
                    crash,
                    request: request.number,
                    age_ms: (now_ms - crashed_ms) as u16,
                    is_certain: true,
                };
                self.fleet.report(request.box_index, report, now_ms, demand);
            }
        }
    }

    fn judge(&mut self, now_ms: u64, demand: &mut Demand) {
        for refusal in self.fleet.judge(now_ms, demand) {
            let is_sound = !refusal.parts.parts().contains(&CRASHING_PART);
            if is_sound && !self.sound_sets.contains(&refusal.parts) {
                self.sound_sets.push(refusal.parts);
            }
        }
        let third_ms = self.crash_times.get(2).copied();
        if let Some(third_ms) = third_ms
            && self.measures.all_know_after_ms.is_none()
        {
            let crashing: [PartId; 2] = [CRASHING_PART, PartId((1 << 32) + 1)];
            let knows = |judge: &&tinbay_core::crashes::parts::PartJudge| {
                judge.refused_set(&crashing, now_ms).is_some()
            };
            let count = self.fleet.judges.iter().filter(knows).count();
            if 2 * count >= self.terms.boxes {
                self.measures
                    .half_know_after_ms
                    .get_or_insert(now_ms - third_ms);
            }
            if count == self.terms.boxes {
                self.measures.all_know_after_ms = Some(now_ms - third_ms);
            }
        }
    }

    fn end(mut self) -> CrashMeasures {
        let fifth_ms = self.crash_times.get(CRASHES_UNTIL_REFUSAL - 1);
        let late = fifth_ms.map(|fifth_ms| {
            let is_late = |at_ms: &&u64| **at_ms > fifth_ms + MAX_REFUSAL_DELAY_MS;
            self.arrivals.iter().filter(is_late).count() as u64
        });
        self.measures.arrived = self.arrivals.len() as u64;
        self.measures.arrived_late = late.unwrap_or_default();
        self.measures.crashes = self.crash_times.len() as u64;
        self.measures.sound_sets_refused = self.sound_sets.len();
        self.measures.most_bytes_per_s = self.fleet.most_bytes_per_s;
        let boxes = self.terms.boxes as f64;
        self.measures.mean_bytes_per_s = self.fleet.most_fleet_bytes_per_s as f64 / boxes;
        self.measures
    }
}
