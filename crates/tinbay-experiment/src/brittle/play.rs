//! The simulation, event by event.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tinbay_core::slots::home::{
    Decision, HomeTerms, LeaseEnd, LeaseId, RENEWAL_INTERVAL_MS, SEND_WITHIN_MS, SlotAnswer,
    SlotHome, SlotRequest,
};

use super::fleet::Fleet;
use super::servers::{Reception, Server};
use super::{
    BoxFault, BrittleMeasures, BrittleParameters, MESSAGE_BYTES, MESSAGE_DELAY_MS, SlotStrategy,
};

/// Servers that are asked for a slot for one request; it waits for one at the last.
const MAX_ASKED: u32 = 3;

/// Time without an answer after which a request is sent to its home again.
const RESEND_MS: u64 = 50;

/// Interval at which a request that waits is repeated.
const QUEUED_MS: u64 = 150;

/// Time between two sends of a request from which its box must have been suspended.
const MAX_ASK_GAP_MS: u64 = 500;

/// Times that a request is sent to a home without an answer before its caller is refused.
const MAX_SENDS: u32 = 4;

/// Time for which a home that did not answer is not asked.
const FAILED_HOME_PAUSE_MS: u64 = 1_000;

/// Interval at which homes look for requests that have waited too long.
const TICK_MS: u64 = 50;

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct Request {
    box_index: usize,
    server: usize,
    /// The box that was last asked for a slot.
    home: usize,
    begin_by_ms: u64,
    asked_ms: u64,
    /// Servers asked so far.
    asked: u32,
    /// Sends to the present home without an answer.
    sends: u32,
    state: RequestState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Asking,
    Queued,
    Sent,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next caller's request arrives.
    Arrival,
    /// A request for a slot reaches a home.
    Asked { request: u64, home: usize },
    /// The answer of a home reaches the box that asked.
    Answered { request: u64, answer: Answer },
    /// The box looks whether a home has answered.
    Resend { request: u64, sends: u32 },
    /// A request reaches its server.
    Reached { request: u64 },
    /// A server ends a request.
    Finished { request: u64, life: u32 },
    /// The answer of a server reaches the box.
    Ended { request: u64 },
    /// The report of an ended lease reaches a home.
    Reported {
        request: u64,
        home: usize,
        end: ReportedEnd,
    },
    /// Boxes renew their leases.
    Renewal,
    /// The leases that a box renews at the home of a server reach that home.
    Renewed {
        box_index: usize,
        server: usize,
        home: usize,
    },
    /// Homes look for requests that have waited too long.
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Answer {
    Leased,
    Full,
    Queued,
    NotHome,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ReportedEnd {
    Unknown,
    Served,
    Rejected,
    Failed,
}

impl From<ReportedEnd> for LeaseEnd {
    fn from(end: ReportedEnd) -> Self {
        match end {
            ReportedEnd::Unknown => LeaseEnd::Unknown,
            ReportedEnd::Served => LeaseEnd::Served,
            ReportedEnd::Rejected => LeaseEnd::Rejected,
            ReportedEnd::Failed => LeaseEnd::Failed,
        }
    }
}

struct Simulation<'a> {
    terms: &'a BrittleParameters,
    strategy: SlotStrategy,
    fleet: Fleet,
    servers: Vec<Server>,
    /// Homes by server and box.
    homes: HashMap<(usize, usize), SlotHome>,
    /// Homes that did not answer a box, with the time until which it does not ask them.
    failed_homes: HashMap<(usize, usize), u64>,
    requests: HashMap<u64, Request>,
    /// Requests that hold leases, by box and server.
    held: HashMap<(usize, usize), HashSet<u64>>,
    /// Requests of each box at each server, for [`SlotStrategy::Shares`].
    own_running: HashMap<(usize, usize), usize>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    request_count: u64,
    random: SmallRng,
    /// Bytes of each box in the present second.
    bytes: Vec<u64>,
    all_bytes: u64,
    second: u64,
    measures: BrittleMeasures,
}

/// Runs a simulation.
pub fn simulate(
    terms: &BrittleParameters,
    strategy: SlotStrategy,
    fault: BoxFault,
) -> BrittleMeasures {
    let mut simulation = Simulation::new(terms, strategy, fault);
    simulation.schedule(0, Event::Arrival);
    simulation.schedule(RENEWAL_INTERVAL_MS, Event::Renewal);
    simulation.schedule(TICK_MS, Event::Tick);
    let end_ms = terms.seconds * 1_000;
    while let Some(Reverse((now_ms, _, event))) = simulation.events.pop() {
        if now_ms >= end_ms {
            break;
        }
        simulation.begin_second(now_ms / 1_000);
        simulation.handle(event, now_ms);
    }
    simulation.into_measures()
}

impl<'a> Simulation<'a> {
    fn new(terms: &'a BrittleParameters, strategy: SlotStrategy, fault: BoxFault) -> Self {
        Self {
            terms,
            strategy,
            fleet: Fleet::new(terms, fault),
            servers: (0..terms.servers).map(|_| Server::default()).collect(),
            homes: HashMap::new(),
            failed_homes: HashMap::new(),
            requests: HashMap::new(),
            held: HashMap::new(),
            own_running: HashMap::new(),
            events: BinaryHeap::new(),
            event_count: 0,
            request_count: 0,
            random: SmallRng::seed_from_u64(terms.seed),
            bytes: vec![0; terms.boxes],
            all_bytes: 0,
            second: 0,
            measures: BrittleMeasures::default(),
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_ms, self.event_count, event)));
    }

    fn begin_second(&mut self, second: u64) {
        if second == self.second {
            return;
        }
        self.second = second;
        let busiest = self.bytes.iter().copied().max().unwrap_or_default();
        self.measures.busiest_bytes_per_s = self.measures.busiest_bytes_per_s.max(busiest);
        self.all_bytes += self.bytes.iter().sum::<u64>();
        self.bytes.fill(0);
    }

    fn handle(&mut self, event: Event, now_ms: u64) {
        match event {
            Event::Arrival => self.handle_arrival(now_ms),
            Event::Asked { request, home } => self.handle_asked(request, home, now_ms),
            Event::Answered { request, answer } => self.handle_answer(request, answer, now_ms),
            Event::Resend { request, sends } => self.handle_resend(request, sends, now_ms),
            Event::Reached { request } => self.handle_reached(request, now_ms),
            Event::Finished { request, life } => self.handle_finished(request, life, now_ms),
            Event::Ended { request } => self.handle_ended(request, now_ms),
            Event::Reported { request, home, end } => {
                self.handle_report(request, home, end, now_ms);
            }
            Event::Renewal => self.handle_renewal(now_ms),
            Event::Renewed {
                box_index,
                server,
                home,
            } => self.handle_renewed(box_index, server, home, now_ms),
            Event::Tick => self.handle_tick(now_ms),
        }
    }

    fn handle_arrival(&mut self, now_ms: u64) {
        let mean_gap_ms = 1_000.0 / self.terms.requests_per_s;
        self.measures.requests += 1;
        let box_index = self.random.random_range(0..self.terms.boxes);
        if self.fleet.is_up(box_index, now_ms) {
            self.request_count += 1;
            let number = self.request_count;
            let request = Request {
                box_index,
                server: 0,
                home: 0,
                begin_by_ms: now_ms + self.terms.begin_within_ms,
                asked_ms: now_ms,
                asked: 0,
                sends: 0,
                state: RequestState::Asking,
            };
            self.requests.insert(number, request);
            self.try_next_server(number, now_ms);
        } else {
            self.measures.requests -= 1;
        }
        let arrived = self.measures.requests.max(self.request_count) as f64;
        let next_ms = (now_ms as f64).max((arrived * mean_gap_ms).floor()) as u64;
        self.schedule(next_ms.max(now_ms), Event::Arrival);
    }

    /// Asks for a slot of another server, or refuses the request after the last.
    fn try_next_server(&mut self, number: u64, now_ms: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.asked >= MAX_ASKED {
            self.requests.remove(&number);
            return;
        }
        let server = self.choose_server(request.box_index, request.asked);
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.asked += 1;
        request.server = server;
        request.sends = 0;
        request.state = RequestState::Asking;
        match self.strategy {
            SlotStrategy::Shares => self.send_within_share(number, now_ms),
            SlotStrategy::Homes => self.ask_home(number, now_ms),
        }
    }

    /// A server of which the box is the home, as its slots cost no message; otherwise any.
    fn choose_server(&mut self, box_index: usize, asked: u32) -> usize {
        let own = self.fleet.usually_homed_at(box_index);
        match asked {
            0 if !own.is_empty() => own[self.random.random_range(0..own.len())],
            _ => self.random.random_range(0..self.terms.servers),
        }
    }

    fn send_within_share(&mut self, number: u64, now_ms: u64) {
        let request = self.requests[&number];
        let share = (self.terms.slots / self.terms.boxes).max(1);
        let running = self
            .own_running
            .entry((request.box_index, request.server))
            .or_default();
        if *running >= share {
            return self.try_next_server(number, now_ms);
        }
        *running += 1;
        self.send_to_server(number, now_ms);
    }

    fn ask_home(&mut self, number: u64, now_ms: u64) {
        let request = self.requests[&number];
        let home = self.fleet.home(request.server, request.box_index, now_ms);
        let has_failed = |home: &usize| {
            let failed_until_ms = self.failed_homes.get(&(request.box_index, *home));
            failed_until_ms.is_some_and(|until_ms| now_ms < *until_ms)
        };
        let Some(home) = home.filter(|home| !has_failed(home)) else {
            return self.try_next_server(number, now_ms);
        };
        if let Some(request) = self.requests.get_mut(&number) {
            request.home = home;
            request.asked_ms = now_ms;
            request.sends += 1;
            let sends = request.sends;
            let pause_ms = match request.state {
                RequestState::Queued => QUEUED_MS,
                _ => RESEND_MS,
            };
            request.state = RequestState::Asking;
            self.schedule(
                now_ms + pause_ms,
                Event::Resend {
                    request: number,
                    sends,
                },
            );
        }
        let asked = Event::Asked {
            request: number,
            home,
        };
        self.send(request.box_index, home, asked, now_ms);
    }

    /// Sends a message between two boxes, which arrives unless it is lost.
    fn send(&mut self, from: usize, to: usize, event: Event, now_ms: u64) {
        if from == to {
            return self.schedule(now_ms, event);
        }
        self.bytes[from] += MESSAGE_BYTES;
        self.bytes[to] += MESSAGE_BYTES;
        let is_lost = self.random.random_bool(self.terms.lost);
        if !is_lost && self.fleet.is_connected(from, to, now_ms) {
            self.schedule(now_ms + MESSAGE_DELAY_MS, event);
        }
    }

    /// Whether a box handles an event now. One that is frozen does so when it wakes.
    fn is_handled(&mut self, box_index: usize, event: Event, now_ms: u64) -> bool {
        if let Some(wakes_ms) = self.fleet.wakes_ms(box_index, now_ms) {
            self.schedule(wakes_ms, event);
            return false;
        }
        self.fleet.is_up(box_index, now_ms)
    }

    fn home_terms(&self, home: usize, now_ms: u64) -> HomeTerms {
        HomeTerms {
            slots: self.terms.slots,
            rejections_per_s: self.terms.rejections_per_s,
            reached: self.fleet.reached(home, now_ms),
        }
    }

    fn handle_asked(&mut self, number: u64, home: usize, now_ms: u64) {
        let event = Event::Asked {
            request: number,
            home,
        };
        if !self.is_handled(home, event, now_ms) {
            return;
        }
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let is_home = self.fleet.home(request.server, home, now_ms) == Some(home);
        if !is_home || !self.fleet.is_reliable(home, now_ms) {
            self.homes.remove(&(request.server, home));
            return self.answer(number, home, Answer::NotHome, now_ms);
        }
        let id = lease_id(number, &request);
        let is_last = request.asked >= MAX_ASKED;
        let max_wait_ms = if is_last {
            request.begin_by_ms.saturating_sub(now_ms)
        } else {
            0
        };
        let terms = self.home_terms(home, now_ms);
        let slot_home = self.home_state(request.server, home, now_ms);
        let rank = 0;
        slot_home.request(
            SlotRequest {
                id,
                rank,
                max_wait_ms,
            },
            now_ms,
        );
        let decisions = slot_home.decide(terms, now_ms);
        let is_waiting = slot_home.is_waiting(id);
        self.answer_all(home, decisions, now_ms);
        if is_waiting {
            self.answer(number, home, Answer::Queued, now_ms);
        }
    }

    fn answer_all(&mut self, home: usize, decisions: Vec<Decision>, now_ms: u64) {
        for Decision { id, answer } in decisions {
            let answer = match answer {
                SlotAnswer::Leased => Answer::Leased,
                SlotAnswer::Full { .. } => Answer::Full,
            };
            self.answer(u64::from(id.number), home, answer, now_ms);
        }
    }

    fn answer(&mut self, number: u64, home: usize, answer: Answer, now_ms: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let event = Event::Answered {
            request: number,
            answer,
        };
        self.send(home, request.box_index, event, now_ms);
    }

    fn handle_answer(&mut self, number: u64, answer: Answer, now_ms: u64) {
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let event = Event::Answered {
            request: number,
            answer,
        };
        if !self.is_handled(request.box_index, event, now_ms) {
            return;
        }
        let is_undecided = matches!(request.state, RequestState::Asking | RequestState::Queued);
        if !is_undecided {
            return;
        }
        match answer {
            Answer::Queued => {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.state = RequestState::Queued;
                }
            }
            Answer::Full | Answer::NotHome => self.try_next_server(number, now_ms),
            Answer::Leased if now_ms >= request.asked_ms + SEND_WITHIN_MS => {
                self.report(number, request, ReportedEnd::Unknown, now_ms);
                self.requests.remove(&number);
            }
            Answer::Leased => {
                let key = (request.box_index, request.server);
                self.held.entry(key).or_default().insert(number);
                self.send_to_server(number, now_ms);
            }
        }
    }

    fn handle_resend(&mut self, number: u64, sends: u32, now_ms: u64) {
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let event = Event::Resend {
            request: number,
            sends,
        };
        if !self.is_handled(request.box_index, event, now_ms) {
            return;
        }
        let was_suspended = now_ms >= request.asked_ms + MAX_ASK_GAP_MS;
        match request.state {
            RequestState::Asking | RequestState::Queued if was_suspended => {
                self.report(number, request, ReportedEnd::Unknown, now_ms);
                self.requests.remove(&number);
            }
            RequestState::Queued => {
                if let Some(request) = self.requests.get_mut(&number) {
                    request.sends = 0;
                }
                self.ask_home(number, now_ms);
            }
            RequestState::Asking if request.sends == sends && sends < MAX_SENDS => {
                self.ask_home(number, now_ms);
            }
            RequestState::Asking if request.sends == sends => {
                let until_ms = now_ms + FAILED_HOME_PAUSE_MS;
                self.failed_homes
                    .insert((request.box_index, request.home), until_ms);
                self.try_next_server(number, now_ms);
            }
            RequestState::Asking | RequestState::Sent | RequestState::Ended => {}
        }
    }

    fn send_to_server(&mut self, number: u64, now_ms: u64) {
        if let Some(request) = self.requests.get_mut(&number) {
            request.state = RequestState::Sent;
        }
        self.schedule(
            now_ms + MESSAGE_DELAY_MS,
            Event::Reached { request: number },
        );
    }

    fn handle_reached(&mut self, number: u64, now_ms: u64) {
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let server = &mut self.servers[request.server];
        let life = server.life;
        let reception = server.receive(number, self.terms, now_ms);
        if server.life > life {
            self.measures.falls += 1;
            self.measures.late_falls += u64::from(now_ms >= 1_000);
        }
        match reception {
            Reception::Runs => self.schedule_finish(number, request.server, now_ms),
            Reception::Waits => {}
            Reception::Rejected => {
                self.measures.rejections += 1;
                self.end_after_delay(number, ReportedEnd::Rejected, now_ms);
            }
            Reception::Down => self.end_after_delay(number, ReportedEnd::Failed, now_ms),
        }
    }

    fn schedule_finish(&mut self, number: u64, server: usize, now_ms: u64) {
        let mean_ms = self.terms.run_ms;
        let run_ms = self.random.random_range(mean_ms / 2..=mean_ms * 3 / 2);
        let life = self.servers[server].life;
        let request = number;
        self.schedule(now_ms + run_ms, Event::Finished { request, life });
    }

    fn handle_finished(&mut self, number: u64, life: u32, now_ms: u64) {
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let server = &mut self.servers[request.server];
        if server.life != life {
            return self.end_after_delay(number, ReportedEnd::Failed, now_ms);
        }
        if let Some(next) = server.end() {
            self.schedule_finish(next, request.server, now_ms);
        }
        self.end_after_delay(number, ReportedEnd::Served, now_ms);
    }

    fn end_after_delay(&mut self, number: u64, end: ReportedEnd, now_ms: u64) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.state = RequestState::Ended;
        let request = *request;
        if end == ReportedEnd::Served {
            let event = Event::Ended { request: number };
            return self.schedule(now_ms + MESSAGE_DELAY_MS, event);
        }
        self.end_at_box(number, request, end, now_ms);
    }

    fn handle_ended(&mut self, number: u64, now_ms: u64) {
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let event = Event::Ended { request: number };
        if !self.is_handled(request.box_index, event, now_ms) {
            return;
        }
        self.measures.served += 1;
        self.end_at_box(number, request, ReportedEnd::Served, now_ms);
    }

    fn end_at_box(&mut self, number: u64, request: Request, end: ReportedEnd, now_ms: u64) {
        let key = (request.box_index, request.server);
        if let Some(running) = self.own_running.get_mut(&key) {
            *running = running.saturating_sub(1);
        }
        if let Some(held) = self.held.get_mut(&key) {
            held.remove(&number);
        }
        if self.strategy == SlotStrategy::Homes {
            self.report(number, request, end, now_ms);
        } else {
            self.requests.remove(&number);
        }
    }

    /// Reports the end of a lease to the box that granted it and to the present home.
    fn report(&mut self, number: u64, request: Request, end: ReportedEnd, now_ms: u64) {
        let present = self.fleet.home(request.server, request.box_index, now_ms);
        let other = present.filter(|home| *home != request.home);
        for home in std::iter::once(request.home).chain(other) {
            let event = Event::Reported {
                request: number,
                home,
                end,
            };
            self.send(request.box_index, home, event, now_ms);
        }
    }

    fn handle_report(&mut self, number: u64, home: usize, end: ReportedEnd, now_ms: u64) {
        let event = Event::Reported {
            request: number,
            home,
            end,
        };
        if !self.is_handled(home, event, now_ms) {
            return;
        }
        let Some(request) = self.requests.get(&number).copied() else {
            return;
        };
        let terms = self.home_terms(home, now_ms);
        if let Some(slot_home) = self.homes.get_mut(&(request.server, home)) {
            slot_home.end(lease_id(number, &request), end.into(), terms, now_ms);
            let decisions = slot_home.decide(terms, now_ms);
            self.answer_all(home, decisions, now_ms);
        }
    }

    fn handle_renewal(&mut self, now_ms: u64) {
        self.schedule(now_ms + RENEWAL_INTERVAL_MS, Event::Renewal);
        self.held.retain(|_, held| !held.is_empty());
        let mut holders: Vec<(usize, usize)> = self.held.keys().copied().collect();
        holders.sort_unstable();
        for (box_index, server) in holders {
            if !self.fleet.is_up(box_index, now_ms) {
                continue;
            }
            if let Some(home) = self.fleet.home(server, box_index, now_ms) {
                let event = Event::Renewed {
                    box_index,
                    server,
                    home,
                };
                self.send(box_index, home, event, now_ms);
            }
        }
    }

    fn handle_renewed(&mut self, box_index: usize, server: usize, home: usize, now_ms: u64) {
        let is_home = self.fleet.home(server, home, now_ms) == Some(home);
        if !self.fleet.is_up(home, now_ms) || !is_home {
            return;
        }
        let held = self.held.get(&(box_index, server));
        let numbers = held.into_iter().flatten();
        let held: Vec<u32> = numbers.map(|number| *number as u32).collect();
        self.home_state(server, home, now_ms)
            .renew(box_index as u32, &held, now_ms);
    }

    /// State of a server's slots at a home. Servers are brittle from the start of the simulation on.
    fn home_state(&mut self, server: usize, home: usize, now_ms: u64) -> &mut SlotHome {
        let slots = self.terms.slots;
        self.homes
            .entry((server, home))
            .or_insert_with(|| SlotHome::new(slots, now_ms, now_ms))
    }

    fn handle_tick(&mut self, now_ms: u64) {
        self.schedule(now_ms + TICK_MS, Event::Tick);
        let mut keys: Vec<(usize, usize)> = self.homes.keys().copied().collect();
        keys.sort_unstable();
        for (server, home) in keys {
            if !self.fleet.is_up(home, now_ms) {
                continue;
            }
            let is_home = self.fleet.home(server, home, now_ms) == Some(home);
            if !is_home || !self.fleet.is_reliable(home, now_ms) {
                self.homes.remove(&(server, home));
                continue;
            }
            let terms = self.home_terms(home, now_ms);
            if let Some(slot_home) = self.homes.get_mut(&(server, home)) {
                let decisions = slot_home.decide(terms, now_ms);
                self.answer_all(home, decisions, now_ms);
            }
        }
        self.requests.retain(|_, request| {
            request.state != RequestState::Ended || now_ms < request.begin_by_ms + 10_000
        });
    }

    fn into_measures(mut self) -> BrittleMeasures {
        self.begin_second(u64::MAX);
        let seconds = self.terms.seconds as f64;
        let per_slot = seconds * 1_000.0 / self.terms.run_ms as f64;
        let sent = self.requests.values();
        let running = sent.filter(|request| request.state == RequestState::Sent);
        BrittleMeasures {
            running: running.count() as u64,
            capacity: ((self.terms.servers * self.terms.slots) as f64 * per_slot) as u64,
            bytes_per_s: self.all_bytes as f64 / seconds / self.terms.boxes as f64,
            ..self.measures
        }
    }
}

fn lease_id(number: u64, request: &Request) -> LeaseId {
    LeaseId {
        box_key: request.box_index as u32,
        number: number as u32,
    }
}
